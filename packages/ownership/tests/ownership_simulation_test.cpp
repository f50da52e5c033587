#include "ownership_simulation.h"

#include <CppUTest/TestHarness.h>

#include <cstdlib>

using namespace balsammount;
using namespace balsammount::simulation;

namespace {

#ifdef __SANITIZE_ADDRESS__
constexpr uint64_t kSeeds = 150;
#else
constexpr uint64_t kSeeds = 2000;
#endif

// BM_OWNERSHIP_SEEDS=FIRST:COUNT runs other seeds.
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

TEST_GROUP(OwnershipSimulation){};

// Guards against a second execution of a key while its record would be retained, and against
// shards that stay without an owner after the faults have ended.
TEST(OwnershipSimulation, RunsNoKeyTwiceAndServesAgain)
{
  Outcome total;
  const auto [first, count] = Seeds();
  for (uint64_t seed = first; seed < first + count; ++seed) {
    Options options;
    options.mSeed = seed;
    const Outcome outcome = Simulate(options);
    STRCMP_EQUAL("", outcome.mDoubleExecution.c_str());
    CHECK_TEXT(outcome.mServed, ("not served, seed " + std::to_string(seed)).c_str());
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
