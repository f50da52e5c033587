// Floors at the node where requests enter: what a shed level must let pass.
#pragma once

#include "balsammount/concurrency_limit.h"

#include <algorithm>
#include <span>

namespace balsammount {

// One per service. A rank is owed its floor share of all requests that this node sends to the
// service, so the shed level cannot press it below that. What the service admits decides how much
// is sent, hence neither slots nor service times need to be known here. Allocates nothing.
class EntryFloors
{
public:
  explicit EntryFloors(std::span<const double> aFloors) { SetFloors(aFloors); }

  void SetFloors(std::span<const double> aFloors)
  {
    mCount = std::min(aFloors.size(), kMaxRanks);
    std::copy_n(aFloors.begin(), mCount, mFloors.begin());
  }

  // Call for every first attempt that is sent to the service.
  void OnSent(size_t aRank)
  {
    for (size_t i = 0; i < mCount; ++i) {
      mCredit[i] = std::min(mCredit[i] + kSlack * mFloors[i], 1 + kBurst * mFloors[i]);
    }
    if (aRank < mCount) {
      mCredit[aRank] = std::max(0.0, mCredit[aRank] - 1);
    }
  }

  // True when a request that the shed level refuses must be sent all the same.
  bool HasFloorCredit(size_t aRank) const
  {
    return aRank < mCount && mFloors[aRank] > 0 && mCredit[aRank] >= 1;
  }

private:
  // Some of what is sent is refused further on, where the floors are kept exactly.
  static constexpr double kSlack = 1.2;
  // A rank that was idle may send so many requests times its floor at once.
  static constexpr double kBurst = 64;

  std::array<double, kMaxRanks> mFloors{};
  std::array<double, kMaxRanks> mCredit{};
  size_t mCount = 0;
};

} // namespace balsammount
