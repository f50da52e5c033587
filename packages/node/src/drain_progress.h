// When a node that drains may end.
#pragma once

#include "balsammount/clock.h"

#include <optional>

namespace balsammount {

// The parts of the notice that a node gives before it stops.
struct DrainDelay
{
  Duration mTotal{};    // callers learn of it from the start
  Duration mPeerPart{}; // the last part, in which other nodes send nothing more

  bool IsPeerPart(Duration aElapsed) const { return aElapsed >= mTotal - mPeerPart; }
  bool IsOver(Duration aElapsed) const { return aElapsed >= mTotal; }
};

// A node may end once its listener has stopped and nothing was in flight for a while: an answer
// that was just handed to a connection still has to be written.
class DrainProgress
{
public:
  explicit DrainProgress(Duration aQuietPeriod)
    : mQuietPeriod(aQuietPeriod)
  {
  }

  // Called at every check; true when the node may end.
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
