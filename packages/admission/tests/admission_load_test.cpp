#include "simulated_server.h"

#include <CppUTest/TestHarness.h>

using namespace balsammount;
using namespace balsammount::test;
using std::chrono::seconds;

namespace {

// 50 slots of 20 ms: a capacity of 2,500 requests per second. Rank 0 is the most urgent.
constexpr double kCapacity = 2500;

AdmissionPolicy ThreeRanks()
{
  AdmissionPolicy policy;
  policy.mRankCount = 3;
  policy.mRanks[0] = { 100, 0.1 };
  policy.mRanks[1] = { 10, 0.2 };
  policy.mRanks[2] = { 1, 0.1 };
  policy.mSlots = 50;
  policy.mMaxQueue = 100;
  return policy;
}

double ServedShare(const RankCounts& aCount)
{
  return aCount.mServed / std::max(1.0, static_cast<double>(aCount.mOffered));
}

} // namespace

TEST_GROUP(AdmissionLoad)
{
  SimulatedServer mServer{ ThreeRanks(), 11 };

  // Offers shares of capacity per rank for 2 s, then counts for 10 s.
  void RunLoad(double aFirst, double aSecond, double aThird)
  {
    mServer.SetRate(0, aFirst * kCapacity);
    mServer.SetRate(1, aSecond * kCapacity);
    mServer.SetRate(2, aThird * kCapacity);
    mServer.Run(seconds(2));
    mServer.ClearCounts();
    mServer.Run(seconds(10));
  }
  double ServedOfCapacity(size_t aRank) const
  {
    return mServer.mCounts[aRank].mServed / (kCapacity * 10);
  }
  double Goodput() const
  {
    return ServedOfCapacity(0) + ServedOfCapacity(1) + ServedOfCapacity(2);
  }
};

// Guards against refusing anything while the server has room.
TEST(AdmissionLoad, ServesEverythingBelowCapacity)
{
  RunLoad(0.2, 0.3, 0.2);
  for (size_t rank = 0; rank < 3; ++rank) {
    CHECK(ServedShare(mServer.mCounts[rank]) >= 0.999);
  }
}

// Guards against a flood of the least worth taking time from the ranks above.
TEST(AdmissionLoad, FloodOfLeastWorth)
{
  RunLoad(0.3, 0.3, 9.4);
  CHECK(ServedShare(mServer.mCounts[0]) >= 0.99);
  CHECK(ServedShare(mServer.mCounts[1]) >= 0.99);
  CHECK(ServedOfCapacity(2) >= 0.95 * 0.1);
  CHECK(Goodput() >= 0.95);
}

// Guards against a flood of the most urgent rank taking the floors of the others.
TEST(AdmissionLoad, FloodOfGreatestWorth)
{
  RunLoad(9.4, 0.3, 0.3);
  CHECK(ServedOfCapacity(1) >= 0.95 * 0.2);
  CHECK(ServedOfCapacity(2) >= 0.95 * 0.1);
  CHECK(Goodput() >= 0.95);
}

// Guards against two floods together starving the rank between them, also at exactly its floor.
TEST(AdmissionLoad, FloodsOfGreatestAndLeastWorth)
{
  RunLoad(5, 0.2, 5);
  CHECK(ServedOfCapacity(1) >= 0.95 * 0.2);
  CHECK(ServedOfCapacity(2) >= 0.95 * 0.1);
  CHECK(ServedOfCapacity(0) >= 0.6);
  CHECK(Goodput() >= 0.95);
}

// Guards against a floor that is kept idle for a rank without demand.
TEST(AdmissionLoad, UnusedFloorGoesToOthersByWorth)
{
  RunLoad(0.5, 5, 0);
  CHECK(ServedShare(mServer.mCounts[0]) >= 0.99);
  CHECK(Goodput() >= 0.95);
}

// Guards against one caller taking the whole of its rank.
TEST(AdmissionLoad, CallersShareARank)
{
  mServer.SetRate(1, 3 * kCapacity, 1);
  mServer.SetRate(1, 0.2 * kCapacity, 2);
  mServer.SetRate(1, 0.2 * kCapacity, 3);
  mServer.Run(seconds(10));
  CHECK(mServer.mByCaller[2] >= 0.97 * 0.2 * kCapacity * 10);
  CHECK(mServer.mByCaller[3] >= 0.97 * 0.2 * kCapacity * 10);
}

// Guards against work whose result comes too late: deadlines are twice the service time.
TEST(AdmissionLoad, DeadlineRefusalsComeBeforeDispatch)
{
  mServer.mDeadline = milliseconds(40);
  RunLoad(0.3, 0.3, 2);
  uint32_t late = 0;
  for (const RankCounts& count : mServer.mCounts) {
    late += count.mLate;
  }
  CHECK(late <= 0.02 * Goodput() * kCapacity * 10);
  CHECK(Goodput() >= 0.95);
}

// Guards against a limit that falls with a server whose slots are all slower: fewer requests in
// flight would only lose throughput. Deadlines allow for the slower service.
TEST(AdmissionLoad, SlowerServiceKeepsTheLimit)
{
  for (const double factor : { 3.0, 10.0 }) {
    mServer.mMeanServiceTime = 0.02;
    RunLoad(0.3, 0.3, 2);
    mServer.mMeanServiceTime = 0.02 * factor;
    mServer.Run(seconds(5));
    mServer.ClearCounts();
    mServer.Run(seconds(20));
    const double served =
      mServer.mCounts[0].mServed + mServer.mCounts[1].mServed + mServer.mCounts[2].mServed;
    CHECK(served >= 0.93 * kCapacity / factor * 20);
  }
}

// Guards against a limit that does not follow a server that runs fewer requests at once: waiting
// inside the server is out of reach of ranks and deadlines.
TEST(AdmissionLoad, LimitFollowsLostParallelism)
{
  RunLoad(0.1, 0.1, 2);
  CHECK(mServer.mController.Limit() >= 48);
  for (const uint32_t parallelism : { 17U, 5U }) {
    mServer.mParallelism = parallelism;
    mServer.Run(seconds(10));
    CHECK(mServer.mController.Limit() >= parallelism);
    CHECK(mServer.mController.Limit() <= 2.2 * parallelism + 2);
    mServer.ClearCounts();
    mServer.Run(seconds(10));
    CHECK(Goodput() >= 0.93 * parallelism / 50);
    mServer.mParallelism = 50;
    mServer.Run(seconds(3));
    mServer.ClearCounts();
    mServer.Run(seconds(10));
    CHECK(Goodput() >= 0.95);
  }
}

// Guards against a shed level that does not rise in overload or stays up after it.
TEST(AdmissionLoad, ShedLevelRisesAndFalls)
{
  RunLoad(0.3, 0.3, 9.4);
  CHECK(mServer.mController.ShedLevel() > 0);
  RunLoad(0.2, 0.2, 0.2);
  CHECK_EQUAL(0U, mServer.mController.ShedLevel());
  CHECK_EQUAL(0U, mServer.mMaxAboveLimit);
}

// Guards against a queue that makes chains of calls late (bleskovod-logs, scale-1: five calls in a
// row, each behind a queue of 100, took longer than the 1,000 ms of their parent, which needs a
// third of them itself). What does not fit is refused at once and may go to another upstream.
TEST(AdmissionLoad, SequentialCallsFinishBeforeTheParentDeadline)
{
  AdmissionPolicy policy;
  policy.mSlots = 42;
  policy.mMaxQueue = 32;
  policy.mAdaptiveLimit = false;
  policy.mDeadlineCheck = false;
  SimulatedServer server(policy, 1);
  server.mMeanServiceTime = 0.057;
  server.mDeadline = milliseconds(670 / 5);
  server.SetRate(0, 1.3 * policy.mSlots / server.mMeanServiceTime);
  server.Run(seconds(2));
  server.ClearCounts();
  server.Run(seconds(10));
  const RankCounts& count = server.mCounts[0];
  CHECK(count.mRefused > 0);
  // All five are in time in nine of ten chains.
  CHECK(count.mServed > 0.98 * (count.mServed + count.mLate));
  CHECK(count.mServed > 0.95 * 10 * policy.mSlots / server.mMeanServiceTime);
}
