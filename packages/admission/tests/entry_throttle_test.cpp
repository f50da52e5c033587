// The load pattern: chains of calls whose deepest service carries less than the demand. Without
// admission at the entry most chains fail after their upper services have worked for them.
#include "balsammount/entry_throttle.h"

#include <CppUTest/TestHarness.h>

#include <algorithm>
#include <deque>

using namespace balsammount;
using namespace std::chrono_literals;

namespace {

constexpr auto kStep = 10ms;
constexpr auto kChainDuration = 800ms; // from the admission of a chain to its end

struct Counts
{
  int mOffered = 0;
  int mAdmitted = 0;
  int mServed = 0;
};

// A chain makes four calls, one after the other, and fails with the first that is refused. The deep
// service takes as many calls per step as it carries and refuses the others evenly.
class DownstreamService
{
public:
  explicit DownstreamService(const Clock& aClock)
    : mThrottle(aClock)
  {
  }

  void Run(ManualClock& aClock, Duration aTime, double aChainsPerStep, double aCapacity,
           bool aThrottled, Counts& aTotals)
  {
    for (const SteadyTime end = aClock.Now() + aTime; aClock.Now() < end; aClock.Advance(kStep)) {
      mDemand += aChainsPerStep;
      for (; mDemand >= 1; mDemand -= 1) {
        ++aTotals.mOffered;
        const bool admitted = mThrottle.Admit();
        if (admitted || !aThrottled) {
          ++aTotals.mAdmitted;
          mRunning.push_back(aClock.Now());
        }
      }
      // Chances of a call at this demand; a chain needs four in a row.
      const double admittedPerStep =
        static_cast<double>(mRunning.size()) / static_cast<double>(kChainDuration / kStep);
      const double chance = std::min(1.0, aCapacity / std::max(admittedPerStep, 1e-9));
      mChance += (chance - mChance) * 0.1;
      while (!mRunning.empty() && aClock.Now() - mRunning.front() >= kChainDuration) {
        mRunning.pop_front();
        mServedCredit += mChance * mChance * mChance * mChance;
        const bool good = mServedCredit >= 1;
        mServedCredit -= good ? 1 : 0;
        aTotals.mServed += good ? 1 : 0;
        mThrottle.OnResult(good);
      }
    }
  }

  EntryThrottle mThrottle;

private:
  std::deque<SteadyTime> mRunning;
  double mDemand = 0;
  double mChance = 1;
  double mServedCredit = 0;
};

} // namespace

TEST_GROUP(EntryThrottle)
{
  ManualClock mClock;
  DownstreamService mDownstream{ mClock };
};

// Guards against work that is thrown away: at twice the capacity nearly everything that is let in
// has to succeed, and the throttle must keep the service in use.
TEST(EntryThrottle, ServesMoreThanWithoutThrottle)
{
  Counts warmup;
  Counts throttled;
  mDownstream.Run(mClock, 5s, 2, 1, true, warmup);
  mDownstream.Run(mClock, 20s, 2, 1, true, throttled);
  ManualClock otherClock;
  DownstreamService other(otherClock);
  Counts unthrottled;
  other.Run(otherClock, 5s, 2, 1, false, warmup);
  other.Run(otherClock, 20s, 2, 1, false, unthrottled);
  CHECK_COMPARE(throttled.mServed, >, 2 * unthrottled.mServed);
  CHECK_COMPARE(throttled.mServed, >, throttled.mAdmitted * 0.8);
  CHECK_COMPARE(throttled.mServed, >, 0.75 * 2000);
}

// Guards against refusals that outlast the overload.
TEST(EntryThrottle, RecoversAfterTheOverload)
{
  Counts during;
  mDownstream.Run(mClock, 10s, 3, 1, true, during);
  CHECK_COMPARE(mDownstream.mThrottle.AdmitRatio(), <, 0.6);
  Counts warmup;
  mDownstream.Run(mClock, 6s, 0.8, 1, true, warmup);
  Counts after;
  mDownstream.Run(mClock, 5s, 0.8, 1, true, after);
  CHECK_COMPARE(after.mServed, >=, after.mOffered * 0.99);
}

// Guards against refusals for failures that have nothing to do with load.
TEST(EntryThrottle, ToleratesOccasionalFailures)
{
  EntryThrottle throttle(mClock);
  int refused = 0;
  for (int i = 0; i < 2000; ++i) {
    refused += throttle.Admit() ? 0 : 1;
    throttle.OnResult(i % 20 != 0);
    mClock.Advance(20ms);
  }
  CHECK_EQUAL(0, refused);
}

// Guards against a kind of request that is shut out for good.
TEST(EntryThrottle, KeepsTheMinimumAdmitRatio)
{
  EntryThrottle throttle(mClock);
  int admitted = 0;
  for (int i = 0; i < 2000; ++i) {
    if (throttle.Admit()) {
      ++admitted;
      throttle.OnResult(false);
    }
    mClock.Advance(10ms);
  }
  CHECK_COMPARE(admitted, >=, 2000 * 0.14);
}

// Guards against an overload that lets everybody in at the second try: returned requests go first,
// but within the share.
TEST(EntryThrottle, ResentRequestsGoFirstWithinTheAdmitRatio)
{
  EntryThrottle throttle(mClock);
  for (int i = 0; i < 400; ++i) {
    throttle.Admit();
    throttle.OnResult(false);
    mClock.Advance(20ms);
  }
  DOUBLES_EQUAL(0.15, throttle.AdmitRatio(), 0.001);
  int first = 0;
  int resent = 0;
  for (int i = 0; i < 1000; ++i) {
    first += throttle.Admit() ? 1 : 0;
    resent += throttle.Admit(true) ? 1 : 0;
    throttle.OnResult(false);
    mClock.Advance(20ms);
  }
  CHECK_COMPARE(first, <, resent / 10);
  CHECK_COMPARE(resent + first, <, 2000 * 0.15 + 10);
}

// Guards against an urgent route that is cut as fast as one that can wait, when both lack the same
// deep service.
TEST(EntryThrottle, ThrottlesRoutesOfLowerWorthFirst)
{
  EntryThrottles throttles(mClock, {});
  throttles.Add("order", 1);
  throttles.Add("certify", 2);
  const auto run = [&](int aSteps) {
    for (int i = 0; i < aSteps; ++i) {
      for (const char* route : { "order", "certify" }) {
        throttles.Find(route)->Admit();
        throttles.Find(route)->OnResult(i % 2 == 0);
      }
      mClock.Advance(20ms);
    }
  };
  run(50);
  const double certifyCut = 1 - throttles.Find("certify")->AdmitRatio();
  const double orderCut = 1 - throttles.Find("order")->AdmitRatio();
  CHECK_COMPARE(certifyCut, >, 0);
  CHECK_COMPARE(orderCut, >, 2 * certifyCut);
  // When there is nothing left to cut there, the urgent one follows.
  run(1000);
  DOUBLES_EQUAL(0.15, throttles.Find("order")->AdmitRatio(), 0.001);
  DOUBLES_EQUAL(0.15, throttles.Find("certify")->AdmitRatio(), 0.001);
}

// Guards against callers that come back too late for their target, and against all of them at once.
TEST(EntryThrottle, RetryAfterLeavesTimeWithinTheTarget)
{
  EntryThrottle throttle(mClock);
  for (int i = 0; i < 200; ++i) {
    throttle.OnResult(true, 800ms);
  }
  CHECK(throttle.RetryAfter(1500ms, 1) + 800ms < 1500ms);
  CHECK(throttle.RetryAfter(1500ms, 0) < throttle.RetryAfter(1500ms, 1));
  CHECK(throttle.RetryAfter(500ms, 1) == 200ms);
  CHECK(throttle.RetryAfter(10s, 1) == 2s);
}
