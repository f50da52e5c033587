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

// Guards against a process that exits before the last response of its backend server is written to
// the caller. This happened in a rolling restart, when the check ran right after the last request
// had ended and the listener had stopped long before.
TEST(DrainProgress, WaitsForQuietPeriodAfterLastResponse)
{
  CHECK_FALSE(Check(true, false, 20ms));
  CHECK_FALSE(Check(true, false, 500ms));
  CHECK_FALSE(Check(true, true, 20ms));
  CHECK_FALSE(Check(true, true, 80ms));
  CHECK(Check(true, true, 20ms));
}

// Guards against a quiet period that counts idle time before the last request.
TEST(DrainProgress, RestartsQuietPeriodAfterAnotherRequest)
{
  CHECK_FALSE(Check(true, true, 20ms));
  CHECK_FALSE(Check(true, false, 20ms));
  CHECK_FALSE(Check(true, true, 90ms));
  CHECK(Check(true, true, 100ms));
  CHECK_FALSE(Check(false, true, 100ms));
}

// Guards against a rolling restart that takes the capacity of each server away for the whole drain
// delay: the node serves the other nodes until the last part of the delay.
TEST(DrainProgress, PeersAreExcludedInLastPartOfDrainDelay)
{
  const DrainDelay drainDelay{ 2600ms, 1000ms };
  CHECK_FALSE(drainDelay.IsPeerPart(0ms));
  CHECK_FALSE(drainDelay.IsPeerPart(1599ms));
  CHECK(drainDelay.IsPeerPart(1600ms));
  CHECK_FALSE(drainDelay.IsOver(2599ms));
  CHECK(drainDelay.IsOver(2600ms));
  // If the whole drain delay is no longer than the part for peers, peers are excluded at once.
  CHECK((DrainDelay{ 1000ms, 1000ms }.IsPeerPart(0ms)));
}
