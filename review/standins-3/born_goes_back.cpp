// The time of day of a machine jumps back between two starts of its upstream, which keeps its id.
// Shows whether the upstream's later notice that it leaves, which the node acknowledges, has
// effect.
#include "lab.h"

#include <cstdio>

using namespace lab;

namespace {

// The dose of the site.
constexpr int64_t kClockStepMs = 2400;
constexpr int64_t kFirstLifeMs = 700;
constexpr int64_t kDownMs = 1000;
constexpr int64_t kDrainMs = 2000;
constexpr int64_t kServesOnMs = 5000;
constexpr int kDeadlineMs = 5000;
constexpr size_t kClients = 8;

const std::vector<Route> kRoutes = {
  { "browse", "catalogue.example", "/browse/", "idempotent", 5000, 1, "catalogue" },
  { "order", "orders.example", "/order/", "non_idempotent", 5000, 2, "orders" },
};

bool Holds()
{
  UpstreamOptions upstream;
  upstream.mKeepsId = true;
  upstream.mDownMs = kDownMs;
  upstream.mClockAheadMs = HasTrouble() ? kClockStepMs : 0;
  Deployment deployment({ { "side-a-1", "catalogue", "a", "", 54, {} },
                          { "side-b-1", "catalogue", "b", "", 54, {} },
                          { "side-a-2", "orders", "a", "", 54, {} },
                          { "side-b-2", "orders", "b", "", 54, upstream } },
                        kRoutes);
  Upstream& leaving = deployment.At(3).Server();
  SleepMs(kFirstLifeMs);
  leaving.Crash();
  SleepMs(kDownMs);
  deployment.WaitUntilReady(kRoutes);

  std::atomic<bool> stop{ false };
  std::atomic<size_t> served{ 0 };
  std::atomic<size_t> failed{ 0 };
  std::vector<std::thread> clients;
  for (size_t i = 0; i < kClients; ++i) {
    clients.emplace_back([&, i] {
      while (!stop) {
        Machine& machine = deployment.At(i % deployment.Size());
        Socket socket = Connect(machine.Outbound(), machine.Ip());
        const std::string id = NewId();
        socket.WriteAll(
          RequestText("POST", kRoutes[1], "w200-s200", id, kDeadlineMs, BodyFor(id, 64)));
        const Answer answer = ReadAnswer(socket, {}, kDeadlineMs);
        Record("client gets for " + id + ": " + answer.Text());
        served += answer.mStatus == 200 ? 1 : 0;
        failed += answer.mStatus == 502 ? 1 : 0;
        SleepMs(20);
      }
    });
  }
  SleepMs(2000);
  const int64_t acknowledged = leaving.Leave();
  SleepMs(kServesOnMs);
  leaving.Exit();
  SleepMs(1000);
  stop = true;
  for (std::thread& client : clients) {
    client.join();
  }
  if (acknowledged == 0) {
    throw std::runtime_error("the leaving was not acknowledged");
  }
  size_t late = 0;
  size_t before = 0;
  for (const Run& run : leaving.Runs()) {
    late += run.mStarted > acknowledged + kDrainMs ? 1 : 0;
    before += run.mStarted <= acknowledged ? 1 : 0;
  }
  const std::string summary = std::to_string(served) + " orders served; the leaving upstream ran " +
                              std::to_string(before) + " before its leaving was acknowledged and " +
                              std::to_string(late) + " later than " + std::to_string(kDrainMs) +
                              " ms after; " + std::to_string(failed) + " orders were answered 502";
  Record(summary);
  std::printf("%s\n", summary.c_str());
  if (served == 0 || before == 0) {
    throw std::runtime_error("no request was served");
  }
  return late == 0;
}

} // namespace

int main(int aCount, char** aArguments)
{
  return RunCase(aCount, aArguments, Holds);
}
