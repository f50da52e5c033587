#include "upstreams.h"

#include <CppUTest/TestHarness.h>

#include <algorithm>

using namespace balsammount;
using namespace std::chrono_literals;

TEST_GROUP(Upstreams)
{
  ManualClock mClock;
  Random mRandom{ 1 };
  Upstreams mUpstreams{ mClock, mRandom, "entry", "dc1" };

  void setup() override
  {
    mUpstreams.Upsert({ "a", "orders", "dc1", 1 });
    mUpstreams.Upsert({ "b", "orders", "dc1", 1 });
  }

  // Returns the number of upstreams that are neither avoided nor ejected after each has answered
  // several requests with 500.
  size_t UsableAfterServerErrors(bool aCallFailed)
  {
    for (int i = 0; i < 20; ++i) {
      const UpstreamId upstream = *mUpstreams.Choose("orders", {});
      mUpstreams.OnStart(upstream);
      CallResult result;
      result.mOutcome = AttemptOutcome::Complete;
      result.mResponse.mStatus = 500;
      result.mCallFailed = aCallFailed;
      mUpstreams.OnEnd("orders", upstream, result, 1ms);
    }
    const auto views = mUpstreams.View("orders");
    return static_cast<size_t>(std::ranges::count_if(
      views, [](const auto& aView) { return aView.mState == UpstreamState::Normal; }));
  }

  // Returns the state of an upstream after it has refused one request because of the deadline.
  UpstreamState StateAfterRefusal(uint32_t aLoadPercent)
  {
    const UpstreamId upstream = *mUpstreams.Choose("orders", {});
    mUpstreams.OnStart(upstream);
    CallResult result = Refused(CallReason::Deadline, RequestBudget::ForAttempts(1));
    result.mLoadPercent = aLoadPercent;
    mUpstreams.OnEnd("orders", upstream, result, 1ms);
    for (const UpstreamView& view : mUpstreams.View("orders")) {
      if (view.mInfo.mId == upstream) {
        return view.mState;
      }
    }
    return UpstreamState::Leaving;
  }
};

// Guards against avoiding upstreams with spare capacity because they refuse late requests. That
// moves the load to the others and makes more requests late.
TEST(Upstreams, DeadlineRefusalWithSpareCapacityDoesNotAvoid)
{
  CHECK(StateAfterRefusal(40) == UpstreamState::Normal);
}

// Guards against sending requests to an upstream whose queue makes them late.
TEST(Upstreams, DeadlineRefusalWithFullQueueAvoids)
{
  CHECK(StateAfterRefusal(150) == UpstreamState::Avoided);
}

// Guards against load that crosses to other data centres in an overload of the last service of a
// chain, because the services before it answer with 500 and seem to fail.
TEST(Upstreams, FailedCallsOfAServerDoNotCountAgainstIt)
{
  CHECK_EQUAL(2, UsableAfterServerErrors(true));
}

// Guards against the use of servers that fail by themselves.
TEST(Upstreams, ServerErrorsCountAgainstTheServer)
{
  CHECK_EQUAL(0, UsableAfterServerErrors(false));
}
