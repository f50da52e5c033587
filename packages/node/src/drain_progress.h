// Decides when a draining node may exit.
#pragma once

#include "balsammount/clock.h"

#include <optional>

namespace balsammount {

// Time that a draining node keeps serving before it closes its ports.
struct DrainDelay
{
  Duration mTotal{};    // callers are served for the whole time
  Duration mPeerPart{}; // the last part, in which other nodes send no more requests

  bool IsPeerPart(Duration aElapsed) const { return aElapsed >= mTotal - mPeerPart; }
  bool IsOver(Duration aElapsed) const { return aElapsed >= mTotal; }
};

// A node may exit once its caller listener has stopped and nothing has been in flight for the quiet
// period, because the last response may still have to be written to its connection.
class DrainProgress
{
public:
  explicit DrainProgress(Duration aQuietPeriod)
    : mQuietPeriod(aQuietPeriod)
  {
  }

  // Must be called periodically. Returns whether the node may exit.
  bool IsComplete(SteadyTime aNow, bool aListenerStopped, bool aIdle)
  {
    if (!aListenerStopped || !aIdle) {
      mIdleSince.reset();
      return false;
    }
    mIdleSince = mIdleSince.value_or(aNow);
    return aNow - *mIdleSince >= mQuietPeriod;
  }

private:
  Duration mQuietPeriod;
  std::optional<SteadyTime> mIdleSince;
};

} // namespace balsammount
