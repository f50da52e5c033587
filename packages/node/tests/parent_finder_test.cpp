#include "parent_finder.h"

#include <CppUTest/TestHarness.h>

#include <string>

using namespace balsammount;
using namespace std::chrono_literals;

TEST_GROUP(ParentFinder)
{
  ManualClock mClock;
  ParentFinder<std::string> mFinder;

  auto Add(Duration aTimeLeft, const std::string& aRank)
  {
    return mFinder.Add(mClock.Now() + aTimeLeft, std::make_shared<std::string>(aRank));
  }

  std::string RankAt(Duration aTimeLeft)
  {
    const auto rank = mFinder.Find(mClock.Now() + aTimeLeft);
    return rank ? *rank : "";
  }
};

// Guards against calls of urgent chains that have the rank of other chains or none.
TEST(ParentFinder, CallHasTheRankOfTheRequestWithItsDeadline)
{
  Add(800ms, "urgent");
  Add(1200ms, "usual");
  Add(5000ms, "least");
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
  const auto first = Add(800ms, "first");
  const auto second = Add(800ms, "second");
  mFinder.Remove(second);
  STRCMP_EQUAL("first", RankAt(800ms).c_str());
  mFinder.Remove(first);
  STRCMP_EQUAL("", RankAt(800ms).c_str());
}
