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
    , mTokens(aBurst)
  {
  }

  // The level may fall below zero by one datagram.
  bool HasTokens(SteadyTime aNow)
  {
    const std::chrono::duration<double> passed = aNow - mLast;
    if (passed.count() > 0) {
      mTokens = std::min(mBurst, mTokens + passed.count() * mPerSecond);
      mLast = aNow;
    }
    return mTokens > 0;
  }

  void Consume(size_t aBytes) { mTokens -= static_cast<double>(aBytes); }

private:
  double mPerSecond;
  double mBurst;
  double mTokens;
  SteadyTime mLast{};
};

} // namespace balsammount::detail
