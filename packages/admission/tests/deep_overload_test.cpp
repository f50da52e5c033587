// Scenario: the last service of a call chain has less capacity than the demand. Without a throttle
// at the entry, most chains fail after the services before it have done their work.
#include "balsammount/entry_throttle.h"

#include <CppUTest/TestHarness.h>

#include <algorithm>
#include <deque>

using namespace balsammount;
using namespace std::chrono_literals;

namespace {

constexpr auto kStep = 10ms;
constexpr auto kChainDuration = 800ms; // from the admission of a chain to its result

struct Counts
{
  int mOffered = 0;
  int mAdmitted = 0;
  int mServed = 0;
};

// Simulates chains of four sequential calls to a downstream service. A chain fails at the first
// call that is refused. The service admits calls up to its capacity per step and refuses the rest
// evenly.
class ChainSimulation
{
public:
  explicit ChainSimulation(const Clock& aClock)
    : mThrottle(aClock)
  {
  }

  void Run(ManualClock& aClock, Duration aDuration, double aChainsPerStep, double aCapacity,
           bool aThrottled, Counts& aCounts)
  {
    for (const SteadyTime end = aClock.Now() + aDuration; aClock.Now() < end;
         aClock.Advance(kStep)) {
      mDemand += aChainsPerStep;
      for (; mDemand >= 1; mDemand -= 1) {
        ++aCounts.mOffered;
        const bool admitted = mThrottle.Admit();
        if (admitted || !aThrottled) {
          ++aCounts.mAdmitted;
          mRunning.push_back(aClock.Now());
        }
      }
      // Probability that a call is admitted; a chain needs four admitted calls.
      const double admittedPerStep =
        static_cast<double>(mRunning.size()) / static_cast<double>(kChainDuration / kStep);
      const double probability = std::min(1.0, aCapacity / std::max(admittedPerStep, 1e-9));
      mAdmitProbability += (probability - mAdmitProbability) * 0.1;
      while (!mRunning.empty() && aClock.Now() - mRunning.front() >= kChainDuration) {
        mRunning.pop_front();
        mServedCredit +=
          mAdmitProbability * mAdmitProbability * mAdmitProbability * mAdmitProbability;
        const bool success = mServedCredit >= 1;
        mServedCredit -= success ? 1 : 0;
        aCounts.mServed += success ? 1 : 0;
        mThrottle.OnResult(success);
      }
    }
  }

  EntryThrottle mThrottle;

private:
  std::deque<SteadyTime> mRunning;
  double mDemand = 0;
  double mAdmitProbability = 1;
  double mServedCredit = 0;
};

} // namespace

TEST_GROUP(EntryThrottle)
{
  ManualClock mClock;
  ChainSimulation mSimulation{ mClock };
};

// Guards against wasted work: at twice the capacity, most admitted chains must succeed, and the
// throttle must keep the service utilised.
TEST(EntryThrottle, ServesMoreThanWithoutThrottle)
{
  Counts warmup;
  Counts throttled;
  mSimulation.Run(mClock, 5s, 2, 1, true, warmup);
  mSimulation.Run(mClock, 20s, 2, 1, true, throttled);
  ManualClock unthrottledClock;
  ChainSimulation unthrottledSimulation(unthrottledClock);
  Counts unthrottled;
  unthrottledSimulation.Run(unthrottledClock, 5s, 2, 1, false, warmup);
  unthrottledSimulation.Run(unthrottledClock, 20s, 2, 1, false, unthrottled);
  CHECK_COMPARE(throttled.mServed, >, 2 * unthrottled.mServed);
  CHECK_COMPARE(throttled.mServed, >, throttled.mAdmitted * 0.8);
  CHECK_COMPARE(throttled.mServed, >, 0.75 * 2000);
}

// Guards against refusals that continue after the overload.
TEST(EntryThrottle, RecoversAfterTheOverload)
{
  Counts during;
  mSimulation.Run(mClock, 10s, 3, 1, true, during);
  CHECK_COMPARE(mSimulation.mThrottle.AdmitRatio(), <, 0.6);
  Counts warmup;
  mSimulation.Run(mClock, 6s, 0.8, 1, true, warmup);
  Counts after;
  mSimulation.Run(mClock, 5s, 0.8, 1, true, after);
  CHECK_COMPARE(after.mServed, >=, after.mOffered * 0.99);
}

// Guards against refusals because of failures that are unrelated to load.
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

// Guards against refusing every request of a route, so that the end of the overload goes unnoticed.
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

// Guards against admitting every request at its second attempt during an overload: resent requests
// have priority, but only within the admit ratio.
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

// Guards against a route of higher worth that is throttled as fast as one of lower worth when both
// fail at the same downstream service.
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
  // Once the route of lower worth is at the minimum, the other one follows.
  run(1000);
  DOUBLES_EQUAL(0.15, throttles.Find("order")->AdmitRatio(), 0.001);
  DOUBLES_EQUAL(0.15, throttles.Find("certify")->AdmitRatio(), 0.001);
}

// Guards against requests that are resent too late for their target or all at the same time.
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
