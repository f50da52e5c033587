// Decides when a node checks whether it has missed a change of the configuration.
//
// A watch request that the store has lost looks like one without changes, whatever becomes of other
// calls. A node therefore keeps the time as of which its configuration was the newest one, and
// checks it before that time is too far back. The nodes form a tree: the first one reads the store,
// the others ask the one above them. A node that gets no recent answer in time reads the store for
// itself. Nodes state the time in all their responses to each other, which saves most questions.
#pragma once

#include "balsammount/clock.h"

#include <algorithm>
#include <cstddef>
#include <optional>

namespace balsammount {

class ConfigFreshness
{
public:
  // aConvergence is the time after which an acknowledged configuration must be in force on every
  // node that the store answers.
  explicit ConfigFreshness(Duration aConvergence);

  // Sets the number of nodes above this one in the tree. aSpread is a number that differs between
  // nodes, so that they do not read at the same time.
  void SetDepth(size_t aDepth, uint64_t aSpread);

  // The configuration in force was the newest one at aAsOf, according to the answer to a request
  // that was sent at aSentAt.
  void OnVerified(SteadyTime aAsOf, SteadyTime aSentAt);
  // The machine was suspended for aTime, which the clock did not count. All that was known is older
  // by that, and how old an answer is to a request of before is not known.
  void OnSuspended(Duration aTime, SteadyTime aNow);
  void OnAsked(SteadyTime aNow);
  void OnReadSent(SteadyTime aNow);
  // A read that was sent at aSentAt got an answer. Followed by OnVerified or OnNotVerified.
  void OnAnswered(SteadyTime aSentAt);
  // A read that was sent at aSentAt got no answer, or one that does not verify the configuration.
  void OnNotVerified(SteadyTime aSentAt, SteadyTime aNow);

  // When to ask the node above this one; nullopt if there is none.
  std::optional<SteadyTime> NextQuestion() const;
  SteadyTime NextRead() const;
  // As of when the configuration in force was the newest one. Only a value that was read and is the
  // one in force verifies it, here or on a node that has the same one. Nullopt before the first
  // time.
  std::optional<SteadyTime> VerifiedAsOf() const { return mVerifiedAsOf; }
  // As of when the store was last asked with an answer, here or on such a node, whatever the answer
  // was. Nothing more can be learned by waiting for it.
  std::optional<SteadyTime> CheckedAsOf() const { return std::max(mVerifiedAsOf, mAnsweredAsOf); }

private:
  Duration Share(double aShare) const;
  Duration ReadAge() const;

  Duration mConvergence;
  size_t mDepth = 0;
  uint64_t mSpread = 0;
  std::optional<SteadyTime> mVerifiedAsOf;
  std::optional<SteadyTime> mAnsweredAsOf;
  SteadyTime mSuspensionNoticedAt = SteadyTime::min();
  SteadyTime mNoQuestionBefore{};
  SteadyTime mNoReadBefore{};
  SteadyTime mLastReadSent{};
  size_t mUnanswered = 0; // reads in a row
};

} // namespace balsammount
