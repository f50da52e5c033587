// Byte budget with a rate and a burst.
#pragma once

#include "balsammount/clock.h"

#include <algorithm>

namespace balsammount::detail {

class TokenBucket
{
public:
  TokenBucket(double aPerSecond, double aBurst)
    : mPerSecond(aPerSecond)
    , mBurst(aBurst)
    , mLevel(aBurst)
  {
  }

  // The level may fall below zero by one datagram.
  bool Ready(SteadyTime aNow)
  {
    const std::chrono::duration<double> passed = aNow - mLast;
    if (passed.count() > 0) {
      mLevel = std::min(mBurst, mLevel + passed.count() * mPerSecond);
      mLast = aNow;
    }
    return mLevel > 0;
  }

  void Spend(size_t aBytes) { mLevel -= static_cast<double>(aBytes); }

private:
  double mPerSecond;
  double mBurst;
  double mLevel;
  SteadyTime mLast{};
};

} // namespace balsammount::detail
