// Admission where call chains start, by how the chains end.
//
// A chain that fails at a deep service has cost every service above it. Nobody declares the call
// graph, and the deep service cannot tell which chain a call belongs to, so the entry watches its
// own results: when too many of the requests that it lets in fail for lack of capacity, it lets in
// fewer and refuses the rest before any work is done.
#pragma once

#include "balsammount/clock.h"

#include <algorithm>
#include <cmath>

namespace balsammount {

struct EntryThrottlePolicy
{
  // Share of good results below which fewer requests are let in. What is lost otherwise (answers
  // lost on the way, a backend server that fails now and then) stays well under a tenth.
  double mTarget = 0.9;
  // No route is shut: a share this large goes on, which keeps every kind of request alive and finds
  // out when the overload ends.
  double mMinShare = 0.15;
  Duration mInterval = std::chrono::milliseconds(200); // between changes
  // Per interval: the share falls by this part of the distance to the target, and rises by this
  // much. Results come up to two seconds after the admission, so a faster fall would overshoot.
  double mFall = 0.2;
  double mRise = 0.01;
  // After this many intervals without a fall the rise grows with each further one by this part of
  // itself. Otherwise a share that was driven down to the minimum would take 17 s to recover.
  int mCalmIntervals = 5;
  double mRiseGrowth = 0.2;
  Duration mMemory = std::chrono::milliseconds(400); // results this old count a third
  double mMinSamples = 2; // results within the memory; fewer prove nothing

  bool operator==(const EntryThrottlePolicy&) const = default;
};

// One route at one entry. Not thread safe; allocates nothing.
class EntryThrottle
{
public:
  explicit EntryThrottle(const Clock& aClock, const EntryThrottlePolicy& aPolicy = {})
    : mClock(aClock)
    , mPolicy(aPolicy)
    , mUpdated(aClock.Now())
  {
  }

  // Whether the next request is let in. Spread evenly over the requests.
  bool Admit()
  {
    Update();
    mCredit = std::min(mCredit + mShare, 2.0);
    if (mCredit < 1) {
      return false;
    }
    mCredit -= 1;
    return true;
  }

  // A request that was let in has ended. Good: answered by a backend server without a failure.
  // Ends that say nothing about capacity are not reported.
  void OnEnd(bool aGood)
  {
    Update();
    mResults += 1;
    mGood += aGood ? 1 : 0;
  }

  // Share of the requests that is let in.
  double Share() const { return mShare; }

private:
  void Update()
  {
    const SteadyTime now = mClock.Now();
    while (now - mUpdated >= mPolicy.mInterval) {
      mUpdated += mPolicy.mInterval;
      Step();
      if (mShare >= 1 && mResults < 0.01) {
        mUpdated = now; // nothing to catch up with
      }
    }
  }

  void Step()
  {
    const bool isKnown = mResults >= mPolicy.mMinSamples;
    const double good = isKnown ? mGood / mResults : 1;
    if (good < mPolicy.mTarget) {
      mShare = std::max(mPolicy.mMinShare, mShare * (1 - mPolicy.mFall * (mPolicy.mTarget - good)));
      mCalm = 0;
    } else {
      const int growing = std::max(0, mCalm - mPolicy.mCalmIntervals);
      mShare = std::min(1.0, mShare + mPolicy.mRise * (1 + mPolicy.mRiseGrowth * growing));
      ++mCalm;
    }
    const double decay = std::exp(-std::chrono::duration<double>(mPolicy.mInterval).count() /
                                  std::chrono::duration<double>(mPolicy.mMemory).count());
    mResults *= decay;
    mGood *= decay;
  }

  const Clock& mClock;
  EntryThrottlePolicy mPolicy;
  SteadyTime mUpdated;
  double mShare = 1;
  double mCredit = 1;
  double mResults = 0; // decaying counts
  double mGood = 0;
  int mCalm = 0; // intervals since the last fall
};

} // namespace balsammount
