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
  double mTargetSuccessRatio = 0.85;
  // No route is shut: a share this large goes on, which keeps every kind of request alive and finds
  // out when the overload ends.
  double mMinAdmitRatio = 0.15;
  Duration mInterval = std::chrono::milliseconds(200); // between changes
  // Per interval: the share falls by this part of the distance to the target, and rises by this
  // much. Results come up to two seconds after the admission, so a faster fall would overshoot.
  double mDecreaseGain = 0.2;
  double mIncreaseStep = 0.01;
  // After this many intervals without a fall the rise grows with each further one by this part of
  // itself. Otherwise a share that was driven down to the minimum would take 17 s to recover.
  int mStableIntervals = 5;
  double mIncreaseGrowth = 0.2;
  Duration mDecayTime = std::chrono::milliseconds(400); // results this old count a third
  double mMinSamples = 2; // results within the memory; fewer prove nothing
  // Requests that were refused before may be let in this far ahead of their share. Bounded, or an
  // overload that lasts would let in everybody at the second try.
  double mResendCredit = 4;
  // Bounds of the time after which a refused request comes back. Callers wait for a third of their
  // time at most.
  Duration mMinRetryAfter = std::chrono::milliseconds(200);
  Duration mMaxRetryAfter = std::chrono::seconds(2);
  // A fall is this much slower while a less urgent route that fails as well can still be cut.
  double mHigherWorthFactor = 0.4;

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
  bool Admit(bool aIsResent = false)
  {
    Update();
    mCredit = std::min(mCredit + mAdmitRatio, 2.0);
    if (mCredit < (aIsResent ? 1 - mPolicy.mResendCredit : 1)) {
      return false;
    }
    mCredit -= 1;
    return true;
  }

  // A request that was let in has ended. Good: answered by a backend server without a failure.
  // Ends that say nothing about capacity are not reported.
  void OnResult(bool aIsSuccess, Duration aElapsed = Duration::zero())
  {
    Update();
    mResults += 1;
    mSuccesses += aIsSuccess ? 1 : 0;
    if (aIsSuccess) {
      mMeanLatency +=
        std::chrono::duration_cast<Duration>((aElapsed - mMeanLatency) * kLatencyWeight);
    }
  }

  // When a request that is refused now should come back: as late as it can be and still be answered
  // within its target, which spreads a peak most. aSpread: 0 to 1, random, so that those who are
  // refused together do not come back together.
  Duration RetryAfter(Duration aTarget, double aJitter) const
  {
    const Duration spare =
      std::chrono::duration_cast<Duration>(aTarget - mMeanLatency * kLatencyMargin);
    const Duration latest = std::clamp(spare, mPolicy.mMinRetryAfter, mPolicy.mMaxRetryAfter);
    return std::chrono::duration_cast<Duration>(latest * (0.5 + 0.5 * aJitter));
  }

  // Share of the requests that is let in.
  double AdmitRatio() const { return mAdmitRatio; }
  // Too many results were bad at the last change.
  bool IsFailing() const { return mFailing; }
  bool CanDecrease() const { return mAdmitRatio > mPolicy.mMinAdmitRatio; }
  // A less urgent route fails as well and goes first.
  void SetLowerWorthFailing(bool aLowerWorthFailing) { mLowerWorthFailing = aLowerWorthFailing; }

private:
  static constexpr double kLatencyWeight = 1.0 / 16; // of a new sample in the moving average
  static constexpr double kLatencyMargin = 1.3;      // chains under load take longer than usual

  void Update()
  {
    const SteadyTime now = mClock.Now();
    while (now - mUpdated >= mPolicy.mInterval) {
      mUpdated += mPolicy.mInterval;
      AdjustRatio();
      if (mAdmitRatio >= 1 && mResults < 0.01) {
        mUpdated = now; // nothing to catch up with
      }
    }
  }

  void AdjustRatio()
  {
    const bool isKnown = mResults >= mPolicy.mMinSamples;
    const double successRatio = isKnown ? mSuccesses / mResults : 1;
    mFailing = successRatio < mPolicy.mTargetSuccessRatio;
    if (mFailing) {
      const double gain =
        mPolicy.mDecreaseGain * (mLowerWorthFailing ? mPolicy.mHigherWorthFactor : 1);
      mAdmitRatio =
        std::max(mPolicy.mMinAdmitRatio,
                 mAdmitRatio * (1 - gain * (mPolicy.mTargetSuccessRatio - successRatio)));
      mIntervalsSinceDecrease = 0;
    } else {
      const int growthIntervals = std::max(0, mIntervalsSinceDecrease - mPolicy.mStableIntervals);
      mAdmitRatio = std::min(1.0, mAdmitRatio + mPolicy.mIncreaseStep *
                                                  (1 + mPolicy.mIncreaseGrowth * growthIntervals));
      ++mIntervalsSinceDecrease;
    }
    const double decay = std::exp(-std::chrono::duration<double>(mPolicy.mInterval).count() /
                                  std::chrono::duration<double>(mPolicy.mDecayTime).count());
    mResults *= decay;
    mSuccesses *= decay;
  }

  const Clock& mClock;
  EntryThrottlePolicy mPolicy;
  SteadyTime mUpdated;
  double mAdmitRatio = 1;
  double mCredit = 1;
  double mResults = 0; // decaying counts
  double mSuccesses = 0;
  Duration mMeanLatency{};         // of good results
  int mIntervalsSinceDecrease = 0; // intervals since the last fall
  bool mFailing = false;
  bool mLowerWorthFailing = false;
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
    found->second.mThrottle.SetLowerWorthFailing(
      std::any_of(mRoutes.begin(), mRoutes.end(), [&](const auto& aOther) {
        const EntryThrottle& other = aOther.second.mThrottle;
        return aOther.second.mWorth < found->second.mWorth && other.IsFailing() &&
               other.CanDecrease();
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
