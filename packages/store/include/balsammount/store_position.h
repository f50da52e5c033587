// Notices a store that returns from an older copy.
#pragma once

#include "balsammount/clock.h"
#include "balsammount/store.h"

namespace balsammount {

// The revision of a store never decreases, unless the store has lost changes that it had
// acknowledged. Revisions are then given out again, so a revision alone does not identify a change.
class StorePosition
{
public:
  // Handles the revision in an answer that arrived at aNow to a call that was sent at aSentAt.
  // Returns true if the store has gone back since an earlier answer. Answers can arrive out of
  // order; only a call that was sent after an answer had arrived must not see less. Must not be
  // called for reads that may be stale.
  bool OnAnswer(SteadyTime aSentAt, SteadyTime aNow, Revision aRevision);

  // The highest revision since the store last went back.
  Revision Highest() const { return mHighest; }

private:
  Revision mHighest = 0;
  SteadyTime mReachedAt = SteadyTime::min();  // when mHighest first arrived
  SteadyTime mWentBackAt = SteadyTime::min(); // when that was noticed
};

} // namespace balsammount
