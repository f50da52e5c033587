// Adaptive concurrency limit of one backend server, from measured service times only.
#pragma once

#include "balsammount/clock.h"

#include <array>
#include <cstddef>
#include <cstdint>

namespace balsammount {

inline constexpr size_t kMaxRanks = 16;

// Compares recent with baseline service time in epochs of about two limits of completed requests,
// and grows or eases the limit. When the ratio is high, and now and then, it searches the knee: it
// steps the limit down until service time no longer falls with it. The service time there is the
// new baseline. A server whose slots are all slower thus keeps its limit, and one that runs fewer
// requests at once gets a lower one. Service times are compared per rank, so that a change of mix
// is not taken for load.
class ConcurrencyLimit
{
public:
  ConcurrencyLimit(uint32_t aMinimum, uint32_t aMaximum, SteadyTime aNow);

  uint32_t Limit() const { return mLimit; }

  // Call after each dispatch with the number in flight.
  void OnDispatch(uint32_t aInFlight);

  // A request that ran to its end or timed out. Fast failures must not be reported: they would
  // lower the baseline.
  void OnSample(size_t aRank, SteadyTime aDispatched, Duration aServiceTime, SteadyTime aNow);

  // The backend server refused a request because it was overloaded.
  void OnOverload(SteadyTime aNow);

  // Clamps the limit to the new bounds and keeps what was learned.
  void SetBounds(uint32_t aMinimum, uint32_t aMaximum);

  // Forgets everything: the backend server was restarted.
  void Reset(SteadyTime aNow);

private:
  struct RankSamples
  {
    double mBaseline = 0; // seconds, 0 when unknown
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
  bool mSlowStart = true;     // doubles until the first sign of saturation
  bool mSearching = false;    // searching the knee
  double mReferenceLimit = 0; // of the previous step of the search
  double mReferenceRatio = 0;
  uint32_t mEpochsAboveTolerance = 0; // epochs in a row above the tolerance
  uint32_t mEpochsAtMinimum = 0;
  bool mOverloaded = false;
};

} // namespace balsammount
