// Scenario: an overloaded server that slows down when nearly all of its slots are in use.
#include "simulated_server.h"

#include "balsammount/slot_limit.h"

#include <CppUTest/TestHarness.h>

using namespace balsammount;
using namespace balsammount::test;
using namespace std::chrono_literals;

namespace {

AdmissionPolicy Policy(uint32_t aSlots, bool aSearchSlots)
{
  AdmissionPolicy policy;
  policy.mSlots = aSlots;
  policy.mMaxQueue = 32;
  policy.mAdaptiveLimit = false;
  policy.mSearchSlots = aSearchSlots;
  return policy;
}

struct Server
{
  uint32_t mSlots = 44;
  double mKnee = 1;
  double mSlowdown = 1;
};

// Returns the requests per second that the server completes at three times its capacity.
double Throughput(const Server& aServer, bool aSearchSlots, uint64_t aSeed)
{
  SimulatedServer server(Policy(aServer.mSlots, aSearchSlots), aSeed);
  server.mKnee = aServer.mKnee;
  server.mSlowdownAboveKnee = aServer.mSlowdown;
  server.SetRate(0, 3.0 * aServer.mSlots / server.mMeanServiceTime);
  server.Run(5s);
  server.ClearCounts();
  server.Run(20s);
  return server.mCounts[0].mServed / 20.0;
}

} // namespace

TEST_GROUP(SlotLimit){};

// Guards against the loss of throughput at the last service of a chain, whose servers become slower
// by 1.3 when more than 95% of their slots are in use.
TEST(SlotLimit, LeavesTheSlotsFreeThatSlowTheServerDown)
{
  for (const uint32_t slots : { 18U, 22U, 44U, 122U }) {
    for (uint64_t seed = 1; seed <= 5; ++seed) {
      const Server server{ slots, 0.95, 1.3 };
      CHECK_COMPARE(Throughput(server, true, seed), >, 1.12 * Throughput(server, false, seed));
    }
  }
}

// Guards against slots that stay free although the server could use them.
TEST(SlotLimit, UsesAllSlotsOfAServerThatDoesNotSlowDown)
{
  for (const uint32_t slots : { 4U, 18U, 44U, 122U }) {
    for (uint64_t seed = 1; seed <= 5; ++seed) {
      const Server server{ slots, 1, 1 };
      CHECK_COMPARE(Throughput(server, true, seed), >, 0.96 * Throughput(server, false, seed));
    }
  }
}

// Guards against a search that stops above a slowdown that begins earlier.
TEST(SlotLimit, FindsASlowdownThatBeginsEarlier)
{
  for (uint64_t seed = 1; seed <= 5; ++seed) {
    const Server server{ 60, 0.85, 1.5 };
    CHECK_COMPARE(Throughput(server, true, seed), >, 1.1 * Throughput(server, false, seed));
  }
}

// Guards against a limit that follows a server that becomes slower as a whole.
TEST(SlotLimit, KeepsTheLimitOfAServerThatBecomesSlower)
{
  SimulatedServer server(Policy(44, true), 1);
  server.SetRate(0, 6600);
  server.Run(10s);
  server.mMeanServiceTime *= 5;
  server.Run(10s);
  server.ClearCounts();
  server.Run(20s);
  CHECK_COMPARE(server.mCounts[0].mServed / 20.0, >, 0.93 * 44 / server.mMeanServiceTime);
}

// Guards against a limit below the slots of a server without enough requests to measure.
TEST(SlotLimit, DoesNotRefuseBelowTheLimit)
{
  SimulatedServer server(Policy(44, true), 1);
  server.SetRate(0, 0.6 * 44 / server.mMeanServiceTime);
  server.Run(20s);
  CHECK_EQUAL(0, server.mCounts[0].mRefused);
  CHECK_EQUAL(0, server.mCounts[0].mLate);
}
