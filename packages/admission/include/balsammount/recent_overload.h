// Time of the last refusal for lack of capacity, on this node or downstream in the call graph.
//
// A chain may fail because a downstream service is full, because a backend server drops its
// responses, or because one is slow. Admitting fewer chains helps only in the first case. The call
// graph is not declared, so every node reports in its responses how long ago it saw a refusal for
// capacity or received such a report.
#pragma once

#include "balsammount/clock.h"

#include <algorithm>
#include <optional>

namespace balsammount {

// Not thread safe; does not allocate.
class RecentOverload
{
public:
  explicit RecentOverload(const Clock& aClock)
    : mClock(aClock)
  {
  }

  // Records that a request was refused for capacity this long ago. Passing on the age keeps nodes
  // that call each other from renewing an old observation.
  void Record(Duration aAge = Duration::zero())
  {
    const SteadyTime observed = mClock.Now() - std::max(aAge, Duration::zero());
    mLatest = mLatest ? std::max(*mLatest, observed) : observed;
  }

  // Returns nullopt if there was no refusal or it is too old to explain a current failure.
  std::optional<Duration> Age() const
  {
    const auto age = mLatest ? std::optional(mClock.Now() - *mLatest) : std::nullopt;
    return age && *age < kMaxAge ? age : std::nullopt;
  }

private:
  // A chain that fails because of a downstream refusal ends within the timeout of its route, about
  // 1 s.
  static constexpr Duration kMaxAge = std::chrono::milliseconds(1500);

  const Clock& mClock;
  std::optional<SteadyTime> mLatest;
};

} // namespace balsammount
