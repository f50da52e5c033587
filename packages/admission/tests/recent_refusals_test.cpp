#include "balsammount/recent_refusals.h"

#include <CppUTest/TestHarness.h>

using namespace balsammount;
using namespace std::chrono_literals;

TEST_GROUP(RecentRefusals)
{
  ManualClock mClock;
  RecentRefusals mRefusals{ mClock };
};

// Guards against a resent request without priority, and against one refusal that gives priority to
// several requests.
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

// Guards against a refusal that expires in place of an earlier one, which a resent request has used
// up.
TEST(RecentRefusals, UsedRefusalDoesNotExpireALaterOne)
{
  mRefusals.Add(1);
  CHECK(mRefusals.Take(1));
  mClock.Advance(4s);
  mRefusals.Add(1);
  mClock.Advance(2s);
  CHECK(mRefusals.Take(1));
  mClock.Advance(6s);
  CHECK_FALSE(mRefusals.Take(1));
}

// Guards against memory that grows with the number of refusals.
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
