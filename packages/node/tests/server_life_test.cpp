#include "balsammount/server_lifecycle.h"

#include <CppUTest/TestHarness.h>

using namespace balsammount;

namespace {

constexpr WallTime kNow{ std::chrono::milliseconds(50) };

ServerAnnouncement Announcement(const char* aId, uint64_t aStarted, uint64_t aSequence)
{
  ServerAnnouncement announcement;
  announcement.mServerId = aId;
  announcement.mStarted = aStarted;
  announcement.mSequence = aSequence;
  announcement.mService = "orders";
  announcement.mAddress = "10.0.0.1:80";
  announcement.mSlots = 4;
  return announcement;
}

} // namespace

TEST_GROUP(ServerLifecycle)
{
  ServerLifecycle mLifecycle{ "orders", "10.0.0.1:80" };
};

// Guards against dispatching to a server that has not announced itself or has another service.
TEST(ServerLifecycle, ServesOnlyAfterItsOwnAnnouncement)
{
  CHECK_FALSE(mLifecycle.IsServing());
  ServerAnnouncement foreign = Announcement("a", 1, 1);
  foreign.mService = "certify";
  CHECK(mLifecycle.OnAnnouncement(foreign) == AnnouncementResult::Foreign);
  CHECK_FALSE(mLifecycle.IsServing());
  CHECK(mLifecycle.OnAnnouncement(Announcement("a", 1, 1)) == AnnouncementResult::Applied);
  CHECK(mLifecycle.IsServing());
}

// Guards against a later announcement that revokes a departure.
TEST(ServerLifecycle, LeavingIsFinalForAnIncarnation)
{
  mLifecycle.OnAnnouncement(Announcement("a", 1, 5));
  ServerAnnouncement leaving = Announcement("a", 1, 4);
  leaving.mLeaving = true;
  CHECK(mLifecycle.OnAnnouncement(leaving) == AnnouncementResult::Late);
  CHECK_FALSE(mLifecycle.IsServing());
  CHECK(mLifecycle.OnAnnouncement(Announcement("a", 1, 6)) == AnnouncementResult::Applied);
  CHECK_FALSE(mLifecycle.IsServing());
  CHECK(mLifecycle.OnAnnouncement(Announcement("a", 2, 1)) == AnnouncementResult::Applied);
  CHECK(mLifecycle.IsServing());
}

// Guards against an announcement that arrives after the start of the next incarnation.
TEST(ServerLifecycle, EarlierIncarnationIsLate)
{
  mLifecycle.OnAnnouncement(Announcement("b", 20, 1));
  CHECK(mLifecycle.OnAnnouncement(Announcement("a", 10, 99)) == AnnouncementResult::Late);
  STRCMP_EQUAL("b", mLifecycle.Current()->mServerId.c_str());
  CHECK_FALSE(mLifecycle.OnDeparture("a", 10, kNow));
  CHECK(mLifecycle.IsServing());
}

// Guards against dispatching to a server that departed before its first announcement to this
// process. This happened in a rolling restart during a store outage: the server announced itself as
// ready again after its departure.
TEST(ServerLifecycle, DepartureBeforeFirstAnnouncementIsKept)
{
  CHECK_FALSE(mLifecycle.OnDeparture("a", 10, kNow));
  CHECK(mLifecycle.OnAnnouncement(Announcement("a", 10, 20)) == AnnouncementResult::Applied);
  CHECK_FALSE(mLifecycle.IsServing());
  CHECK(mLifecycle.OnAnnouncement(Announcement("a", 11, 1)) == AnnouncementResult::Applied);
  CHECK(mLifecycle.IsServing());
}

// Guards against dispatching to a departed server whose departure contains no start time; some
// servers send none. 78 requests reached a departed server because of this.
TEST(ServerLifecycle, DepartureWithoutStartCoversEarlierIncarnations)
{
  CHECK_FALSE(mLifecycle.OnDeparture("a", std::nullopt, kNow));
  CHECK(mLifecycle.OnAnnouncement(Announcement("a", 10, 21)) == AnnouncementResult::Applied);
  CHECK_FALSE(mLifecycle.IsServing());
  CHECK(mLifecycle.OnAnnouncement(Announcement("a", 51, 1)) == AnnouncementResult::Applied);
  CHECK(mLifecycle.IsServing());
}

// Guards against dispatching to a server that departed while an earlier incarnation was current.
TEST(ServerLifecycle, DepartureOfNextIncarnationIsKept)
{
  mLifecycle.OnAnnouncement(Announcement("a", 10, 20));
  CHECK_FALSE(mLifecycle.OnDeparture("a", 11, kNow));
  CHECK(mLifecycle.OnAnnouncement(Announcement("a", 11, 2)) == AnnouncementResult::Applied);
  CHECK_FALSE(mLifecycle.IsServing());
}

// Guards against a delayed departure of one server that takes its successor out of service.
TEST(ServerLifecycle, DepartureOfAnotherServerIsIgnored)
{
  mLifecycle.OnAnnouncement(Announcement("b", 20, 1));
  CHECK_FALSE(mLifecycle.OnDeparture("a", std::nullopt, kNow));
  CHECK(mLifecycle.OnAnnouncement(Announcement("b", 20, 2)) == AnnouncementResult::Applied);
  CHECK(mLifecycle.IsServing());
}

// Guards against a restarted node that dispatches to a server whose departure its earlier process
// had acknowledged.
TEST(ServerLifecycle, RestoredDepartureIsKept)
{
  mLifecycle.OnAnnouncement(Announcement("a", 10, 20));
  mLifecycle.RestoreDeparture("a", 10);
  CHECK_FALSE(mLifecycle.IsServing());
}
