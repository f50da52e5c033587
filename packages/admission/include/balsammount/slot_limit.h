// How many of a backend server's slots to use at a time.
//
// Pattern: a server that slows down when nearly all of its slots are in use completes more requests
// if a few of them stay free. At the last service of a chain, which limits the whole chain, leaving
// 6% of the slots free is worth 20% of the throughput if the server is slower by 1.3 above that.
#pragma once

#include "balsammount/clock.h"
#include "balsammount/concurrency_limit.h"

#include <array>
#include <cstddef>
#include <cstdint>

namespace balsammount {

// Chooses among a few shares of the slots by the throughput that they give. While the chosen limit
// is reached, a window of requests with another share is compared with the windows before it every
// few windows. Only windows next to each other are compared, because the server itself becomes
// slower and faster. Service times are compared per rank, because the mix of requests changes.
class SlotLimit
{
public:
  explicit SlotLimit(uint32_t aSlots) { SetSlots(aSlots); }

  uint32_t Limit() const { return mLimits[mTrial]; }

  // Forgets what is known about the server if its number of slots has changed.
  void SetSlots(uint32_t aSlots);

  // Must be called after each dispatch with the number of requests in flight.
  void OnDispatch(uint32_t aInFlight, SteadyTime aNow);

  // Reports a request that completed or timed out.
  void OnSample(size_t aRank, SteadyTime aDispatched, Duration aServiceTime, SteadyTime aNow);

private:
  static constexpr size_t kShares = 4;

  // Service times of one window.
  struct Samples
  {
    std::array<double, kMaxRanks> mSums{}; // seconds
    std::array<uint32_t, kMaxRanks> mCounts{};
    uint32_t mTotal = 0;
  };

  void StartWindow(size_t aShare, SteadyTime aNow);
  void EndWindow(SteadyTime aNow);
  void Compare();
  size_t NextTrial();
  // Returns the mean ratio of the service times of both, weighted by rank; 0 if no rank is in both.
  static double ServiceTimeRatio(const Samples& aLeft, const Samples& aRight);

  uint32_t mSlots = 0;
  std::array<uint32_t, kShares> mLimits{};
  // Throughput of each share relative to the chosen one; 0 if unknown.
  std::array<double, kShares> mThroughput{};
  size_t mChosen = 0;
  size_t mTrial = 0; // the share in use; differs from mChosen while another one is tried
  size_t mLastTrial = 0;
  uint32_t mWindows = 0; // with the chosen share since the last trial
  Samples mReference;    // of the last window with the chosen share
  Samples mWindow;
  uint32_t mDispatchesBelowLimit = 0; // in this window
  SteadyTime mWindowStart{};
};

} // namespace balsammount
