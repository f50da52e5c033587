// Several ownership cores with a network, a store and callers in virtual time. Faults and requests
// follow from the seed.
#pragma once

#include "balsammount/ownership.h"

#include <string>

namespace balsammount::simulation {

struct Options
{
  uint64_t mSeed = 0;
  OwnershipChecks mChecks;
  bool mUnknownAfterTakeover = true;
  bool mFaults = true;
  bool mEncode = false;      // passes every message through its MessagePack form
  bool mPlannedOnly = false; // drains and restarts instead of faults
};

struct Outcome
{
  std::string mDoubleExecution; // empty: none
  bool mServed = false;         // every shard had a dispatching owner again after the faults
  double mServedAfter = 0;      // seconds from the end of the faults
  uint64_t mExecutions = 0;
  uint64_t mReplays = 0;
  uint64_t mUnknowns = 0;
  uint64_t mTakeovers = 0;
  uint64_t mHandovers = 0;
};

Outcome Simulate(const Options& aOptions);

} // namespace balsammount::simulation
