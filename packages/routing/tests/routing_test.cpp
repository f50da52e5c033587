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

struct Outcome
{
  enum Kind
  {
    Responded,
    Refused,
    Failed,
  } mKind = Responded;
  Duration mLatency = 5ms;
};

} // namespace

// Three data centres: 0 is local, and 1 is nearer than 2. Upstream d * 100 + i is number i in data
// centre d.
TEST_GROUP(Router)
{
  ManualClock mClock;
  Random mRandom{ 1 };
  std::unique_ptr<Router> mRouter;
  std::map<uint64_t, int> mRequestCounts;
  Duration mRequestInterval = 100us;
  std::multimap<SteadyTime, std::pair<UpstreamId, Outcome>> mPendingOutcomes;

  static RoutingPolicy Policy()
  {
    RoutingPolicy policy;
    policy.mCosts = { { DataCentreId{ 1 }, 4 }, { DataCentreId{ 2 }, 9 } };
    policy.mRankWorths = { 1, 3, 2 };
    return policy;
  }

  void CreateRouter(std::initializer_list<int> aPerDataCentre,
                    const RoutingPolicy& aPolicy = Policy())
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

  // Sends one request per mRequestInterval during aTime. aOutcomeOf returns the outcome of a
  // request for the id of its upstream.
  void SendRequests(Duration aTime, const std::function<Outcome(uint64_t)>& aOutcomeOf)
  {
    mRequestCounts.clear();
    for (const SteadyTime end = mClock.Now() + aTime; mClock.Now() < end;) {
      mClock.Advance(mRequestInterval);
      while (!mPendingOutcomes.empty() && mPendingOutcomes.begin()->first <= mClock.Now()) {
        const auto [id, outcome] = mPendingOutcomes.begin()->second;
        mPendingOutcomes.erase(mPendingOutcomes.begin());
        if (outcome.mKind == Outcome::Responded) {
          mRouter->OnResponse(id, { outcome.mLatency, {}, false });
        } else if (outcome.mKind == Outcome::Refused) {
          mRouter->OnRefused(id);
        } else {
          mRouter->OnFailure(id);
        }
      }
      const auto chosen = mRouter->Choose(kService);
      CHECK(chosen.has_value());
      ++mRequestCounts[static_cast<uint64_t>(*chosen)];
      mRouter->OnStart(*chosen);
      const Outcome outcome = aOutcomeOf(static_cast<uint64_t>(*chosen));
      mPendingOutcomes.insert({ mClock.Now() + outcome.mLatency, { *chosen, outcome } });
    }
  }

  int RequestsInDataCentre(uint64_t aDataCentre) const
  {
    int sum = 0;
    for (const auto& [id, count] : mRequestCounts) {
      sum += id / 100 == aDataCentre ? count : 0;
    }
    return sum;
  }

  size_t CountInState(UpstreamState aState) const
  {
    const auto views = mRouter->Upstreams(kService);
    return static_cast<size_t>(std::count_if(
      views.begin(), views.end(), [&](const auto& aView) { return aView.mState == aState; }));
  }

  static Outcome Succeed(uint64_t /*aId*/)
  {
    return {};
  }
};

// Guards against traffic between data centres while local upstreams are healthy.
TEST(Router, UsesLocalUpstreamsEvenly)
{
  CreateRouter({ 4, 4, 4 });
  SendRequests(2s, Succeed);
  CHECK_EQUAL(20000, RequestsInDataCentre(0));
  for (uint64_t id = 0; id < 4; ++id) {
    CHECK(mRequestCounts[id] > 4500);
    CHECK(mRequestCounts[id] < 5500);
  }
}

// Guards against sending a full share to an upstream that is ten times slower, and against missing
// its recovery.
TEST(Router, SlowUpstreamGetsSmallShareUntilItRecovers)
{
  CreateRouter({ 4 });
  SendRequests(3s, [](uint64_t aId) {
    return Outcome{ Outcome::Responded, aId == 2 ? 50ms : 5ms };
  });
  CHECK(mRequestCounts[2] < 30000 / 4 / 4);
  CHECK(mRequestCounts[2] > 0);
  mRequestInterval = 10ms; // nothing is in flight that would shift requests to the slow one
  SendRequests(20s, Succeed);
  SendRequests(10s, Succeed);
  CHECK(mRequestCounts[2] > 1000 / 4 / 2);
}

// Guards against preferring an upstream that looks fast because it fails immediately, and against
// ending its ejection too early or at full load.
TEST(Router, FailingUpstreamIsEjectedAndRecoversByProbes)
{
  CreateRouter({ 4 });
  const auto failing = [](uint64_t aId) {
    return Outcome{ aId == 1 ? Outcome::Failed : Outcome::Responded, aId == 1 ? 1ms : 5ms };
  };
  SendRequests(4s, failing); // avoided after two failures in a row, ejected after five
  CHECK_EQUAL(1U, CountInState(UpstreamState::Ejected));
  CHECK(mRequestCounts[1] <= 10);
  SendRequests(1s, failing);
  CHECK_EQUAL(0, mRequestCounts[1]);
  mRequestInterval = 1ms;
  SendRequests(120s, failing); // probes fail, at growing intervals
  CHECK(mRequestCounts[1] >= 3);
  CHECK(mRequestCounts[1] <= 8);
  SendRequests(240s, Succeed);
  CHECK(mRequestCounts[1] > 0);
  CHECK_EQUAL(0U, CountInState(UpstreamState::Ejected));
}

// Guards against ejections that exceed the longest ejection time by their jitter.
TEST(Router, EjectionNeverExceedsTheLongestTime)
{
  CreateRouter({ 2 });
  const RoutingPolicy policy;
  const auto isEjected = [&] { return CountInState(UpstreamState::Ejected) > 0; };
  const auto fail = [&] {
    mRouter->OnStart(UpstreamId{ 0 });
    mRouter->OnFailure(UpstreamId{ 0 });
  };
  for (int i = 0; i < 20; ++i) {
    while (!isEjected()) {
      fail();
    }
    mClock.Advance(policy.mMaxEjectionTime);
    CHECK_FALSE(isEjected());
  }
}

// Guards against ejecting a whole service when the fault is elsewhere.
TEST(Router, EjectionsStayWithinLimit)
{
  CreateRouter({ 6, 4 });
  for (int i = 0; i < 20; ++i) {
    SendRequests(500ms, [](uint64_t) { return Outcome{ Outcome::Failed, 2ms }; });
    CHECK(CountInState(UpstreamState::Ejected) + CountInState(UpstreamState::Probation) <= 3);
  }
  // Fewer upstreams lower the limit, down to 0 for a single one.
  for (uint64_t id = 0; id < 6; ++id) {
    mRouter->RemoveUpstream(UpstreamId{ id });
  }
  CHECK(CountInState(UpstreamState::Ejected) + CountInState(UpstreamState::Probation) <= 1);
  for (uint64_t id = 101; id < 104; ++id) {
    mRouter->SetLeaving(UpstreamId{ id });
  }
  CHECK_EQUAL(0U, CountInState(UpstreamState::Ejected));
  CHECK(mRouter->Choose(kService).has_value());
}

// Guards against new requests to a leaving upstream, even when it is added again with the same
// incarnation.
TEST(Router, LeavingUpstreamGetsNoRequests)
{
  CreateRouter({ 3 });
  SendRequests(1s, Succeed);
  mRouter->SetLeaving(UpstreamId{ 0 });
  Upsert(0);
  SendRequests(1s, Succeed);
  CHECK_EQUAL(0, mRequestCounts[0]);
  mRouter->SetLeaving(UpstreamId{ 1 });
  mRouter->SetLeaving(UpstreamId{ 2 });
  CHECK(mRouter->Choose(kService).error().mCode == RoutingError::NoUpstream);
  CHECK(mRouter->Choose(ServiceId{ 9 }).error().mCode == RoutingError::UnknownService);
  Upsert(0, 2);
  CHECK(mRouter->Choose(kService).has_value());
}

// Guards against a full load on an upstream that has just started.
TEST(Router, ColdUpstreamGetsGrowingShare)
{
  CreateRouter({ 4 });
  mClock.Advance(1min);
  SendRequests(1s, Succeed);
  Upsert(7);
  SendRequests(1s, Succeed);
  CHECK(mRequestCounts[7] > 0);
  CHECK(mRequestCounts[7] < 10000 / 5 / 2);
  const int first = mRequestCounts[7];
  SendRequests(5s, Succeed);
  CHECK(mRequestCounts[7] / 5 > first);
  SendRequests(5s, Succeed);
  SendRequests(1s, Succeed);
  CHECK(mRequestCounts[7] > 10000 / 5 * 8 / 10);
  // The share is small even when nothing is in flight and all upstreams score alike.
  mRequestInterval = 10ms;
  Upsert(8);
  SendRequests(2s, Succeed);
  CHECK(mRequestCounts[8] > 0);
  CHECK(mRequestCounts[8] < 200 / 6 / 2);
}

// Guards against sending a cold upstream all the load that its overloaded neighbours refuse.
TEST(Router, ColdUpstreamDoesNotAbsorbRefusedLoad)
{
  CreateRouter({ 4, 4 });
  mClock.Advance(1min);
  Upsert(7);
  SendRequests(1s, [](uint64_t aId) {
    return Outcome{ aId < 4 ? Outcome::Refused : Outcome::Responded, 5ms };
  });
  CHECK(mRequestCounts[7] > 0);
  CHECK(mRequestCounts[7] < RequestsInDataCentre(1));
}

// Guards against continued failures after the loss of a data centre whose share of the subset
// exceeds the ejection limit, and against staying remote after its recovery.
TEST(Router, RecoversFromDataCentreOutage)
{
  CreateRouter({ 8, 4, 4 });
  SendRequests(1s, Succeed);
  const auto dataCentreFails = [](uint64_t aId) {
    return Outcome{ aId < 100 ? Outcome::Failed : Outcome::Responded, 5ms };
  };
  SendRequests(1s, dataCentreFails);
  SendRequests(10s, dataCentreFails);
  CHECK(RequestsInDataCentre(0) < 100000 / 20);
  CHECK_EQUAL(0, RequestsInDataCentre(2));
  for (uint64_t id = 0; id < 8; ++id) {
    mRouter->RemoveUpstream(UpstreamId{ id });
  }
  SendRequests(1s, dataCentreFails);
  CHECK_EQUAL(10000, RequestsInDataCentre(1));
  for (uint64_t id = 0; id < 8; ++id) {
    Upsert(id, 2);
  }
  SendRequests(20s, Succeed);
  SendRequests(1s, Succeed);
  CHECK_EQUAL(10000, RequestsInDataCentre(0));
}

// Guards against retries on the same upstream, and against three attempts in one failed data
// centre.
TEST(Router, RetriesUseOtherUpstreams)
{
  CreateRouter({ 4, 2, 2 });
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

// Guards against a delayed spillover after refusals, against a permanent one, and against spilling
// over when the other data centres refuse as well.
TEST(Router, SpillsOverOnlyWhileLocalUpstreamsAreAvoided)
{
  CreateRouter({ 4, 4 });
  const auto localUpstreamsRefuse = [](uint64_t aId) {
    return Outcome{ aId < 100 ? Outcome::Refused : Outcome::Responded, 1ms };
  };
  SendRequests(2s, localUpstreamsRefuse);
  CHECK(RequestsInDataCentre(1) > 19000);
  SendRequests(1s, Succeed);
  SendRequests(1s, Succeed);
  CHECK_EQUAL(10000, RequestsInDataCentre(0));
  SendRequests(1s, [](uint64_t) { return Outcome{ Outcome::Refused, 1ms }; });
  SendRequests(1s, [](uint64_t) { return Outcome{ Outcome::Refused, 1ms }; });
  CHECK(RequestsInDataCentre(0) > 7000);
  for (uint64_t id = 0; id < 4; ++id) {
    mRouter->OnResponse(UpstreamId{ id }, { 5ms, 1.5F, false });
    mRouter->OnResponse(UpstreamId{ id + 100 }, { 5ms, 0.5F, false });
  }
  CHECK(static_cast<uint64_t>(*mRouter->Choose(kService)) >= 100);
  mClock.Advance(1s);
  CHECK(static_cast<uint64_t>(*mRouter->Choose(kService)) < 100);
}

// Guards against shedding by a single upstream's level or by a stale one, and against hops that
// shed different requests.
TEST(Router, ShedsByMedianOfFreshLevels)
{
  RoutingPolicy policy = Policy();
  policy.mShedLevelTtl = 2s;
  CreateRouter({ 5 }, policy);
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

// Guards against memory allocation per request.
TEST(Router, DecisionsDoNotAllocate)
{
  CreateRouter({ 4, 4, 4 });
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
      mRouter->OnResponse(chosen, { 5ms, 0.5F, i % 3 == 0 });
      mRouter->OnRefused(chosen);
      mRouter->OnFailure(chosen);
    }
  };
  const SimpleString none = allocations([] {});
  CHECK(none == allocations(decide));
  CHECK_FALSE(none == allocations([&] { mRouter->Upstreams(kService); }));
}

// Guards against upstreams that no node uses, and against one change that replaces the whole
// subset.
TEST(Router, SubsetsAreStableAndCoverAllUpstreams)
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
    CreateRouter({ 40, 10, 3 }, policy);
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
  CreateRouter({ 8, 2, 2 }, policy);
  CHECK_EQUAL(12U, subset().size());
}

// Guards against broken invariants under random sequences of events.
TEST(Router, RandomEventsKeepInvariants)
{
  for (uint64_t seed = 0; seed < 60; ++seed) {
    Random random(seed);
    RoutingPolicy policy = Policy();
    policy.mLocalSubset = 1 + random.Below(6);
    policy.mRemoteSubset = 1 + random.Below(3);
    CreateRouter({ 3, 2, 1 }, policy);
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
            mRouter->OnResponse(done, { 5ms, {}, random.Below(2) == 0 });
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
