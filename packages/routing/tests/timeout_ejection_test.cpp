// The deepest service of a call graph is overloaded: many calls end at their parents' deadlines,
// while its upstreams keep responding to others.
#include "balsammount/routing.h"

#include <CppUTest/TestHarness.h>

using namespace balsammount;
using namespace std::chrono_literals;

namespace {

constexpr ServiceId kService{ 1 };
constexpr Duration kCallDeadline = 700ms;

} // namespace

TEST_GROUP(TimeoutEjection)
{
  ManualClock mClock;
  Random mRandom{ 1 };
  Router mRouter{ mClock, mRandom, RoutingPolicy{} };

  void setup() override
  {
    for (const uint64_t id : { 1, 2, 3 }) {
      mRouter.UpsertUpstream({ UpstreamId{ id }, kService, DataCentreId{ 1 }, 1 });
    }
  }

  size_t Ejected() const
  {
    size_t count = 0;
    for (const UpstreamView& view : mRouter.Upstreams(kService)) {
      count += view.mState == UpstreamState::Ejected ? 1 : 0;
    }
    return count;
  }
};

// Guards against ejecting one of three overloaded upstreams, which overloads the others further.
// In a scale test, the fastest server was idle from second 6 to second 12.
TEST(TimeoutEjection, RespondingUpstreamIsNotEjected)
{
  const UpstreamId slow{ 1 };
  for (int i = 0; i < 100; ++i) {
    mClock.Advance(kCallDeadline);
    for (int call = 0; call < 10; ++call) {
      mRouter.OnStart(slow);
    }
    mClock.Advance(kCallDeadline / 2);
    mRouter.OnResponse(slow, { kCallDeadline / 2, 2.0F, false });
    mClock.Advance(kCallDeadline / 2);
    for (int call = 0; call < 9; ++call) {
      mRouter.OnTimeout(slow, kCallDeadline);
    }
  }
  CHECK_EQUAL(0, Ejected());
}

// Guards against sending further requests to an upstream that never responds.
TEST(TimeoutEjection, UnresponsiveUpstreamIsEjected)
{
  const UpstreamId unresponsive{ 1 };
  for (int call = 0; call < 5; ++call) {
    mRouter.OnStart(unresponsive);
    mClock.Advance(kCallDeadline);
    mRouter.OnTimeout(unresponsive, kCallDeadline);
  }
  CHECK_EQUAL(1, Ejected());
}
