#include "balsammount/store_position.h"

namespace balsammount {

bool StorePosition::OnAnswer(SteadyTime aSentAt, SteadyTime aNow, Revision aRevision)
{
  // The call may have been answered before the store went back.
  if (aSentAt < mWentBackAt) {
    return false;
  }
  if (aRevision > mHighest) {
    mHighest = aRevision;
    mReachedAt = aNow;
    return false;
  }
  if (aRevision == mHighest || aSentAt <= mReachedAt) {
    return false;
  }
  mHighest = aRevision;
  mReachedAt = aNow;
  mWentBackAt = aNow;
  return true;
}

} // namespace balsammount
