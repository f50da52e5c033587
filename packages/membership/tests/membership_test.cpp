#include "virtual_network.h"

#include <algorithm>

#include <CppUTest/TestHarness.h>

using namespace balsammount;
using namespace balsammount::testing;
using namespace std::chrono_literals;

namespace {

bool IsDead(const MemberRecord* aRecord)
{
  return aRecord != nullptr && aRecord->mState == MemberState::Dead;
}

bool IsAlive(const MemberRecord* aRecord)
{
  return aRecord != nullptr && aRecord->mState == MemberState::Alive;
}

} // namespace

TEST_GROUP(Membership)
{
  VirtualNetwork mNet{ 1 };

  void StartCluster(size_t aCount)
  {
    mNet.StartAll(aCount);
    CHECK(mNet.RunUntil(20s, [&] { return mNet.AllCount(aCount); }));
    mNet.Run(5s);
    mNet.ClearEvents();
  }

  void teardown() override
  {
    CHECK(mNet.mLargestDatagram <= kMaxMembershipDatagram);
  }
};

// Guards against nodes that need more than their contacts' lists, and against lists that do not fit
// in one range.
TEST(Membership, NodesDiscoverEachOtherThroughContacts)
{
  mNet.StartAll(100);
  CHECK(mNet.RunUntil(10s, [&] { return mNet.AllCount(100); }));
  CHECK_EQUAL(0, mNet.CountEvents(MemberEventKind::Suspect));
}

TEST(Membership, KilledNodeIsDeadEverywhereWithinTwentySeconds)
{
  for (const size_t count : { size_t{ 2 }, size_t{ 3 }, size_t{ 16 }, size_t{ 64 } }) {
    mNet = VirtualNetwork(count);
    StartCluster(count);
    mNet.Kill(count - 1);
    CHECK(mNet.RunUntil(20s, [&] { return mNet.AllKnow(count - 1, IsDead); }));
    mNet.Run(10s);
    CHECK_EQUAL(count - 1, mNet.CountEvents(MemberEventKind::Dead));
  }
}

TEST(Membership, LeavingReachesAllWithinThreeSecondsAtThirtyPercentLoss)
{
  const auto leaving = [](const MemberRecord* aRecord) {
    return aRecord != nullptr && aRecord->mLeaving;
  };
  for (uint64_t seed = 1; seed <= 3; ++seed) {
    mNet = VirtualNetwork(seed);
    StartCluster(64);
    mNet.mFaults.mLoss = 0.3;
    for (size_t node = 0; node < 30; ++node) {
      mNet.Core(node).Leave();
      mNet.Schedule(node);
      CHECK(mNet.RunUntil(3s, [&] { return mNet.AllKnow(node, leaving); }));
    }
  }
}

// Guards against reporting a node that has announced its departure as failed.
TEST(Membership, LeavingNodeIsReportedAsLeft)
{
  StartCluster(32);
  mNet.Core(5).Leave();
  mNet.Schedule(5);
  mNet.Run(3s);
  mNet.Kill(5);
  CHECK(mNet.RunUntil(25s, [&] { return mNet.AllKnow(5, IsDead); }));
  CHECK_EQUAL(0, mNet.CountEvents(MemberEventKind::Dead));
  CHECK_EQUAL(31, mNet.CountEvents(MemberEventKind::Left));
}

// Guards against a leaving node that appears to be staying, to a node that learns of it while it is
// suspected.
TEST(Membership, SuspectedLeavingNodeIsNeverReportedAsAlive)
{
  const auto suspected = [](const MemberRecord* aRecord) {
    return aRecord != nullptr && aRecord->mState == MemberState::Suspect;
  };
  StartCluster(16);
  mNet.Core(5).Leave();
  mNet.Schedule(5);
  mNet.Run(3s);
  mNet.Pause(5);
  CHECK(mNet.RunUntil(20s, [&] { return mNet.AllKnow(5, suspected); }));
  mNet.ClearEvents();
  mNet.Start(16);
  CHECK(mNet.RunUntil(5s, [&] { return mNet.Core(16).Find(VirtualNetwork::IdOf(5)) != nullptr; }));
  mNet.Resume(5);
  mNet.Run(10s);
  size_t reports = 0;
  for (size_t node = 0; node <= 16; ++node) {
    for (const auto& [time, event] : mNet.Node(node).mEvents) {
      if (event.mRecord.mId == VirtualNetwork::IdOf(5)) {
        ++reports;
        CHECK(event.mRecord.mState != MemberState::Alive);
      }
    }
  }
  CHECK(reports > 0);
  CHECK(mNet.AllKnow(5, [](const MemberRecord* aRecord) {
    return aRecord != nullptr && aRecord->mState == MemberState::Leaving;
  }));
}

TEST(Membership, NoFalseDeadAtTwentyPercentLoss)
{
  StartCluster(32);
  mNet.mFaults.mLoss = 0.2;
  mNet.Run(10min);
  CHECK_EQUAL(0, mNet.CountEvents(MemberEventKind::Dead));
  CHECK(mNet.AllCount(32));
}

// Guards against suspecting members over links that work in one direction only.
TEST(Membership, NoFalseDeadWithOneWayLinkFailures)
{
  StartCluster(16);
  mNet.mFaults.mIsCut = [](size_t aFrom, size_t aTo) {
    return (aFrom == 3 && aTo == 4) || (aFrom == 7 && aTo == 8);
  };
  mNet.Run(10min);
  CHECK_EQUAL(0, mNet.CountEvents(MemberEventKind::Dead));
  CHECK_EQUAL(0, mNet.CountEvents(MemberEventKind::Suspect));
}

TEST(Membership, PausedNodeRefutesAndSuspectsNobody)
{
  for (uint64_t seed = 1; seed <= 20; ++seed) {
    mNet = VirtualNetwork(seed);
    StartCluster(16);
    mNet.Pause(6);
    mNet.Run(5s);
    mNet.Resume(6);
    mNet.Run(1min);
    CHECK_EQUAL(0, mNet.CountEvents(MemberEventKind::Dead));
    for (const auto& [time, event] : mNet.Node(6).mEvents) {
      CHECK(event.mKind != MemberEventKind::Suspect);
    }
    CHECK(mNet.AllKnow(6, IsAlive));
    CHECK(mNet.Core(6).Stats().mLateTimers > 0);
  }
}

// Guards against a pause longer than every suspicion: the node must rejoin and not declare others
// dead.
TEST(Membership, NodePausedForAMinuteRejoins)
{
  StartCluster(16);
  mNet.Pause(6);
  CHECK(mNet.RunUntil(1min, [&] { return mNet.AllKnow(6, IsDead); }));
  mNet.Run(30s);
  mNet.Resume(6);
  CHECK(mNet.RunUntil(10s, [&] { return mNet.AllKnow(6, IsAlive); }));
  mNet.Run(1min);
  CHECK_EQUAL(15, mNet.CountEvents(MemberEventKind::Dead));
}

TEST(Membership, RestartedNodeReplacesOlderProcess)
{
  StartCluster(16);
  const int64_t before = mNet.Core(9).Self().mStartMs;
  mNet.Kill(9);
  mNet.Run(500ms);
  mNet.Start(9);
  const int64_t start = mNet.Core(9).Self().mStartMs;
  CHECK(start > before);
  const auto replaced = [&](const MemberRecord* aRecord) {
    return IsAlive(aRecord) && aRecord->mStartMs == start;
  };
  CHECK(mNet.RunUntil(5s, [&] { return mNet.AllKnow(9, replaced) && mNet.AllCount(16); }));
  mNet.Run(1min);
  CHECK(mNet.AllKnow(9, replaced));
  CHECK_EQUAL(0, mNet.CountEvents(MemberEventKind::Dead));
}

TEST(Membership, DeadNodeRejoinsAfterRestart)
{
  StartCluster(16);
  mNet.Kill(9);
  CHECK(mNet.RunUntil(20s, [&] { return mNet.AllKnow(9, IsDead); }));
  mNet.Start(9);
  CHECK(mNet.RunUntil(5s, [&] { return mNet.AllKnow(9, IsAlive) && mNet.AllCount(16); }));
}

// Guards against removing members after a partition heals, when each side hears that its own
// members are dead.
TEST(Membership, HealedPartitionMergesWithoutFalseDead)
{
  StartCluster(32);
  mNet.mFaults.mIsCut = [](size_t aFrom, size_t aTo) { return aFrom % 2 != aTo % 2; };
  mNet.Run(5min);
  CHECK(mNet.AllCount(16));
  CHECK_EQUAL(32 * 16, mNet.CountEvents(MemberEventKind::Dead));
  mNet.ClearEvents();
  mNet.mFaults.mIsCut = nullptr;
  CHECK(mNet.RunUntil(30s, [&] { return mNet.AllCount(32); }));
  mNet.Run(2min);
  CHECK(mNet.AllCount(32));
  CHECK_EQUAL(0, mNet.CountEvents(MemberEventKind::Dead));
  CHECK_EQUAL(0, mNet.CountEvents(MemberEventKind::Suspect));
}

// Guards against accepting the other side's claims about members of a node's own side. The
// claims arrive while suspicions still run.
TEST(Membership, ShortPartitionCausesNoFalseDeadOnOwnSide)
{
  for (const Duration partition : { 8s, 12s, 16s }) {
    mNet = VirtualNetwork(1);
    StartCluster(64);
    mNet.mFaults.mIsCut = [](size_t aFrom, size_t aTo) { return aFrom % 2 != aTo % 2; };
    mNet.Run(partition);
    mNet.mFaults.mIsCut = nullptr;
    CHECK(mNet.RunUntil(1min, [&] { return mNet.AllCount(64); }));
    mNet.Run(30s);
    CHECK(mNet.AllCount(64));
    for (size_t i = 0; i < mNet.Size(); ++i) {
      for (const auto& [time, event] : mNet.Node(i).mEvents) {
        const size_t member = std::stoul(event.mRecord.mId.substr(5));
        CHECK(event.mKind != MemberEventKind::Dead || member % 2 != i % 2);
      }
    }
  }
}

TEST(Membership, NodeIsolatedForAnHourRejoins)
{
  StartCluster(16);
  mNet.mFaults.mIsCut = [](size_t aFrom, size_t aTo) { return (aFrom == 12) != (aTo == 12); };
  mNet.Run(1h);
  CHECK(mNet.AllKnow(12, IsDead));
  CHECK_EQUAL(1, mNet.Core(12).Count());
  mNet.mFaults.mIsCut = nullptr;
  CHECK(mNet.RunUntil(30s, [&] { return mNet.AllCount(16); }));
}

// Guards against a dead member that joins again because a node that was paused for long still
// records it as alive.
TEST(Membership, StaleRecordDoesNotReviveDeadMember)
{
  StartCluster(16);
  mNet.Pause(12);
  mNet.Kill(9);
  mNet.Run(30min);
  mNet.ClearEvents();
  mNet.Resume(12);
  CHECK(mNet.RunUntil(1min, [&] { return mNet.AllCount(15); }));
  for (size_t i = 0; i < mNet.Size(); ++i) {
    for (const auto& [time, event] : mNet.Node(i).mEvents) {
      CHECK(event.mKind != MemberEventKind::Joined || event.mRecord.mId != "node-9");
    }
  }
}

TEST(Membership, DeadMembersAreRemovedAfterRetention)
{
  MembershipSettings settings;
  settings.mDeadRetention = 20min;
  mNet = VirtualNetwork(1, settings);
  StartCluster(8);
  mNet.Kill(5);
  mNet.Run(19min);
  CHECK(mNet.AllKnow(5, IsDead));
  mNet.Run(2min);
  CHECK(mNet.AllKnow(5, [](const MemberRecord* aRecord) { return aRecord == nullptr; }));
}

TEST(Membership, AttributesConvergeWithDuplicatesAndReordering)
{
  StartCluster(32);
  mNet.mFaults.mDuplicates = 0.3;
  mNet.mFaults.mMaxDelay = 400ms;
  for (uint64_t round = 1; round <= 20; ++round) {
    const size_t node = round % 32;
    mNet.Core(node).UpdateSelf({ round % 3 == 0, round });
    mNet.Schedule(node);
    mNet.Run(300ms);
  }
  const auto same = [&] {
    for (size_t i = 0; i < 32; ++i) {
      const MemberRecord& self = mNet.Core(i).Self();
      const auto equal = [&](const MemberRecord* aRecord) {
        return aRecord != nullptr && aRecord->mIncarnation == self.mIncarnation &&
               aRecord->mAvailable == self.mAvailable && aRecord->mRevision == self.mRevision;
      };
      if (!mNet.AllKnow(i, equal)) {
        return false;
      }
    }
    return true;
  };
  CHECK(mNet.RunUntil(20s, same));
  CHECK_EQUAL(0, mNet.CountEvents(MemberEventKind::Dead));
}

TEST(Membership, AvailabilityReachesAllWithinTwoSeconds)
{
  StartCluster(64);
  mNet.Core(7).UpdateSelf({ false, std::nullopt });
  mNet.Schedule(7);
  const auto unavailable = [](const MemberRecord* aRecord) { return !aRecord->mAvailable; };
  CHECK(mNet.RunUntil(2s, [&] { return mNet.AllKnow(7, unavailable); }));
}

TEST(Membership, HighestRevisionReachesAllWithHolder)
{
  StartCluster(64);
  mNet.mFaults.mLoss = 0.3;
  mNet.Core(7).UpdateSelf({ std::nullopt, 41 });
  mNet.Schedule(7);
  const auto known = [&] {
    for (size_t i = 0; i < 64; ++i) {
      const RevisionHolder highest = mNet.Core(i).HighestRevision();
      if (highest.mRevision != 41 ||
          (i != 7 && (!highest.mHolder || highest.mHolder->mId != "node-7"))) {
        return false;
      }
    }
    return true;
  };
  CHECK(mNet.RunUntil(3s, known));
}

// Guards against revisions that are not gossiped because all nodes change theirs at the same time.
TEST(Membership, RevisionsOfAllNodesConverge)
{
  StartCluster(64);
  for (size_t i = 0; i < 64; ++i) {
    mNet.Core(i).UpdateSelf({ std::nullopt, 7 });
    mNet.Schedule(i);
  }
  const auto applied = [](const MemberRecord* aRecord) { return aRecord->mRevision == 7; };
  CHECK(mNet.RunUntil(30s, [&] {
    for (size_t i = 0; i < 64; ++i) {
      if (!mNet.AllKnow(i, applied)) {
        return false;
      }
    }
    return true;
  }));
}

TEST(Membership, ContactCandidatesAreConsistentOnAllNodes)
{
  StartCluster(40);
  const auto candidates = [&] {
    std::vector<size_t> perDataCentre(4);
    for (size_t i = 0; i < 40; ++i) {
      perDataCentre[i % 4] += mNet.Node(i).mCore && mNet.Core(i).IsContactCandidate(3) ? 1 : 0;
    }
    return perDataCentre;
  };
  CHECK(candidates() == std::vector<size_t>(4, 3));
  for (size_t i = 0; i < 40; ++i) {
    if (mNet.Core(i).IsContactCandidate(1) && i > 2) {
      mNet.Kill(i);
      break;
    }
  }
  mNet.Run(25s);
  CHECK(candidates() == std::vector<size_t>(4, 3));
}

// Guards against an undetected later process on another endpoint that uses the same id.
TEST(Membership, SecondProcessWithSameIdIsDetected)
{
  StartCluster(4);
  Random random(9);
  MemberRecord duplicateRecord = VirtualNetwork::RecordOf(3);
  duplicateRecord.mPeer = VirtualNetwork::EndpointOf(9);
  duplicateRecord.mStartMs = mNet.Core(3).Self().mStartMs + 5;
  ManualClock clock;
  Membership core(clock, random, {}, duplicateRecord);
  core.Join({ VirtualNetwork::EndpointOf(0) });
  for (const Datagram& datagram : core.Tick()) {
    CHECK(mNet.Core(0).Receive(duplicateRecord.mPeer, datagram.mBytes).has_value());
  }
  mNet.Schedule(0);
  mNet.Run(5s);
  CHECK(mNet.Core(3).Superseded());
  CHECK(mNet.Core(1).Find("node-3")->mPeer == duplicateRecord.mPeer);
}
