// Scenario: backend servers drop responses while there is capacity for all requests.
#include "balsammount/recent_overload.h"

#include <CppUTest/TestHarness.h>

using namespace balsammount;
using namespace std::chrono_literals;

TEST_GROUP(RecentOverload)
{
  ManualClock mClock;
  RecentOverload mCallerNode{ mClock };
  RecentOverload mCalleeNode{ mClock };
};

// Guards against throttling at the entry although no service lacks capacity.
TEST(RecentOverload, ReportsOnlyRecentRefusals)
{
  CHECK_FALSE(mCallerNode.Age().has_value());
  mCalleeNode.Record();
  mClock.Advance(100ms);
  CHECK(*mCalleeNode.Age() == 100ms);
  mCallerNode.Record(*mCalleeNode.Age());
  CHECK(*mCallerNode.Age() == 100ms);
  mClock.Advance(1400ms);
  CHECK_FALSE(mCallerNode.Age().has_value());
}

// Guards against two nodes that call each other and keep renewing an old observation.
TEST(RecentOverload, RelayedReportsDoNotExtendTheAge)
{
  mCalleeNode.Record();
  for (int i = 0; i < 100; ++i) {
    mClock.Advance(20ms);
    if (const auto age = mCalleeNode.Age()) {
      mCallerNode.Record(*age);
    }
    if (const auto age = mCallerNode.Age()) {
      mCalleeNode.Record(*age);
    }
  }
  CHECK_FALSE(mCalleeNode.Age().has_value());
  CHECK_FALSE(mCallerNode.Age().has_value());
}

// Guards against an older report that replaces a newer one.
TEST(RecentOverload, KeepsTheLatestObservation)
{
  mCallerNode.Record(10ms);
  mCallerNode.Record(1s);
  CHECK(*mCallerNode.Age() == 10ms);
}
