// When a lack of capacity was last seen, here or further down the call graph.
//
// A chain fails for many reasons: a deep service that is full, a backend server that breaks off its
// answers, one that is slow. To let fewer chains in helps only against the first. Nobody declares
// the call graph, so every node tells with its answers how long ago it saw a refusal for capacity,
// or was told of one.
#pragma once

#include "balsammount/clock.h"

#include <algorithm>
#include <optional>

namespace balsammount {

// Not thread safe; allocates nothing.
class RecentOverload
{
public:
  explicit RecentOverload(const Clock& aClock)
    : mClock(aClock)
  {
  }

  // A request was refused for capacity this long ago. The age keeps nodes that call each other from
  // renewing an old observation.
  void Record(Duration aAge = Duration::zero())
  {
    const SteadyTime observed = mClock.Now() - std::max(aAge, Duration::zero());
    mLatest = mLatest ? std::max(*mLatest, observed) : observed;
  }

  // Nothing when it is too long ago to explain a failure now.
  std::optional<Duration> Age() const
  {
    const auto age = mLatest ? std::optional(mClock.Now() - *mLatest) : std::nullopt;
    return age && *age < kMaxAge ? age : std::nullopt;
  }

private:
  // A chain that a refusal deep down fails ends within its route's timeout, about a second.
  static constexpr Duration kMaxAge = std::chrono::milliseconds(1500);

  const Clock& mClock;
  std::optional<SteadyTime> mLatest;
};

} // namespace balsammount
