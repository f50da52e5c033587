// The store gives no response for a few seconds. Later, when all machines are in touch again, the
// operator moves a route to another service.

#include "standins.h"

using namespace review;

namespace {

// platform_down "silent" of the site. The nodes renew their watch calls 28 s after their start.
constexpr double kSilentFrom = 26;
constexpr double kSilentSeconds = 4.5;
constexpr int kConvergeMs = 2000;
constexpr int kDeadlineMs = 2000;
constexpr int kClientsPerNode = 4;

struct Ledger
{
  std::mutex mMutex;
  std::map<std::string, double> mSent;       // by request id
  std::map<std::string, std::string> mRanOn; // service by request id
  std::map<std::string, std::string> mEntry; // node by request id
};

} // namespace

int main(int aCount, char** aArguments)
{
  BeginCase(aCount, aArguments);
  Ledger ledger;
  Store store;
  std::vector<std::unique_ptr<Node>> nodes;
  std::vector<std::unique_ptr<Server>> servers;
  for (const char* service : { "shop", "orders", "catalogue" }) {
    for (const char* zone : { "daejeon-a", "daejeon-b" }) {
      nodes.push_back(std::make_unique<Node>(std::string("node-") + service + "-" + zone, service,
                                             zone, store.Port()));
    }
  }
  const std::vector<std::string> services = { "shop", "orders", "catalogue" };
  std::vector<Route> routes = {
    { "place-order", "orders.example", "/orders/", false, 2000, "orders" },
  };
  store.Put("op/config", MakeConfig(3, routes, services));
  for (const auto& node : nodes) {
    servers.push_back(std::make_unique<Server>(
      *node, "i-" + node->Name(), 54,
      [&ledger, service = node->Service()](Server&, Connection& aConnection, Message& aRequest) {
        const std::string id = aRequest.Header("Request-Id");
        {
          const std::lock_guard lock(ledger.mMutex);
          ledger.mRanOn[id] = service;
        }
        SleepFor(0.02);
        const std::string body = "done " + id;
        return aConnection.Send(MakeResponse(200, body, AnswerHeaders(aRequest, body)));
      }));
    node->Start();
    servers.back()->StartHeartbeats();
  }
  for (const auto& node : nodes) {
    node->WaitUntilReady();
  }
  SleepUntil(20);
  std::atomic<bool> running{ true };
  std::vector<std::thread> clients;
  for (int i = 0; i < kClientsPerNode * static_cast<int>(nodes.size()); ++i) {
    clients.emplace_back([&, &node = *nodes[static_cast<size_t>(i) % nodes.size()]] {
      while (running) {
        const std::string id = NewId();
        {
          const std::lock_guard lock(ledger.mMutex);
          ledger.mSent[id] = Now();
          ledger.mEntry[id] = node.Name();
        }
        Call(node.OutboundPort(), "POST", "orders.example", "/orders/new", id, kDeadlineMs, id);
        SleepFor(0.05);
      }
    });
  }
  SleepUntil(kSilentFrom);
  if (WithTrouble()) {
    store.SetSilent(true);
    Record("the store gives no response from now on");
  }
  SleepFor(kSilentSeconds);
  if (WithTrouble()) {
    store.SetSilent(false);
    Record("the store answers again");
  }
  // The core has been stable for contact-ms.
  SleepFor(kContactMs / 1000.0 + 2);
  routes.front().mService = "catalogue";
  store.Put("op/config", MakeConfig(7, routes, services));
  const double acknowledged = Now();
  Record("version 7 is acknowledged: place-order moves from orders to catalogue");
  SleepFor(26);
  running = false;
  for (std::thread& client : clients) {
    client.join();
  }

  const std::lock_guard lock(ledger.mMutex);
  const double bound = acknowledged + kConvergeMs / 1000.0;
  std::map<std::string, int> broken;
  double last = 0;
  int total = 0;
  int current = 0;
  for (const auto& [id, service] : ledger.mRanOn) {
    const double sent = ledger.mSent[id];
    if (sent <= bound) {
      continue;
    }
    if (service == "orders") {
      ++total;
      ++broken[ledger.mEntry[id]];
      last = std::max(last, sent);
    } else {
      ++current;
    }
  }
  for (const auto& [node, number] : broken) {
    Record("requests of " + node +
           " that orders runs later than converge-ms after version 7: " + std::to_string(number));
  }
  Record("requests sent later than converge-ms after version 7: run by catalogue " +
         std::to_string(current) + ", by orders " + std::to_string(total));
  if (total > 0) {
    Finish(kRuleBroken, "broken: version 7 was not in force for " +
                          std::to_string(last - acknowledged) + " s after its acknowledgement");
  }
  if (current < 100) {
    Finish(kCouldNotRun, "too few requests were served");
  }
  Finish(kRuleHeld, "held");
}
