// A request crashes each upstream that begins to run it, and comes again. Its route is split among
// services. Shows how often it still reaches upstreams after the third crash.
#include "lab.h"

#include <algorithm>
#include <cstdio>
#include <set>

using namespace lab;

namespace {

constexpr int kDeadlineMs = 5000;
constexpr int kTimes = 18;
constexpr int64_t kBetweenMs = 4000;
constexpr int64_t kContactMs = 3000;
constexpr int64_t kDownMs = 2500;
constexpr size_t kAllowed = 3;
constexpr size_t kOrderClients = 4;
constexpr int64_t kBetweenOrdersMs = 100;
const std::string kCrashing = "-crash-";

const std::vector<std::pair<std::string, int>> kParts = { { "catalogue", 25 },
                                                          { "orders", 25 },
                                                          { "certify", 25 },
                                                          { "scheduler", 25 } };
const std::vector<Route> kRoutes = {
  { "browse", "catalogue.example", "/browse/", "idempotent", 5000, 1, "", kParts },
  { "order", "orders.example", "/order/", "non_idempotent", 5000, 2, "", kParts },
};

std::string CrashingRequest(const std::string& aId)
{
  return "GET " + kRoutes[0].mPrefix + "page" + kCrashing +
         "7/w100-s100 HTTP/1.1\r\nHost: " + kRoutes[0].mHost + "\r\nRequest-Id: " + aId +
         "\r\nDeadline-Ms: " + std::to_string(kDeadlineMs) + "\r\n\r\n";
}

// Other work, some of which is running when an upstream crashes.
void PlaceOrders(Deployment& aDeployment, size_t aFirst, const std::atomic<bool>& aStop,
                 std::atomic<size_t>& aServed)
{
  for (size_t next = aFirst; !aStop; ++next) {
    Machine& machine = aDeployment.At(next % aDeployment.Size());
    Socket socket = Connect(machine.Outbound(), machine.Ip());
    const std::string id = NewId();
    socket.WriteAll(RequestText("POST", kRoutes[1], "w200-s200", id, kDeadlineMs, BodyFor(id, 64)));
    const Answer answer = ReadAnswer(socket, {}, kDeadlineMs);
    aServed += answer.mStatus == 200 ? 1 : 0;
    Record("order " + id + " gets: " + answer.Text());
    SleepMs(kBetweenOrdersMs);
  }
}

bool Holds()
{
  UpstreamOptions upstream;
  upstream.mCrashesOn = HasTrouble() ? kCrashing : "";
  upstream.mDownMs = kDownMs;
  std::vector<MachineSettings> machines;
  for (const auto& [service, weight] : kParts) {
    for (const char* const zone : { "a", "b" }) {
      machines.push_back(
        { std::string("side-") + zone + "-" + service, service, zone, "", 54, upstream });
    }
  }
  Deployment deployment(machines, kRoutes);
  deployment.WaitUntilReady(kRoutes);

  std::atomic<bool> stop{ false };
  std::atomic<size_t> served{ 0 };
  std::vector<std::thread> clients;
  for (size_t i = 0; i < kOrderClients; ++i) {
    clients.emplace_back([&, i] { PlaceOrders(deployment, i, stop, served); });
  }
  for (int i = 0; i < kTimes; ++i) {
    // At any machine.
    Machine& machine = deployment.At(static_cast<size_t>(i) * 3 % deployment.Size());
    Socket socket = Connect(machine.Outbound(), machine.Ip());
    const std::string id = NewId();
    Record("client sends the crashing request as " + id);
    socket.WriteAll(CrashingRequest(id));
    Record("client gets for " + id + ": " + ReadAnswer(socket, {}, kDeadlineMs).Text());
    SleepMs(kBetweenMs);
  }
  stop = true;
  for (std::thread& client : clients) {
    client.join();
  }

  std::vector<Run> crashes;
  size_t lostOrders = 0;
  for (size_t i = 0; i < deployment.Size(); ++i) {
    for (const Run& run : deployment.At(i).Server().Runs()) {
      if (run.mTarget.find(kCrashing) != std::string::npos) {
        crashes.push_back(run);
      } else if (run.mEnded == 0 || run.mDropped) {
        ++lostOrders;
      }
    }
  }
  std::sort(crashes.begin(), crashes.end(),
            [](const Run& aLeft, const Run& aRight) { return aLeft.mStarted < aRight.mStarted; });
  std::set<std::string> late;
  for (const Run& run : crashes) {
    if (HasTrouble() && crashes.size() > 3 && run.mStarted > crashes[2].mStarted + kContactMs) {
      late.insert(run.mId);
    }
  }
  const std::string summary =
    "the request reached upstreams " + std::to_string(crashes.size()) + " times; " +
    std::to_string(late.size()) + " retries reached one later than " + std::to_string(kContactMs) +
    " ms after the third crash; " + std::to_string(served) + " orders were served, " +
    std::to_string(lostOrders) + " were running on an upstream that crashed";
  Record(summary);
  std::printf("%s\n", summary.c_str());
  if (crashes.empty() || served == 0) {
    throw std::runtime_error("no request was served");
  }
  return late.size() <= kAllowed;
}

} // namespace

int main(int aCount, char** aArguments)
{
  return RunCase(aCount, aArguments, Holds);
}
