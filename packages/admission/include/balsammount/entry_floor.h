// Floors on the entry node: requests that a shed level must not refuse.
#pragma once

#include "balsammount/concurrency_limit.h"

#include <algorithm>
#include <span>

namespace balsammount {

// Floors of one service. Each rank is guaranteed its floor as a share of the requests that this
// node sends to the service, whatever the shed level. The total follows what the service admits, so
// neither slots nor service times have to be known here. Does not allocate.
class EntryFloors
{
public:
  explicit EntryFloors(std::span<const double> aFloors) { SetFloors(aFloors); }

  void SetFloors(std::span<const double> aFloors)
  {
    mCount = std::min(aFloors.size(), kMaxRanks);
    std::copy_n(aFloors.begin(), mCount, mFloors.begin());
  }

  // Must be called for every first attempt that is sent to the service.
  void OnSent(size_t aRank)
  {
    for (size_t i = 0; i < mCount; ++i) {
      mCredit[i] = std::min(mCredit[i] + kSlack * mFloors[i], 1 + kBurst * mFloors[i]);
    }
    if (aRank < mCount) {
      mCredit[aRank] = std::max(0.0, mCredit[aRank] - 1);
    }
  }

  // Returns true if a request of the rank must be sent even though the shed level refuses it.
  bool HasFloorCredit(size_t aRank) const
  {
    return aRank < mCount && mFloors[aRank] > 0 && mCredit[aRank] >= 1;
  }

private:
  // Ratio of the credit to the floor. The excess makes up for sent requests that the service
  // refuses; the service itself enforces the floors exactly.
  static constexpr double kSlack = 1.2;
  // Maximum burst of an idle rank, in requests per unit of floor.
  static constexpr double kBurst = 64;

  std::array<double, kMaxRanks> mFloors{};
  std::array<double, kMaxRanks> mCredit{};
  size_t mCount = 0;
};

} // namespace balsammount
