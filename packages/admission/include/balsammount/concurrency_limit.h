// Adaptive concurrency limit of one backend server, derived from service times alone.
#pragma once

#include "balsammount/clock.h"

#include <array>
#include <cstddef>
#include <cstdint>

namespace balsammount {

inline constexpr size_t kMaxRanks = 16;

// Raises or lowers the limit by the ratio of recent to baseline service time. An epoch spans
// about twice as many completed requests as the limit. If the ratio is high, and periodically, the
// limit is stepped down until service time no longer falls with it: this finds the knee of the
// latency curve, and the service time there becomes the new baseline. A server on which every
// request takes longer therefore keeps its limit, and one with less parallelism gets a lower limit.
// Ratios are taken per rank, so that a change in the mix of requests is not mistaken for load.
class ConcurrencyLimit
{
public:
  ConcurrencyLimit(uint32_t aMinimum, uint32_t aMaximum, SteadyTime aNow);

  uint32_t Limit() const { return mLimit; }

  // Must be called after each dispatch with the number of requests in flight.
  void OnDispatch(uint32_t aInFlight);

  // Reports a request that completed or timed out. Immediate failures must not be reported, because
  // they would lower the baseline.
  void OnSample(size_t aRank, SteadyTime aDispatched, Duration aServiceTime, SteadyTime aNow);

  // Reports that the backend server refused a request because of overload.
  void OnOverload(SteadyTime aNow);

  // Clamps the limit to the new bounds and keeps the baselines.
  void SetBounds(uint32_t aMinimum, uint32_t aMaximum);

  // Discards the limit and the baselines, after a restart of the backend server.
  void Reset(SteadyTime aNow);

private:
  struct RankSamples
  {
    double mBaseline = 0; // seconds; 0 if unknown
    double mSum = 0;
    uint32_t mCount = 0;
  };

  void EndEpoch(SteadyTime aNow);
  double ServiceTimeRatio();
  void UpdateBaselines(bool aSaturated);
  void ScaleBaselines(double aFactor);
  void StartSearch(double aRatio, SteadyTime aNow);
  void StepDown(double aRatio);
  void ContinueSearch(double aRatio);
  void ApplyGradient(double aRatio, SteadyTime aNow);
  void SetLimit(double aLimit);
  void StartEpoch(SteadyTime aNow);

  uint32_t mMinimum;
  uint32_t mMaximum;
  uint32_t mLimit = 1;
  double mExactLimit = 1;
  std::array<RankSamples, kMaxRanks> mRanks{};
  uint32_t mSamples = 0;
  uint32_t mPeakInFlight = 0;
  SteadyTime mEpochStart;
  SteadyTime mLastSearch;
  Duration mSearchInterval{};
  bool mSlowStart = true;     // the limit doubles until the server saturates
  bool mSearching = false;    // stepping down to the knee
  double mReferenceLimit = 0; // before the last step down
  double mReferenceRatio = 0;
  uint32_t mEpochsAboveTolerance = 0; // consecutive
  uint32_t mEpochsAtMinimum = 0;
  bool mOverloaded = false;
};

} // namespace balsammount
