// Throttles requests at the entry of the call graph by the results of their call chains.
//
// A chain that fails at a downstream service has already used capacity at every service before it.
// The call graph is not declared, and a downstream service knows at most the rank of the chain that
// a call belongs to. The entry node therefore uses the results of the requests that it admits: if
// too many fail for lack of capacity, it admits fewer and refuses the rest before any work is done.
#pragma once

#include "balsammount/clock.h"

#include <algorithm>
#include <cmath>
#include <map>
#include <string>

namespace balsammount {

struct EntryThrottlePolicy
{
  // The admit ratio falls while the success ratio is below this. Chains also fail for reasons other
  // than capacity, such as lost responses, and every refusal delays a caller: a target of 0.92
  // lowered the served worth of three days of overload by 0.02 on average.
  double mTargetSuccessRatio = 0.85;
  // No route is closed entirely, so that every kind of request is still served and the end of the
  // overload is detected.
  double mMinAdmitRatio = 0.15;
  Duration mInterval = std::chrono::milliseconds(200); // between adjustments
  // Per interval, the admit ratio falls by this fraction of the distance to the target, or rises by
  // this step. Results arrive up to two seconds after admission, so a higher gain would overshoot.
  double mDecreaseGain = 0.2;
  double mIncreaseStep = 0.01;
  // After this many intervals without a decrease, each further interval adds this fraction of the
  // step to the step. With a constant step, recovery from the minimum would take 17 s.
  int mStableIntervals = 5;
  double mIncreaseGrowth = 0.2;
  Duration mDecayTime = std::chrono::milliseconds(400); // time constant of the result counts
  double mMinSamples = 2; // decayed count; fewer results are not significant
  // Resent requests may exceed the admit ratio by this many requests. Without a bound, a lasting
  // overload would admit every request at the second attempt.
  double mResendCredit = 4;
  // Bounds of the retry delay. Callers wait for at most a third of their deadline.
  Duration mMinRetryAfter = std::chrono::milliseconds(200);
  Duration mMaxRetryAfter = std::chrono::seconds(2);
  // Factor on the decrease of a route while a failing route of lower worth can still be throttled.
  double mHigherWorthFactor = 0.4;

  bool operator==(const EntryThrottlePolicy&) const = default;
};

// Throttle of one route on one entry node. Not thread safe; does not allocate.
class EntryThrottle
{
public:
  explicit EntryThrottle(const Clock& aClock, const EntryThrottlePolicy& aPolicy = {})
    : mClock(aClock)
    , mPolicy(aPolicy)
    , mUpdated(aClock.Now())
  {
  }

  // Returns true if the next request is admitted. Admissions are spread evenly over the requests;
  // resent requests have priority.
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

  // Reports the result of an admitted request; success means a response of a backend server without
  // a failure. Results that are unrelated to capacity must not be reported.
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

  // Returns the delay after which a refused request should be resent: the longest one that still
  // meets its target, which spreads a peak as widely as possible. aJitter is a random number from 0
  // to 1 that keeps requests refused together from being resent together.
  Duration RetryAfter(Duration aTarget, double aJitter) const
  {
    const Duration spare =
      std::chrono::duration_cast<Duration>(aTarget - mMeanLatency * kLatencyMargin);
    const Duration latest = std::clamp(spare, mPolicy.mMinRetryAfter, mPolicy.mMaxRetryAfter);
    return std::chrono::duration_cast<Duration>(latest * (0.5 + 0.5 * aJitter));
  }

  // Fraction of the requests that is admitted.
  double AdmitRatio() const { return mAdmitRatio; }
  // True if the success ratio was below the target at the last adjustment.
  bool IsFailing() const { return mFailing; }
  bool CanDecrease() const { return mAdmitRatio > mPolicy.mMinAdmitRatio; }
  // Set while a failing route of lower worth can still be throttled.
  void SetLowerWorthFailing(bool aLowerWorthFailing) { mLowerWorthFailing = aLowerWorthFailing; }

private:
  static constexpr double kLatencyWeight = 1.0 / 16; // of a new sample in the moving average
  static constexpr double kLatencyMargin = 1.3;      // chains take longer under load

  void Update()
  {
    const SteadyTime now = mClock.Now();
    while (now - mUpdated >= mPolicy.mInterval) {
      mUpdated += mPolicy.mInterval;
      AdjustRatio();
      if (mAdmitRatio >= 1 && mResults < 0.01) {
        mUpdated = now; // an idle, unthrottled route needs no further steps
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
  double mResults = 0; // exponentially decaying count, as is mSuccesses
  double mSuccesses = 0;
  Duration mMeanLatency{}; // moving average over successes
  int mIntervalsSinceDecrease = 0;
  bool mFailing = false;
  bool mLowerWorthFailing = false;
};

// Throttles of all routes on one entry node. Among failing routes, those of the least worth are
// throttled fastest, because their chains usually share the downstream service that lacks capacity.
// Not thread safe.
class EntryThrottles
{
public:
  EntryThrottles(const Clock& aClock, const EntryThrottlePolicy& aPolicy)
    : mClock(aClock)
    , mPolicy(aPolicy)
  {
  }

  // Adds a route that starts call chains, or updates the worth of its rank.
  void Add(const std::string& aRoute, double aWorth)
  {
    const auto [entry, added] =
      mRoutes.try_emplace(aRoute, Route{ EntryThrottle(mClock, mPolicy), aWorth });
    entry->second.mWorth = aWorth;
  }

  // Returns null if the route was not added.
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

  // Removes the routes for which aIsGone(name) returns true.
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
