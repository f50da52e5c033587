#include "drain_progress.h"

#include <CppUTest/TestHarness.h>

using namespace balsammount;
using namespace std::chrono_literals;

TEST_GROUP(DrainProgress)
{
  ManualClock mClock;
  DrainProgress mProgress{ 100ms };

  bool Check(bool aStopped, bool aIdle, Duration aAfter)
  {
    mClock.Advance(aAfter);
    return mProgress.IsComplete(mClock.Now(), aStopped, aIdle);
  }
};

// Guards against a process that ends between the answer of a backend server and its way to the
// caller. Seen on a rolling restart (bleskovod-logs, trouble-1 --seed 901179932943): the check ran
// right after the last request had been answered, and the listener had stopped long before.
TEST(DrainProgress, WaitsForQuietPeriodAfterLastResponse)
{
  CHECK_FALSE(Check(true, false, 20ms));
  CHECK_FALSE(Check(true, false, 500ms));
  CHECK_FALSE(Check(true, true, 20ms));
  CHECK_FALSE(Check(true, true, 80ms));
  CHECK(Check(true, true, 20ms));
}

// Guards against a wait that is cut short by an earlier idle moment.
TEST(DrainProgress, RestartsQuietPeriodAfterAnotherRequest)
{
  CHECK_FALSE(Check(true, true, 20ms));
  CHECK_FALSE(Check(true, false, 20ms));
  CHECK_FALSE(Check(true, true, 90ms));
  CHECK(Check(true, true, 100ms));
  CHECK_FALSE(Check(false, true, 100ms));
}

// Guards against a rolling restart that takes each server's capacity away for the whole notice: its
// node serves the others until the last part of it.
TEST(DrainProgress, PeersAreExcludedInLastPartOfDrainDelay)
{
  const DrainDelay notice{ 2600ms, 1000ms };
  CHECK_FALSE(notice.IsPeerPart(0ms));
  CHECK_FALSE(notice.IsPeerPart(1599ms));
  CHECK(notice.IsPeerPart(1600ms));
  CHECK_FALSE(notice.IsOver(2599ms));
  CHECK(notice.IsOver(2600ms));
  // A notice that is no longer than that of the peers is for them from the start.
  CHECK((DrainDelay{ 1000ms, 1000ms }.IsPeerPart(0ms)));
}
