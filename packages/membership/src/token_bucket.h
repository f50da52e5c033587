// Token bucket that limits the rate of sent bytes.
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

  // Refills the bucket. Consume may make it negative by up to one datagram.
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
