#include "parent_finder.h"

#include <CppUTest/TestHarness.h>

using namespace balsammount;
using namespace std::chrono_literals;

TEST_GROUP(ParentFinder)
{
  ManualClock mClock;
  ParentFinder mFinder;

  std::string RankAt(Duration aTimeLeft)
  {
    const std::string* rank = mFinder.FindRank(mClock.Now() + aTimeLeft);
    return rank ? *rank : "";
  }
};

// Guards against calls of urgent chains that have the rank of other chains or none.
TEST(ParentFinder, CallHasTheRankOfTheRequestWithItsDeadline)
{
  mFinder.Add(mClock.Now() + 800ms, "urgent");
  mFinder.Add(mClock.Now() + 1200ms, "usual");
  mFinder.Add(mClock.Now() + 5000ms, "least");
  STRCMP_EQUAL("urgent", RankAt(800ms).c_str());
  STRCMP_EQUAL("usual", RankAt(1200ms).c_str());
  STRCMP_EQUAL("least", RankAt(5000ms).c_str());
  // Rounded down twice, and read 20 ms after it was sent.
  STRCMP_EQUAL("usual", RankAt(1198ms).c_str());
  STRCMP_EQUAL("usual", RankAt(1220ms).c_str());
  STRCMP_EQUAL("", RankAt(1300ms).c_str());
  STRCMP_EQUAL("", RankAt(100ms).c_str());
}

// Guards against a rank that outlives its request, and against the removal of another request with
// the same deadline.
TEST(ParentFinder, EndedRequestHasNoCalls)
{
  const auto first = mFinder.Add(mClock.Now() + 800ms, "first");
  const auto second = mFinder.Add(mClock.Now() + 800ms, "second");
  mFinder.Remove(second);
  STRCMP_EQUAL("first", RankAt(800ms).c_str());
  mFinder.Remove(first);
  STRCMP_EQUAL("", RankAt(800ms).c_str());
}
