#include "ownership_simulation.h"

#include <CppUTest/TestHarness.h>

#include <CppUTest/MemoryLeakWarningPlugin.h>

#include <algorithm>
#include <cstdlib>

using namespace balsammount;
using namespace balsammount::simulation;

namespace {

#ifdef __SANITIZE_ADDRESS__
constexpr uint64_t kSeeds = 150;
#else
constexpr uint64_t kSeeds = 1500;
#endif

// Maximum seconds from the end of the faults until every shard is served: a view of the members
// (1.2), the longer grace (5), the slowest proposer without a voter majority (4 + 5), reads and
// writes with retries (2), releases (0.5), the takeover wait (2.5) and a confirmation (0.6), on
// clocks that are 5% slow.
constexpr double kMaxServedAfter = 21.8;

// Returns the first seed and their number, which BM_OWNERSHIP_SEEDS=FIRST:COUNT overrides.
std::pair<uint64_t, uint64_t> Seeds()
{
  const char* text = std::getenv("BM_OWNERSHIP_SEEDS");
  if (!text) {
    return { 1, kSeeds };
  }
  char* rest = nullptr;
  const uint64_t first = std::strtoull(text, &rest, 10);
  return { first, *rest == ':' ? std::strtoull(rest + 1, nullptr, 10) : 1 };
}

} // namespace

// The leak detection of the test runner is off, because it would take a third of the time. The
// build with AddressSanitizer finds leaks.
TEST_GROUP(OwnershipSimulation){
  void setup() override{ MemoryLeakWarningPlugin::saveAndDisableNewDeleteOverloads();
}
void teardown() override
{
  MemoryLeakWarningPlugin::restoreNewDeleteOverloads();
}
}
;

// Guards against a second execution of a key within its retention, and against shards that stay
// without an owner after the faults have ended.
TEST(OwnershipSimulation, ExecutesKeysAtMostOnceAndRecovers)
{
  Outcome total;
  const auto [first, count] = Seeds();
  for (uint64_t seed = first; seed < first + count; ++seed) {
    Options options;
    options.mSeed = seed;
    options.mVoters = seed % 4 == 0 ? 5 : 3;
    options.mReaders = seed % 5 == 0 ? 0 : 2;
    options.mNodes = 4 + seed % 4;
    options.mEncode = seed % 16 == 0;
    const Outcome outcome = Simulate(options);
    STRCMP_EQUAL("", outcome.mDoubleExecution.c_str());
    CHECK_TEXT(outcome.mServed && outcome.mServedAfter <= kMaxServedAfter,
               ("not served in time, seed " + std::to_string(seed)).c_str());
    total.mServedAfter = std::max(total.mServedAfter, outcome.mServedAfter);
    total.mExecutions += outcome.mExecutions;
    total.mReplays += outcome.mReplays;
    total.mUnknowns += outcome.mUnknowns;
    total.mTakeovers += outcome.mTakeovers;
    total.mHandovers += outcome.mHandovers;
  }
  UT_PRINT(("executions " + std::to_string(total.mExecutions) + ", replays " +
            std::to_string(total.mReplays) + ", unknown " + std::to_string(total.mUnknowns) +
            ", takeovers " + std::to_string(total.mTakeovers) + ", handovers " +
            std::to_string(total.mHandovers) + ", served again after at most " +
            std::to_string(total.mServedAfter) + " s")
             .c_str());
}

namespace {

// Returns the first seed up to 2000 that executes a key twice with these options, or 0 if none
// does.
uint64_t FirstDoubleExecution(Options aOptions)
{
  aOptions.mKeys = 300; // makes a double execution more likely per seed
  for (uint64_t seed = 1; seed <= 2000; ++seed) {
    aOptions.mSeed = seed;
    if (!Simulate(aOptions).mDoubleExecution.empty()) {
      UT_PRINT(("first double execution: seed " + std::to_string(seed)).c_str());
      return seed;
    }
  }
  return 0;
}

} // namespace

// The following tests guard against a simulation that does not detect the loss of a safety
// mechanism, and against mechanisms without effect.

TEST(OwnershipSimulation, NeedsRightAtDispatch)
{
  Options options;
  options.mChecks.mRightAtDispatch = false;
  CHECK(FirstDoubleExecution(options) != 0);
}

TEST(OwnershipSimulation, NeedsWaitAfterTakeover)
{
  Options options;
  options.mChecks.mWaitAfterTakeover = false;
  CHECK(FirstDoubleExecution(options) != 0);
}

TEST(OwnershipSimulation, NeedsVoterRelease)
{
  Options options;
  options.mChecks.mVoterRelease = false;
  options.mPartitions = true;
  CHECK(FirstDoubleExecution(options) != 0);
}

TEST(OwnershipSimulation, NeedsEarlierVoterSets)
{
  Options options;
  options.mChecks.mEarlierVoterSets = false;
  CHECK(FirstDoubleExecution(options) != 0);
}

TEST(OwnershipSimulation, NeedsVoterIncarnationOrVerification)
{
  Options options;
  options.mChecks.mVoterIncarnation = false;
  options.mChecks.mVoterVerification = false;
  CHECK(FirstDoubleExecution(options) != 0);
}

TEST(OwnershipSimulation, NeedsFreezeUntilSettled)
{
  Options options;
  options.mChecks.mFreezeUntilSettled = false;
  options.mNodes = 4;
  options.mRollingRestart = true;
  options.mSlowStore = true;
  CHECK(FirstDoubleExecution(options) != 0);
}

TEST(OwnershipSimulation, NeedsUnknownAfterTakeover)
{
  Options options;
  options.mUnknownAfterTakeover = false;
  CHECK(FirstDoubleExecution(options) != 0);
}

// Guards against planned restarts that cause an unknown outcome or a takeover.
TEST(OwnershipSimulation, RollingRestartCausesNoUnknownOutcome)
{
  for (uint64_t seed = 1; seed <= 50; ++seed) {
    Options options;
    options.mSeed = seed;
    options.mRollingRestart = true;
    options.mEncode = true;
    const Outcome outcome = Simulate(options);
    STRCMP_EQUAL("", outcome.mDoubleExecution.c_str());
    LONGS_EQUAL(0, outcome.mUnknowns);
    LONGS_EQUAL(0, outcome.mTakeovers);
    CHECK(outcome.mHandovers >= 1);
    CHECK(outcome.mServed);
  }
}

// Guards against shards that stay without an owner when a majority of the voters never returns.
TEST(OwnershipSimulation, ReplacesLostVotersAfterVerificationExpires)
{
  for (uint64_t seed = 1; seed <= 50; ++seed) {
    Options options;
    options.mSeed = seed;
    options.mLoseVoters = true;
    options.mVerificationLifetime = std::chrono::seconds(5);
    const Outcome outcome = Simulate(options);
    STRCMP_EQUAL("", outcome.mDoubleExecution.c_str());
    CHECK_TEXT(outcome.mServed, std::to_string(seed).c_str());
  }
}

// Guards against a takeover that is blocked because a voter terminated together with the owner.
TEST(OwnershipSimulation, TakesOverFromTerminatedOwner)
{
  for (uint64_t seed = 1; seed <= 100; ++seed) {
    Options options;
    options.mSeed = seed;
    options.mCrash = true;
    const Outcome outcome = Simulate(options);
    CHECK_TEXT(outcome.mServed && outcome.mServedAfter < 6, std::to_string(seed).c_str());
  }
}

// Measures the figures of the design page; run with -ri. 36 nodes, 64 shards, 5 voters, 2 readers
// in each of 2 data centres.
IGNORE_TEST(OwnershipSimulation, Measurements)
{
  Options options;
  options.mNodes = 36;
  options.mShards = 64;
  options.mVoters = 5;
  options.mReaders = 4;
  options.mKeys = 0;
  options.mFaults = false;
  options.mEncode = true;
  Outcome outcome = Simulate(options);
  const auto perSecond = [](uint64_t aCount) {
    return std::to_string(static_cast<double>(aCount) / 10);
  };
  UT_PRINT(("36 nodes, all: messages/s " + perSecond(outcome.mMessages) + ", bytes/s " +
            perSecond(outcome.mMessageBytes) + ", store reads/s " + perSecond(outcome.mStoreReads) +
            ", store writes/s " + perSecond(outcome.mStoreWrites))
             .c_str());
  for (const bool drain : { false, true }) {
    options = {};
    options.mCrash = !drain;
    options.mDrainOne = drain;
    std::vector<double> gaps;
    for (uint64_t seed = 1; seed <= 1000; ++seed) {
      options.mSeed = seed;
      outcome = Simulate(options);
      CHECK(outcome.mServed);
      gaps.push_back(outcome.mServedAfter);
    }
    std::ranges::sort(gaps);
    UT_PRINT(((drain ? "drain" : "crash") +
              std::string(" until all shards are served, s: median ") + std::to_string(gaps[500]) +
              ", 99% " + std::to_string(gaps[989]) + ", most " + std::to_string(gaps[999]))
               .c_str());
  }
}
