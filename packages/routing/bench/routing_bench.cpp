// Measures the cost of routing decisions per request in one service of several sizes.
#include "balsammount/hash.h"
#include "balsammount/routing.h"

#include <benchmark/benchmark.h>

using namespace balsammount;
using namespace std::chrono_literals;

namespace {

constexpr ServiceId kService{ 1 };

struct Fixture
{
  explicit Fixture(uint64_t aUpstreams)
    : mRouter(mClock, mRandom, Policy())
  {
    for (uint64_t i = 0; i < aUpstreams; ++i) {
      mRouter.UpsertUpstream({ UpstreamId{ Hash64("upstream", i) }, kService,
                               DataCentreId{ static_cast<uint16_t>(i % 4) }, 1 });
    }
  }

  static RoutingPolicy Policy()
  {
    RoutingPolicy policy;
    policy.mRankWorths = { 1, 2, 3, 4 };
    return policy;
  }

  SystemClock mClock;
  Random mRandom{ 1 };
  Router mRouter;
};

void Choose(benchmark::State& aState)
{
  Fixture fixture(static_cast<uint64_t>(aState.range(0)));
  for ([[maybe_unused]] auto _ : aState) {
    benchmark::DoNotOptimize(fixture.mRouter.Choose(kService));
  }
}

// All local upstreams are avoided, so that the tiers are scanned.
void ChooseSpillover(benchmark::State& aState)
{
  Fixture fixture(static_cast<uint64_t>(aState.range(0)));
  RoutingPolicy policy = Fixture::Policy();
  policy.mRefusalBackoff = 1h;
  fixture.mRouter.SetPolicy(policy);
  for (const UpstreamView& view : fixture.mRouter.Upstreams(kService)) {
    if (view.mInfo.mDataCentre == policy.mDataCentre) {
      fixture.mRouter.OnRefused(view.mInfo.mId);
    }
  }
  for ([[maybe_unused]] auto _ : aState) {
    benchmark::DoNotOptimize(fixture.mRouter.Choose(kService));
  }
}

void Request(benchmark::State& aState)
{
  Fixture fixture(static_cast<uint64_t>(aState.range(0)));
  uint64_t hash = 0;
  for ([[maybe_unused]] auto _ : aState) {
    benchmark::DoNotOptimize(fixture.mRouter.ShouldShed(kService, RankIndex{ 1 }, ++hash));
    const UpstreamId chosen = *fixture.mRouter.Choose(kService);
    fixture.mRouter.OnStart(chosen);
    fixture.mRouter.OnShedLevel(kService, chosen, 10);
    fixture.mRouter.OnResponse(chosen, { 5ms, 0.5F, false });
  }
}

} // namespace

BENCHMARK(Choose)->Arg(4)->Arg(35)->Arg(200)->Arg(1400);
BENCHMARK(ChooseSpillover)->Arg(4)->Arg(35)->Arg(200)->Arg(1400);
BENCHMARK(Request)->Arg(4)->Arg(35)->Arg(200)->Arg(1400);

BENCHMARK_MAIN();
