// Scenario: a server that never answers a part of its requests.
#include "balsammount/admission.h"
#include "balsammount/lost_requests.h"

#include <CppUTest/TestHarness.h>

using namespace balsammount;
using namespace std::chrono_literals;

TEST_GROUP(LostRequests)
{
  ManualClock mClock;
  LostRequests mLost;

  // Reports every 10 ms that the server holds aHeld of the requests.
  void Report(uint32_t aHeld, uint32_t aInFlight, int aTimes)
  {
    for (int i = 0; i < aTimes; ++i) {
      mClock.Advance(10ms);
      mLost.OnReport(aHeld, aInFlight, mClock.Now());
    }
  }
  uint32_t Count() const
  {
    return mLost.Count(22, mClock.Now());
  }
};

// Guards against slots that stay taken by requests that the server does not hold.
TEST(LostRequests, CountsWhatTheServerDoesNotHold)
{
  Report(12, 20, 20);
  CHECK_EQUAL(7, Count()); // one may be the answered request
  Report(20, 20, 20);
  CHECK_EQUAL(0, Count());
}

// Guards against requests that are counted as lost while they are on their way.
TEST(LostRequests, IgnoresRequestsOnTheirWay)
{
  for (int i = 0; i < 30; ++i) {
    Report(10, 20, 1);
    Report(19, 20, 1);
  }
  CHECK_EQUAL(0, Count());
}

// Guards against a server with wrong statements that is sent more than it can queue, and against an
// estimate that outlives the reports.
TEST(LostRequests, EstimateIsBounded)
{
  Report(0, 1000, 20);
  CHECK_EQUAL(11, Count());
  mClock.Advance(2s);
  CHECK_EQUAL(0, Count());
  Report(0, 1000, 20);
  mLost.Reset();
  CHECK_EQUAL(0, Count());
}

// Guards against more requests than the server can run, once the lost ones have ended.
TEST(LostRequests, EndedRequestsAreNoLongerCounted)
{
  Report(12, 20, 20);
  CHECK_EQUAL(7, Count());
  for (int i = 0; i < 8; ++i) {
    mLost.OnUnanswered();
  }
  CHECK_EQUAL(0, Count());
}

// Guards against a node that refuses requests for a server with free slots, because requests that
// the server will never answer take the slots here.
TEST(LostRequests, LostRequestsLeaveRoomForOthers)
{
  AdmissionPolicy policy;
  policy.mSlots = 4;
  policy.mMaxQueue = 0;
  policy.mAdaptiveLimit = false;
  AdmissionController controller(mClock, policy);
  const auto offer = [&] { return controller.Offer({ 0, 1, 1, mClock.Now() + 1s, 0 }).mDecision; };
  for (int i = 0; i < 4; ++i) {
    CHECK(offer() == Decision::Dispatch);
  }
  CHECK(offer() == Decision::Refused);
  controller.SetLost(2);
  CHECK(offer() == Decision::Dispatch);
  CHECK(offer() == Decision::Dispatch);
  CHECK(offer() == Decision::Refused);
  controller.SetLost(0);
  CHECK(offer() == Decision::Refused);
}
