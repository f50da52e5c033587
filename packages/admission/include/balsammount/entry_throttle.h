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
#include <map>
#include <string>

namespace balsammount {

struct EntryThrottlePolicy
{
  // Share of good results below which fewer requests are let in. Chains fail for other reasons as
  // well (answers lost on the way, a backend server that fails now and then), and every refusal
  // costs a caller time: with 0.92 three days of overload were worth 0.02 less on average.
  double mTarget = 0.85;
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
  // Requests that were refused before may be let in this far ahead of their share. Bounded, or an
  // overload that lasts would let in everybody at the second try.
  double mReturnCredit = 4;
  // Bounds of the time after which a refused request comes back. Callers wait for a third of their
  // time at most.
  Duration mMinReturn = std::chrono::milliseconds(200);
  Duration mMaxReturn = std::chrono::seconds(2);
  // A fall is this much slower while a less urgent route that fails as well can still be cut.
  double mUrgentFall = 0.4;

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

  // Whether the next request is let in. Spread evenly over the requests; those that were refused
  // before go first.
  bool Admit(bool aReturned = false)
  {
    Update();
    mCredit = std::min(mCredit + mShare, 2.0);
    if (mCredit < (aReturned ? 1 - mPolicy.mReturnCredit : 1)) {
      return false;
    }
    mCredit -= 1;
    return true;
  }

  // A request that was let in has ended. Good: answered by a backend server without a failure.
  // Ends that say nothing about capacity are not reported.
  void OnEnd(bool aGood, Duration aElapsed = Duration::zero())
  {
    Update();
    mResults += 1;
    mGood += aGood ? 1 : 0;
    if (aGood) {
      mTypicalTime += std::chrono::duration_cast<Duration>((aElapsed - mTypicalTime) * kTimeWeight);
    }
  }

  // When a request that is refused now should come back: as late as it can be and still be answered
  // within its target, which spreads a peak most. aSpread: 0 to 1, random, so that those who are
  // refused together do not come back together.
  Duration ReturnAfter(Duration aTarget, double aSpread) const
  {
    const Duration spare = std::chrono::duration_cast<Duration>(aTarget - mTypicalTime * kMargin);
    const Duration latest = std::clamp(spare, mPolicy.mMinReturn, mPolicy.mMaxReturn);
    return std::chrono::duration_cast<Duration>(latest * (0.5 + 0.5 * aSpread));
  }

  // Share of the requests that is let in.
  double Share() const { return mShare; }
  // Too many results were bad at the last change.
  bool IsFailing() const { return mFailing; }
  bool CanFall() const { return mShare > mPolicy.mMinShare; }
  // A less urgent route fails as well and goes first.
  void SetYields(bool aYields) { mYields = aYields; }

private:
  static constexpr double kTimeWeight = 1.0 / 16; // of a new sample in the moving average
  static constexpr double kMargin = 1.3;          // chains under load take longer than usual

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
    mFailing = good < mPolicy.mTarget;
    if (mFailing) {
      const double fall = mPolicy.mFall * (mYields ? mPolicy.mUrgentFall : 1);
      mShare = std::max(mPolicy.mMinShare, mShare * (1 - fall * (mPolicy.mTarget - good)));
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
  Duration mTypicalTime{}; // of good results
  int mCalm = 0;           // intervals since the last fall
  bool mFailing = false;
  bool mYields = false;
};

// The throttles of all routes at one entry. Of the routes that fail, those of the least urgent rank
// are cut fastest: their chains usually share the deep service that lacks capacity. Not thread
// safe.
class EntryThrottles
{
public:
  EntryThrottles(const Clock& aClock, const EntryThrottlePolicy& aPolicy)
    : mClock(aClock)
    , mPolicy(aPolicy)
  {
  }

  // The route starts chains. aWorth: of its rank; a higher one is more urgent.
  void Add(const std::string& aRoute, double aWorth)
  {
    const auto [entry, added] =
      mRoutes.try_emplace(aRoute, Route{ EntryThrottle(mClock, mPolicy), aWorth });
    entry->second.mWorth = aWorth;
  }

  // Null for a route that was not added.
  EntryThrottle* Find(const std::string& aRoute)
  {
    const auto found = mRoutes.find(aRoute);
    if (found == mRoutes.end()) {
      return nullptr;
    }
    found->second.mThrottle.SetYields(
      std::any_of(mRoutes.begin(), mRoutes.end(), [&](const auto& aOther) {
        const EntryThrottle& other = aOther.second.mThrottle;
        return aOther.second.mWorth < found->second.mWorth && other.IsFailing() && other.CanFall();
      }));
    return &found->second.mThrottle;
  }

  // Forgets the routes for which aIsGone(name).
  template <class IsGone>
  void RemoveIf(IsGone aIsGone)
  {
    std::erase_if(mRoutes, [&](const auto& aRoute) { return aIsGone(aRoute.first); });
  }

private:
  struct Route
  {
    EntryThrottle mThrottle;
    double mWorth = 0;
  };

  const Clock& mClock;
  EntryThrottlePolicy mPolicy;
  std::map<std::string, Route> mRoutes;
};

} // namespace balsammount
