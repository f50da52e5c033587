// Time per decision by number of ranks and of queued requests.
#include "balsammount/admission.h"
#include "balsammount/random.h"

#include <benchmark/benchmark.h>

using namespace balsammount;

namespace {

AdmissionPolicy Policy(size_t aRanks)
{
  AdmissionPolicy policy;
  policy.mRankCount = aRanks;
  for (size_t i = 0; i < aRanks; ++i) {
    policy.mRanks[i] = { static_cast<double>(i), 0.5 / static_cast<double>(aRanks) };
  }
  policy.mAdaptiveLimit = false;
  policy.mMaxQueue = 1024;
  return policy;
}

// Measures one request: an offer, a completion and the poll after them.
void Decide(benchmark::State& aState)
{
  const auto ranks = static_cast<size_t>(aState.range(0));
  const auto queued = static_cast<uint32_t>(aState.range(1));
  ManualClock clock;
  AdmissionController controller(clock, Policy(ranks));
  Random random(1);
  std::vector<AdmissionId> running;
  running.reserve(2048);
  std::array<AdmissionAction, 8> actions{};
  const auto poll = [&] {
    const size_t count = controller.Poll(actions);
    for (size_t i = 0; i < count; ++i) {
      if (actions[i].mDecision == Decision::Dispatch) {
        running.push_back(actions[i].mId);
      }
    }
  };
  const auto offer = [&] {
    const uint64_t hash = random.Next();
    const AdmissionResult result =
      controller.Offer({ hash % ranks, hash >> 8, hash, clock.Now() + std::chrono::hours(1), 0 });
    if (result.mDecision == Decision::Dispatch) {
      running.push_back(result.mId);
    }
  };
  while (controller.QueueLength() < queued || running.empty()) {
    offer();
  }
  for (auto _ : aState) {
    offer();
    clock.Advance(std::chrono::microseconds(200));
    const size_t last = random.Below(running.size());
    controller.Complete(running[last], Outcome::Success, std::chrono::milliseconds(10));
    running[last] = running.back();
    running.pop_back();
    poll();
  }
  aState.SetLabel(std::to_string(controller.QueueLength()) + " queued");
}

} // namespace

BENCHMARK(Decide)->ArgsProduct({ { 2, 8, 16 }, { 0, 100, 1000 } })->ArgNames({ "ranks", "queued" });

BENCHMARK_MAIN();
