#include "balsammount/recent_refusals.h"

#include <CppUTest/TestHarness.h>

using namespace balsammount;
using namespace std::chrono_literals;

TEST_GROUP(RecentRefusals)
{
  ManualClock mClock;
  RecentRefusals mRefusals{ mClock };
};

// Guards against a caller that comes back and goes to the end again, and against one refusal that
// lets many requests pass.
TEST(RecentRefusals, EachRefusalCountsForOneResend)
{
  CHECK_FALSE(mRefusals.Take(1));
  mRefusals.Add(1);
  mRefusals.Add(1);
  CHECK(mRefusals.Take(1));
  CHECK(mRefusals.Take(1));
  CHECK_FALSE(mRefusals.Take(1));
  CHECK_FALSE(mRefusals.Take(2));
}

// Guards against memory that grows with every refusal.
TEST(RecentRefusals, ForgetsOldRefusals)
{
  mRefusals.Add(1);
  mClock.Advance(6s);
  CHECK_FALSE(mRefusals.Take(1));
  for (uint64_t i = 0; i < 10'000; ++i) {
    mRefusals.Add(i);
  }
  CHECK_FALSE(mRefusals.Take(0));
  CHECK(mRefusals.Take(9'999));
}
