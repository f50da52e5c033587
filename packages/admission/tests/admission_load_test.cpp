#include "simulated_server.h"

#include <CppUTest/TestHarness.h>

using namespace balsammount;
using namespace balsammount::test;
using std::chrono::seconds;

namespace {

// 50 slots with a service time of 20 ms: 2,500 requests per second. Rank 0 has the greatest worth.
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

  // Offers load per rank as a multiple of the capacity for 2 s, then counts for 10 s.
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

// Guards against refusals below capacity.
TEST(AdmissionLoad, ServesEverythingBelowCapacity)
{
  RunLoad(0.2, 0.3, 0.2);
  for (size_t rank = 0; rank < 3; ++rank) {
    CHECK(ServedShare(mServer.mCounts[rank]) >= 0.999);
  }
}

// Guards against overload in the rank of least worth that takes time from the ranks above.
TEST(AdmissionLoad, FloodOfLeastWorth)
{
  RunLoad(0.3, 0.3, 9.4);
  CHECK(ServedShare(mServer.mCounts[0]) >= 0.99);
  CHECK(ServedShare(mServer.mCounts[1]) >= 0.99);
  CHECK(ServedOfCapacity(2) >= 0.95 * 0.1);
  CHECK(Goodput() >= 0.95);
}

// Guards against overload in the rank of greatest worth that takes the floors of the others.
TEST(AdmissionLoad, FloodOfGreatestWorth)
{
  RunLoad(9.4, 0.3, 0.3);
  CHECK(ServedOfCapacity(1) >= 0.95 * 0.2);
  CHECK(ServedOfCapacity(2) >= 0.95 * 0.1);
  CHECK(Goodput() >= 0.95);
}

// Guards against overload in the highest and lowest rank that starves the one between them, whose
// demand equals its floor.
TEST(AdmissionLoad, FloodsOfGreatestAndLeastWorth)
{
  RunLoad(5, 0.2, 5);
  CHECK(ServedOfCapacity(1) >= 0.95 * 0.2);
  CHECK(ServedOfCapacity(2) >= 0.95 * 0.1);
  CHECK(ServedOfCapacity(0) >= 0.6);
  CHECK(Goodput() >= 0.95);
}

// Guards against capacity that is reserved for a rank without demand.
TEST(AdmissionLoad, UnusedFloorGoesToOthersByWorth)
{
  RunLoad(0.5, 5, 0);
  CHECK(ServedShare(mServer.mCounts[0]) >= 0.99);
  CHECK(Goodput() >= 0.95);
}

// Guards against one caller that takes the whole capacity of its rank.
TEST(AdmissionLoad, CallersShareARank)
{
  mServer.SetRate(1, 3 * kCapacity, 1);
  mServer.SetRate(1, 0.2 * kCapacity, 2);
  mServer.SetRate(1, 0.2 * kCapacity, 3);
  mServer.Run(seconds(10));
  CHECK(mServer.mByCaller[2] >= 0.97 * 0.2 * kCapacity * 10);
  CHECK(mServer.mByCaller[3] >= 0.97 * 0.2 * kCapacity * 10);
}

// Guards against requests that are dispatched but finish after their deadline. Deadlines are twice
// the service time.
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

// Guards against a limit that decreases when every request takes longer: fewer requests in flight
// would only reduce throughput. Deadlines allow for the longer service time.
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

// Guards against a limit that stays above the reduced parallelism of a server: ranks and deadlines
// have no effect on requests that wait inside the server.
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

// Guards against a shed level that does not rise in overload or does not fall afterwards.
TEST(AdmissionLoad, ShedLevelRisesAndFalls)
{
  RunLoad(0.3, 0.3, 9.4);
  CHECK(mServer.mController.ShedLevel() > 0);
  RunLoad(0.2, 0.2, 0.2);
  CHECK_EQUAL(0U, mServer.mController.ShedLevel());
  CHECK_EQUAL(0U, mServer.mMaxAboveLimit);
}

// Guards against a queue so long that a chain of calls is late: five sequential calls, each behind
// a queue of 100, took longer than the 1,000 ms of their parent, which needs a third of that time
// itself. Excess requests must be refused at once, so that they can go to another upstream.
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
  // A rate of 0.98 per call keeps all five calls on time in nine of ten chains.
  CHECK(count.mServed > 0.98 * (count.mServed + count.mLate));
  CHECK(count.mServed > 0.95 * 10 * policy.mSlots / server.mMeanServiceTime);
}
