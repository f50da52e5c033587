// Many clients of one machine keep their connections after an answer. Shows whether the node, which
// says that it is ready, still takes new connections.
#include "lab.h"

#include <sys/resource.h>

#include <algorithm>
#include <cstdio>

using namespace lab;

namespace {

// Fewer than the node may have: max-fds is 4,100, of which the platform keeps 200 for files.
constexpr size_t kKept = 2400;
constexpr size_t kNewClients = 10;
constexpr size_t kTryingClients = 7;
constexpr int64_t kContactMs = 3000;
constexpr int64_t kTryingMs = 6000;
constexpr int64_t kBetweenTriesMs = 500;
constexpr int kDeadlineMs = 5000;

const std::vector<Route> kRoutes = {
  { "browse", "catalogue.example", "/browse/", "idempotent", 5000, 1, "catalogue" },
  { "order", "orders.example", "/order/", "non_idempotent", 5000, 2, "orders" },
};

void AllowDescriptors()
{
  constexpr rlim_t kNeeded = 4500;
  rlimit limit{};
  getrlimit(RLIMIT_NOFILE, &limit);
  if (limit.rlim_max < kNeeded) {
    throw std::runtime_error("too few descriptors");
  }
  limit.rlim_cur = std::max(limit.rlim_cur, kNeeded);
  setrlimit(RLIMIT_NOFILE, &limit);
}

// Returns whether the request was answered, whatever the status.
bool Ask(Socket& aSocket, const Route& aRoute, const char* aMethod)
{
  const std::string id = NewId();
  aSocket.WriteAll(RequestText(aMethod, aRoute, "w1-s100", id, kDeadlineMs));
  const Answer answer = ReadAnswer(aSocket, {}, kDeadlineMs);
  Record("client gets for " + id + ": " + answer.Text());
  return answer.IsComplete();
}

struct Try
{
  int64_t mAt = 0;
  size_t mClient = 0;
  bool mTaken = false;
};

bool Holds()
{
  AllowDescriptors();
  Deployment deployment({ { "side-a-1", "catalogue", "a", "", 54, {} },
                          { "side-b-1", "catalogue", "b", "", 54, {} },
                          { "side-a-2", "orders", "a", "", 54, {} },
                          { "side-b-2", "orders", "b", "", 54, {} } },
                        kRoutes);
  deployment.WaitUntilReady(kRoutes);
  Machine& machine = deployment.At(0);

  std::vector<Socket> kept;
  size_t served = 0;
  for (size_t i = 0; i < kKept; ++i) {
    Socket socket = Connect(machine.Outbound(), machine.Ip());
    served += Ask(socket, kRoutes[0], "GET") ? 1 : 0;
    if (HasTrouble()) {
      kept.push_back(std::move(socket));
    }
  }
  Record(std::to_string(served) + " of " + std::to_string(kKept) + " clients were served; " +
         std::to_string(kept.size()) + " keep their connections");

  std::mutex mutex;
  std::vector<Try> tries;
  std::atomic<bool> isReady{ true };
  std::vector<std::thread> clients;
  const int64_t start = NowMs();
  for (size_t i = 0; i < kNewClients; ++i) {
    clients.emplace_back([&, i] {
      SleepMs(static_cast<int64_t>(i) * 50);
      while (NowMs() < start + kTryingMs) {
        const int64_t at = NowMs();
        Socket socket = Connect(machine.Outbound(), machine.Ip());
        const bool taken = socket.IsOpen() && Ask(socket, kRoutes[1], "POST");
        {
          const std::lock_guard lock(mutex);
          tries.push_back({ at, i, taken });
        }
        SleepMs(kBetweenTriesMs);
      }
    });
  }
  while (NowMs() < start + kTryingMs) {
    const bool ready = machine.IsReady();
    Record(ready ? "ready" : "not ready");
    isReady = isReady && ready;
    SleepMs(kBetweenTriesMs);
  }
  for (std::thread& client : clients) {
    client.join();
  }

  std::sort(tries.begin(), tries.end(),
            [](const Try& aLeft, const Try& aRight) { return aLeft.mAt < aRight.mAt; });
  size_t taken = 0;
  bool isBroken = false;
  int64_t since = start;
  std::set<size_t> trying;
  int64_t longest = 0;
  for (const Try& one : tries) {
    if (one.mTaken) {
      ++taken;
      since = one.mAt;
      trying.clear();
      continue;
    }
    trying.insert(one.mClient);
    longest = std::max(longest, one.mAt - since);
    isBroken = isBroken || (one.mAt - since >= kContactMs && trying.size() >= kTryingClients);
  }
  const std::string summary =
    std::to_string(kept.size()) + " kept connections; " + std::to_string(taken) + " of " +
    std::to_string(tries.size()) + " new connections taken, none for " + std::to_string(longest) +
    " ms; the node " + (isReady ? "said all the time that it was ready" : "was not always ready");
  Record(summary);
  std::printf("%s\n", summary.c_str());
  if (served == 0) {
    throw std::runtime_error("no request was served");
  }
  return !(isBroken && isReady);
}

} // namespace

int main(int aCount, char** aArguments)
{
  return RunCase(aCount, aArguments, Holds);
}
