// Simulates several ownership cores with a network, a store and callers in virtual time. The seed
// determines all faults and requests.
#pragma once

#include "balsammount/ownership.h"

#include <string>

namespace balsammount::simulation {

struct Options
{
  uint64_t mSeed = 0;
  size_t mNodes = 6; // at most 36
  ShardId mShards = 4;
  size_t mVoters = 3; // few enough that schedules include the loss of a majority
  size_t mReaders = 2;
  int mKeys = 70;
  std::chrono::milliseconds mVerificationLifetime = std::chrono::hours(2);
  OwnershipChecks mChecks;
  bool mUnknownAfterTakeover = true;
  bool mFaults = true;
  bool mSlowStore = false;
  bool mPartitions = false;     // more partitions and restarts than other faults
  bool mRollingRestart = false; // each node drains and restarts in turn, instead of other faults
  bool mLoseVoters = false; // a majority of the voters ends permanently, instead of other faults
  bool mCrash = false;      // one owner ends permanently, instead of other faults
  bool mDrainOne = false;   // one owner drains, instead of other faults
  bool mEncode = false;     // encodes and decodes every message
};

struct Outcome
{
  std::string mDoubleExecution; // empty: none
  bool mServed = false;    // every shard had an owner with the right to dispatch after the faults
  double mServedAfter = 0; // seconds from the end of the faults
  uint64_t mExecutions = 0;
  uint64_t mReplays = 0;
  uint64_t mUnknowns = 0;
  uint64_t mTakeovers = 0;
  uint64_t mHandovers = 0;
  // These are counted from 10 s to 20 s.
  uint64_t mMessages = 0;
  uint64_t mMessageBytes = 0;
  uint64_t mStoreReads = 0;
  uint64_t mStoreWrites = 0;
};

Outcome Simulate(const Options& aOptions);

} // namespace balsammount::simulation
