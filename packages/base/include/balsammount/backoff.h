// Exponential backoff with jitter.
#pragma once

#include "balsammount/clock.h"
#include "balsammount/random.h"

#include <algorithm>

namespace balsammount {

// Returns a random duration between half of aDelay and aDelay, so that callers that fail at the
// same time do not retry at the same time.
inline Duration Jittered(Duration aDelay, Random& aRandom)
{
  return std::chrono::duration_cast<Duration>(aDelay * (0.5 + 0.5 * aRandom.Uniform()));
}

// Computes retry delays that double with every failure, within [aMin, aMax].
class Backoff
{
public:
  Backoff(Duration aMin, Duration aMax)
    : mMin(aMin)
    , mMax(aMax)
  {
  }

  // Returns the jittered delay to wait after another failure.
  Duration Next(Random& aRandom)
  {
    mDelay = std::clamp(mDelay * 2, mMin, mMax);
    return Jittered(mDelay, aRandom);
  }

  // Resets the delay to the minimum. Call it after a success.
  void Reset() { mDelay = {}; }

private:
  Duration mMin;
  Duration mMax;
  Duration mDelay{};
};

} // namespace balsammount
