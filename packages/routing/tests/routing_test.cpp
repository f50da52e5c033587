#include "balsammount/hash.h"
#include "balsammount/routing.h"
#include "balsammount/shed_level.h"

#include <algorithm>
#include <functional>
#include <map>
#include <set>

#include <CppUTest/TestHarness.h>
#include <CppUTest/TestMemoryAllocator.h>

using namespace balsammount;
using namespace std::chrono_literals;

namespace {

constexpr ServiceId kService{ 1 };

struct Ending
{
  enum Kind
  {
    Answer,
    Refused,
    Failed,
  } mKind = Answer;
  Duration mAfter = 5ms;
};

} // namespace

// Three data centres: 0 is local, 1 is nearer than 2. Upstream d * 100 + i is number i of
// data centre d.
TEST_GROUP(Router)
{
  ManualClock mClock;
  Random mRandom{ 1 };
  std::unique_ptr<Router> mRouter;
  std::map<uint64_t, int> mCounts;
  Duration mStep = 100us;
  std::multimap<SteadyTime, std::pair<UpstreamId, Ending>> mEvents;

  static RoutingPolicy Policy()
  {
    RoutingPolicy policy;
    policy.mCosts = { { DataCentreId{ 1 }, 4 }, { DataCentreId{ 2 }, 9 } };
    policy.mRankWorths = { 1, 3, 2 };
    return policy;
  }

  void Start(std::initializer_list<int> aPerDataCentre, const RoutingPolicy& aPolicy = Policy())
  {
    mRouter = std::make_unique<Router>(mClock, mRandom, aPolicy);
    uint16_t dataCentre = 0;
    for (const int count : aPerDataCentre) {
      for (int i = 0; i < count; ++i) {
        Upsert(dataCentre * 100ULL + static_cast<uint64_t>(i));
      }
      ++dataCentre;
    }
  }

  void Upsert(uint64_t aId, uint64_t aIncarnation = 1)
  {
    mRouter->UpsertUpstream({ UpstreamId{ aId }, kService,
                              DataCentreId{ static_cast<uint16_t>(aId / 100) }, aIncarnation });
  }

  // One request per mStep for the time given, each ended as aBehaviour says.
  void Run(Duration aTime, const std::function<Ending(uint64_t)>& aBehaviour)
  {
    mCounts.clear();
    for (const SteadyTime end = mClock.Now() + aTime; mClock.Now() < end;) {
      mClock.Advance(mStep);
      while (!mEvents.empty() && mEvents.begin()->first <= mClock.Now()) {
        const auto [id, ending] = mEvents.begin()->second;
        mEvents.erase(mEvents.begin());
        if (ending.mKind == Ending::Answer) {
          mRouter->OnAnswer(id, { ending.mAfter, {}, false });
        } else if (ending.mKind == Ending::Refused) {
          mRouter->OnRefused(id);
        } else {
          mRouter->OnFailure(id);
        }
      }
      const auto chosen = mRouter->Choose(kService);
      CHECK(chosen.has_value());
      ++mCounts[static_cast<uint64_t>(*chosen)];
      mRouter->OnStart(*chosen);
      const Ending ending = aBehaviour(static_cast<uint64_t>(*chosen));
      mEvents.insert({ mClock.Now() + ending.mAfter, { *chosen, ending } });
    }
  }

  int InDataCentre(uint64_t aDataCentre) const
  {
    int sum = 0;
    for (const auto& [id, count] : mCounts) {
      sum += id / 100 == aDataCentre ? count : 0;
    }
    return sum;
  }

  size_t InState(UpstreamState aState) const
  {
    const auto views = mRouter->Upstreams(kService);
    return static_cast<size_t>(std::count_if(
      views.begin(), views.end(), [&](const auto& aView) { return aView.mState == aState; }));
  }

  static Ending Good(uint64_t /*aId*/)
  {
    return {};
  }
};

// Guards against load on links between data centres while local upstreams are fine.
TEST(Router, StaysInTheDataCentreAndSpreadsEvenly)
{
  Start({ 4, 4, 4 });
  Run(2s, Good);
  CHECK_EQUAL(20000, InDataCentre(0));
  for (uint64_t id = 0; id < 4; ++id) {
    CHECK(mCounts[id] > 4500);
    CHECK(mCounts[id] < 5500);
  }
}

// Guards against sending an equal share to an upstream that is ten times slower, and against never
// noticing its recovery.
TEST(Router, SlowUpstreamKeepsASmallShareUntilItRecovers)
{
  Start({ 4 });
  Run(3s, [](uint64_t aId) { return Ending{ Ending::Answer, aId == 2 ? 50ms : 5ms }; });
  CHECK(mCounts[2] < 30000 / 4 / 4);
  CHECK(mCounts[2] > 0);
  mStep = 10ms; // nothing in flight that would push requests to the slow one
  Run(20s, Good);
  Run(10s, Good);
  CHECK(mCounts[2] > 1000 / 4 / 2);
}

// Guards against an upstream that fails at once and therefore looks fast, against early return,
// and against a return at full load.
TEST(Router, FailingUpstreamIsEjectedAndReturnsByProbes)
{
  Start({ 4 });
  const auto failing = [](uint64_t aId) {
    return Ending{ aId == 1 ? Ending::Failed : Ending::Answer, aId == 1 ? 1ms : 5ms };
  };
  Run(4s, failing); // avoided after two failures in a row, ejected after five
  CHECK_EQUAL(1U, InState(UpstreamState::Ejected));
  CHECK(mCounts[1] <= 10);
  Run(1s, failing);
  CHECK_EQUAL(0, mCounts[1]);
  mStep = 1ms;
  Run(120s, failing); // probes fail, at growing distances
  CHECK(mCounts[1] >= 3);
  CHECK(mCounts[1] <= 8);
  Run(240s, Good);
  CHECK(mCounts[1] > 0);
  CHECK_EQUAL(0U, InState(UpstreamState::Ejected));
}

// Guards against ejecting the whole service when the fault lies elsewhere.
TEST(Router, NeverEjectsMoreThanTheBound)
{
  Start({ 6, 4 });
  for (int i = 0; i < 20; ++i) {
    Run(500ms, [](uint64_t) { return Ending{ Ending::Failed, 2ms }; });
    CHECK(InState(UpstreamState::Ejected) + InState(UpstreamState::Probation) <= 3);
  }
  // With fewer upstreams the bound is smaller, down to none for a single one.
  for (uint64_t id = 0; id < 6; ++id) {
    mRouter->RemoveUpstream(UpstreamId{ id });
  }
  CHECK(InState(UpstreamState::Ejected) + InState(UpstreamState::Probation) <= 1);
  for (uint64_t id = 101; id < 104; ++id) {
    mRouter->SetLeaving(UpstreamId{ id });
  }
  CHECK_EQUAL(0U, InState(UpstreamState::Ejected));
  CHECK(mRouter->Choose(kService).has_value());
}

// Guards against new work on a leaving upstream (invariant 6), also after a repeated announcement.
TEST(Router, LeavingUpstreamGetsNothingAtOnce)
{
  Start({ 3 });
  Run(1s, Good);
  mRouter->SetLeaving(UpstreamId{ 0 });
  Upsert(0);
  Run(1s, Good);
  CHECK_EQUAL(0, mCounts[0]);
  mRouter->SetLeaving(UpstreamId{ 1 });
  mRouter->SetLeaving(UpstreamId{ 2 });
  CHECK(mRouter->Choose(kService).error().mCode == RoutingError::NoUpstream);
  CHECK(mRouter->Choose(ServiceId{ 9 }).error().mCode == RoutingError::UnknownService);
  Upsert(0, 2);
  CHECK(mRouter->Choose(kService).has_value());
}

// Guards against a full load on an upstream that has just started.
TEST(Router, ColdUpstreamGetsASmallShareThatGrows)
{
  Start({ 4 });
  mClock.Advance(1min);
  Run(1s, Good);
  Upsert(7);
  Run(1s, Good);
  CHECK(mCounts[7] > 0);
  CHECK(mCounts[7] < 10000 / 5 / 2);
  const int first = mCounts[7];
  Run(5s, Good);
  CHECK(mCounts[7] / 5 > first);
  Run(5s, Good);
  Run(1s, Good);
  CHECK(mCounts[7] > 10000 / 5 * 8 / 10);
  // Also when nothing else is in flight and all requests are equally good choices.
  mStep = 10ms;
  Upsert(8);
  Run(2s, Good);
  CHECK(mCounts[8] > 0);
  CHECK(mCounts[8] < 200 / 6 / 2);
}

// Guards against a cold upstream that gets all the load that its overloaded neighbours refuse.
TEST(Router, ColdUpstreamIsNoReserve)
{
  Start({ 4, 4 });
  mClock.Advance(1min);
  Upsert(7);
  Run(1s, [](uint64_t aId) { return Ending{ aId < 4 ? Ending::Refused : Ending::Answer, 5ms }; });
  CHECK(mCounts[7] > 0);
  CHECK(mCounts[7] < InDataCentre(1));
}

// Guards against failures that outlast the loss of a data centre, whose share of the subset is
// above the ejection bound, and against staying remote after its return.
TEST(Router, SurvivesTheLossOfADataCentre)
{
  Start({ 8, 4, 4 });
  Run(1s, Good);
  const auto lost = [](uint64_t aId) {
    return Ending{ aId < 100 ? Ending::Failed : Ending::Answer, 5ms };
  };
  Run(1s, lost);
  Run(10s, lost);
  CHECK(InDataCentre(0) < 100000 / 20);
  CHECK_EQUAL(0, InDataCentre(2));
  for (uint64_t id = 0; id < 8; ++id) {
    mRouter->RemoveUpstream(UpstreamId{ id });
  }
  Run(1s, lost);
  CHECK_EQUAL(10000, InDataCentre(1));
  for (uint64_t id = 0; id < 8; ++id) {
    Upsert(id, 2);
  }
  Run(20s, Good);
  Run(1s, Good);
  CHECK_EQUAL(10000, InDataCentre(0));
}

// Guards against retries on the same upstream, and against three attempts in one broken data
// centre.
TEST(Router, RetriesGoElsewhere)
{
  Start({ 4, 2, 2 });
  for (int i = 0; i < 200; ++i) {
    std::vector<UpstreamId> tried;
    for (int attempt = 0; attempt < 8; ++attempt) {
      const auto chosen = mRouter->Choose(kService, { tried });
      CHECK(chosen.has_value());
      CHECK(std::find(tried.begin(), tried.end(), *chosen) == tried.end());
      CHECK_EQUAL(attempt == 2, static_cast<uint64_t>(*chosen) / 100 == 1 && attempt < 3);
      tried.push_back(*chosen);
    }
    CHECK(mRouter->Choose(kService, { tried }).error().mCode == RoutingError::AllExcluded);
  }
}

// Guards against refusals that are spread only after a delay, and against leaving the data centre
// for good or when the others refuse as well.
TEST(Router, SpillsOverOnlyWhileLocalUpstreamsRefuse)
{
  Start({ 4, 4 });
  const auto localRefuses = [](uint64_t aId) {
    return Ending{ aId < 100 ? Ending::Refused : Ending::Answer, 1ms };
  };
  Run(2s, localRefuses);
  CHECK(InDataCentre(1) > 19000);
  Run(1s, Good);
  Run(1s, Good);
  CHECK_EQUAL(10000, InDataCentre(0));
  Run(1s, [](uint64_t) { return Ending{ Ending::Refused, 1ms }; });
  Run(1s, [](uint64_t) { return Ending{ Ending::Refused, 1ms }; });
  CHECK(InDataCentre(0) > 7000);
  for (uint64_t id = 0; id < 4; ++id) {
    mRouter->OnAnswer(UpstreamId{ id }, { 5ms, 1.5F, false });
    mRouter->OnAnswer(UpstreamId{ id + 100 }, { 5ms, 0.5F, false });
  }
  CHECK(static_cast<uint64_t>(*mRouter->Choose(kService)) >= 100);
  mClock.Advance(1s);
  CHECK(static_cast<uint64_t>(*mRouter->Choose(kService)) < 100);
}

// Guards against shedding by one upstream's level, by a stale level, or differently at two hops.
TEST(Router, ShedsByTheMedianOfFreshLevels)
{
  RoutingPolicy policy = Policy();
  policy.mShedLevelFresh = 2s;
  Start({ 5 }, policy);
  CHECK_FALSE(mRouter->ShouldShed(kService, RankIndex{ 0 }, 0));
  mRouter->OnShedLevel(kService, UpstreamId{ 0 }, 8 * kShedCohorts);
  mRouter->OnShedLevel(kService, UpstreamId{ 1 }, kShedCohorts + kShedCohorts / 4);
  mRouter->OnShedLevel(kService, UpstreamId{ 2 }, 0);
  CHECK_EQUAL(kShedCohorts + kShedCohorts / 4, mRouter->ShedLevel(kService));
  for (uint64_t hash = 0; hash < 1000; ++hash) {
    CHECK(mRouter->ShouldShed(kService, RankIndex{ 0 }, hash)); // least worth
    CHECK_EQUAL(hash % kShedCohorts < kShedCohorts / 4,
                mRouter->ShouldShed(kService, RankIndex{ 2 }, hash));
    CHECK_FALSE(mRouter->ShouldShed(kService, RankIndex{ 1 }, hash)); // most worth
  }
  mClock.Advance(1s);
  mRouter->OnShedLevel(kService, UpstreamId{ 2 }, 0);
  mRouter->OnShedLevel(kService, UpstreamId{ 3 }, 10);
  CHECK_EQUAL(10U, mRouter->ShedLevel(kService));
  mClock.Advance(1s);
  CHECK_EQUAL(0U, mRouter->ShedLevel(kService)); // lower median of 0 and 10
  mRouter->OnShedLevel(kService, UpstreamId{ 4 }, 20);
  CHECK_EQUAL(10U, mRouter->ShedLevel(kService));
  mClock.Advance(2s);
  CHECK_EQUAL(0U, mRouter->ShedLevel(kService));
}

// Guards against memory allocation per request (section 1.2).
TEST(Router, DecisionsDoNotAllocate)
{
  Start({ 4, 4, 4 });
  const std::vector<UpstreamId> tried = { UpstreamId{ 1 }, UpstreamId{ 2 } };
  const auto allocations = [](const std::function<void()>& aWork) {
    GlobalMemoryAccountant accountant;
    accountant.start();
    aWork();
    accountant.stop();
    return accountant.report();
  };
  const auto decide = [&] {
    for (uint64_t i = 0; i < 100; ++i) {
      const UpstreamId chosen = *mRouter->Choose(kService, { tried });
      mRouter->ShouldShed(kService, RankIndex{ 0 }, i);
      mRouter->OnStart(chosen);
      mRouter->OnShedLevel(kService, chosen, static_cast<uint32_t>(i));
      mRouter->OnAnswer(chosen, { 5ms, 0.5F, i % 3 == 0 });
      mRouter->OnRefused(chosen);
      mRouter->OnFailure(chosen);
    }
  };
  const SimpleString none = allocations([] {});
  CHECK(none == allocations(decide));
  CHECK_FALSE(none == allocations([&] { mRouter->Upstreams(kService); }));
}

// Guards against upstreams that no node uses, and against a change that moves the whole subset.
TEST(Router, SubsetsAreStableAndCoverTheFleet)
{
  RoutingPolicy policy = Policy();
  policy.mLocalSubset = 8;
  policy.mRemoteSubset = 2;
  const auto subset = [&] {
    std::set<UpstreamId> ids;
    for (const auto& view : mRouter->Upstreams(kService)) {
      if (view.mInSubset) {
        ids.insert(view.mInfo.mId);
      }
    }
    return ids;
  };
  std::set<UpstreamId> covered;
  for (uint64_t node = 0; node < 60; ++node) {
    policy.mSelf = Hash64("node", node);
    Start({ 40, 10, 3 }, policy);
    const auto before = subset();
    CHECK_EQUAL(12U, before.size());
    covered.insert(before.begin(), before.end());
    const UpstreamId gone = *before.begin();
    mRouter->RemoveUpstream(gone);
    auto after = subset();
    CHECK_EQUAL(12U, after.size());
    for (const UpstreamId id : before) {
      CHECK(id == gone || after.erase(id) == 1);
    }
    Upsert(static_cast<uint64_t>(gone), 2);
    CHECK(before == subset());
  }
  CHECK_EQUAL(53U, covered.size());
  Start({ 8, 2, 2 }, policy);
  CHECK_EQUAL(12U, subset().size());
}

// Guards against broken invariants under any order of events.
TEST(Router, SeededEventsKeepTheInvariants)
{
  for (uint64_t seed = 0; seed < 60; ++seed) {
    Random random(seed);
    RoutingPolicy policy = Policy();
    policy.mLocalSubset = 1 + random.Below(6);
    policy.mRemoteSubset = 1 + random.Below(3);
    Start({ 3, 2, 1 }, policy);
    std::set<uint64_t> leaving;
    std::vector<UpstreamId> running;
    std::map<uint64_t, uint64_t> incarnations;
    for (int step = 0; step < 2000; ++step) {
      mClock.Advance(std::chrono::milliseconds(random.Below(300)));
      const uint64_t id = random.Below(3) * 100 + random.Below(5);
      switch (random.Below(12)) {
        case 0:
          Upsert(id, ++incarnations[id] + 1);
          leaving.erase(id);
          break;
        case 1:
          mRouter->RemoveUpstream(UpstreamId{ id });
          leaving.insert(id);
          break;
        case 2:
          mRouter->SetLeaving(UpstreamId{ id });
          leaving.insert(id);
          break;
        case 3:
          mRouter->OnShedLevel(kService, UpstreamId{ id },
                               static_cast<uint32_t>(random.Below(300)));
          break;
        default:
          break;
      }
      std::vector<UpstreamId> tried(
        running.end() - static_cast<ptrdiff_t>(std::min<size_t>(running.size(), random.Below(4))),
        running.end());
      if (const auto chosen = mRouter->Choose(kService, { tried, random.Below(2) == 0 })) {
        CHECK(!leaving.contains(static_cast<uint64_t>(*chosen)));
        CHECK(std::find(tried.begin(), tried.end(), *chosen) == tried.end());
        mRouter->OnStart(*chosen);
        running.push_back(*chosen);
      }
      while (running.size() > 10) {
        const size_t place = random.Below(running.size());
        const UpstreamId done = running[place];
        running.erase(running.begin() + static_cast<ptrdiff_t>(place));
        switch (random.Below(4)) {
          case 0:
            mRouter->OnAnswer(done, { 5ms, {}, random.Below(2) == 0 });
            break;
          case 1:
            mRouter->OnRefused(done);
            break;
          case 2:
            mRouter->OnFailure(done);
            break;
          default:
            mRouter->OnCancel(done, 30ms);
            break;
        }
      }
      std::map<UpstreamId, uint32_t> inFlight;
      for (const UpstreamId one : running) {
        ++inFlight[one];
      }
      size_t ejected = 0;
      size_t members = 0;
      for (const auto& view : mRouter->Upstreams(kService)) {
        CHECK_EQUAL(inFlight[view.mInfo.mId], view.mInFlight);
        CHECK(!view.mInSubset || view.mState != UpstreamState::Leaving);
        members += view.mInSubset ? 1 : 0;
        ejected += view.mInSubset && (view.mState == UpstreamState::Ejected ||
                                      view.mState == UpstreamState::Probation);
      }
      CHECK(ejected <= (members < 2 ? 0 : std::max<size_t>(1, members * 3 / 10)));
      CHECK(members > 0 || !mRouter->Choose(kService).has_value());
    }
  }
}
