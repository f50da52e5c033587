// The load pattern: backend servers break off answers while there is capacity for all requests.
#include "balsammount/recent_overload.h"

#include <CppUTest/TestHarness.h>

using namespace balsammount;
using namespace std::chrono_literals;

TEST_GROUP(RecentOverload)
{
  ManualClock mClock;
  RecentOverload mUpper{ mClock };
  RecentOverload mLower{ mClock };
};

// Guards against requests that are refused at the entry although no service lacks capacity.
TEST(RecentOverload, NothingWithoutARefusal)
{
  CHECK_FALSE(mUpper.Age().has_value());
  mLower.Note();
  mClock.Advance(100ms);
  CHECK(*mLower.Age() == 100ms);
  mUpper.Note(*mLower.Age());
  CHECK(*mUpper.Age() == 100ms);
  mClock.Advance(1400ms);
  CHECK_FALSE(mUpper.Age().has_value());
}

// Guards against two nodes that call each other and keep an old overload alive.
TEST(RecentOverload, AnEchoDoesNotRenew)
{
  mLower.Note();
  for (int i = 0; i < 100; ++i) {
    mClock.Advance(20ms);
    if (const auto age = mLower.Age()) {
      mUpper.Note(*age);
    }
    if (const auto age = mUpper.Age()) {
      mLower.Note(*age);
    }
  }
  CHECK_FALSE(mLower.Age().has_value());
  CHECK_FALSE(mUpper.Age().has_value());
}

// Guards against an older report that hides a newer one.
TEST(RecentOverload, TheLatestCounts)
{
  mUpper.Note(10ms);
  mUpper.Note(1s);
  CHECK(*mUpper.Age() == 10ms);
}
