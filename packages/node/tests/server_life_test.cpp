#include "balsammount/server_lifecycle.h"

#include "balsammount/random.h"

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

// Guards against dispatching to a server that departed while an earlier incarnation was current:
// the first announcement of the next one may be late.
TEST(ServerLifecycle, DepartureOfNextIncarnationIsKept)
{
  mLifecycle.OnAnnouncement(Announcement("a", 10, 20));
  CHECK(mLifecycle.OnDeparture("a", 11, kNow));
  CHECK_FALSE(mLifecycle.IsServing());
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

// Guards against a departure that is forgotten when another server departs.
TEST(ServerLifecycle, DepartureIsKeptBesideOthers)
{
  mLifecycle.OnDeparture("a", 10, kNow);
  mLifecycle.OnDeparture("b", 20, kNow);
  mLifecycle.OnDeparture("a", 5, kNow);
  CHECK(mLifecycle.OnAnnouncement(Announcement("a", 10, 1)) == AnnouncementResult::Applied);
  CHECK_FALSE(mLifecycle.IsServing());
  CHECK(mLifecycle.Departed()->mServerId == "a");
  CHECK_EQUAL(10, mLifecycle.Departed()->mLatestStart);
}

// Guards against dispatching to what has left, and against a server that lives and is not used,
// whatever the order of crashes, restarts under the same or another id, late announcements,
// departures with and without a start, and restarts of the node.
TEST(ServerLifecycle, WhatHasLeftStaysOutAndWhatLivesComesBack)
{
  struct Incarnation
  {
    std::string mId;
    uint64_t mStarted = 0;
    uint64_t mSequence = 0;
    bool mDeparted = false;
  };
  for (uint64_t seed = 1; seed <= 2000; ++seed) {
    Random random(seed);
    std::vector<Incarnation> started;
    std::vector<ServerAnnouncement> onTheWay;
    auto lifecycle = std::make_unique<ServerLifecycle>("orders", "10.0.0.1:80");
    uint64_t now = 1000;
    const auto check = [&] {
      if (!lifecycle->IsServing()) {
        return;
      }
      for (const Incarnation& one : started) {
        const bool isUsed = one.mId == lifecycle->Current()->mServerId &&
                            one.mStarted == lifecycle->Current()->mStarted;
        CHECK_TRUE_TEXT(!isUsed || !one.mDeparted, ("seed " + std::to_string(seed)).c_str());
      }
    };
    const auto announce = [&](Incarnation& aServer) {
      return Announcement(aServer.mId.c_str(), aServer.mStarted, ++aServer.mSequence);
    };
    const auto depart = [&](Incarnation& aServer) {
      // All incarnations of that id up to this one have left.
      for (Incarnation& one : started) {
        one.mDeparted = one.mDeparted || one.mId == aServer.mId;
      }
      const bool statesStart = random.Below(2) == 0;
      lifecycle->OnDeparture(aServer.mId,
                             statesStart ? std::optional(aServer.mStarted) : std::nullopt,
                             WallTime(std::chrono::milliseconds(now)));
    };
    for (int step = 0; step < 40; ++step) {
      now += 1 + random.Below(500);
      switch (random.Below(6)) {
        case 0: // a start, after a crash or a departure
          started.push_back({ random.Below(2) == 0 ? "a" : "b", now, 0, false });
          break;
        case 1:
        case 2: // announcements of the running server that will arrive later
          if (!started.empty() && !started.back().mDeparted) {
            onTheWay.push_back(announce(started.back()));
          }
          break;
        case 3:
        case 4: // one of them arrives, in any order
          if (!onTheWay.empty()) {
            const size_t index = random.Below(onTheWay.size());
            lifecycle->OnAnnouncement(onTheWay[index]);
            onTheWay.erase(onTheWay.begin() + static_cast<std::ptrdiff_t>(index));
          }
          break;
        default:
          if (!started.empty() && random.Below(3) == 0) {
            depart(started.back());
          } else if (lifecycle->Departed() && random.Below(3) == 0) {
            // The node restarts and has the record of its earlier process.
            const DepartedServer departed = *lifecycle->Departed();
            const bool hadLeft = !lifecycle->IsServing();
            lifecycle = std::make_unique<ServerLifecycle>("orders", "10.0.0.1:80");
            onTheWay.clear();
            if (hadLeft) {
              lifecycle->RestoreDeparture(departed.mServerId, departed.mLatestStart);
            }
          }
      }
      check();
    }
    now += 1;
    started.push_back({ "a", now, 0, false });
    lifecycle->OnAnnouncement(announce(started.back()));
    CHECK_TRUE_TEXT(lifecycle->IsServing(), ("seed " + std::to_string(seed)).c_str());
  }
}
