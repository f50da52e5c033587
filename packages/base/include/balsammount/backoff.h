// Pauses between failures.
#pragma once

#include "balsammount/clock.h"
#include "balsammount/random.h"

#include <algorithm>

namespace balsammount {

// Between half of the pause and all of it, so that those who failed together do not come back
// together.
inline Duration Jittered(Duration aDelay, Random& aRandom)
{
  return std::chrono::duration_cast<Duration>(aDelay * (0.5 + 0.5 * aRandom.Uniform()));
}

// Doubles with every failure, between two bounds.
class Backoff
{
public:
  Backoff(Duration aMin, Duration aMax)
    : mMin(aMin)
    , mMax(aMax)
  {
  }

  // The jittered pause after a further failure.
  Duration Next(Random& aRandom)
  {
    mDelay = std::clamp(mDelay * 2, mMin, mMax);
    return Jittered(mDelay, aRandom);
  }

  // After a success.
  void Reset() { mDelay = {}; }

private:
  Duration mMin;
  Duration mMax;
  Duration mDelay{};
};

} // namespace balsammount
