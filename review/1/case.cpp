// A backend server refuses requests as not executed, and sends some of its answers a second time,
// late, where the answer to the next request on that connection is expected.

#include "standins.h"

#include <random>

using namespace review;

namespace {

// The site's dose of garble "extra late" for the share of spoiled answers, three times its 5 s. The
// share of shed requests is below the 0.45 of srv_grey "shed".
constexpr double kSpoiledShare = 0.03;
constexpr double kShedShare = 0.2;
constexpr double kTrafficSeconds = 15;
constexpr int kClients = 60;
constexpr int kDeadlineMs = 5000;
constexpr int kServiceMs = 20;

struct Ledger
{
  std::mutex mMutex;
  std::map<std::string, std::vector<std::string>> mRuns; // servers by request id
  std::map<std::string, int> mAnswers;                   // status by request id; 0: none
  int mCopies = 0;
};

bool Chance(double aShare)
{
  thread_local std::mt19937_64 sEngine{ std::random_device{}() };
  return std::uniform_real_distribution<double>(0, 1)(sEngine) < aShare;
}

// Answers the requests of one connection. A faulty server keeps a copy of some answers and sends it
// when the next request has arrived.
bool Handle(Ledger& aLedger, bool aIsFaulty, Server& aServer, Connection& aConnection,
            Message& aRequest)
{
  thread_local std::string sLateCopy;
  const std::string id = aRequest.Header("Request-Id");
  if (!sLateCopy.empty()) {
    Record("server " + aServer.Id() + " sends a second copy of its earlier answer after request " +
           id + " has arrived");
    const std::string copy = std::exchange(sLateCopy, {});
    if (!aConnection.Send(copy)) {
      return false;
    }
  }
  std::string answer;
  if (aIsFaulty && Chance(kShedShare)) {
    answer = MakeResponse(
      503, "", { { "Request-Id", id }, { "Not-Executed", "1" }, { "Keep-Alive", "timeout=10" } });
  } else {
    {
      const std::lock_guard lock(aLedger.mMutex);
      aLedger.mRuns[id].push_back(aServer.Id());
    }
    SleepFor(kServiceMs / 1000.0);
    const std::string body = "done " + id;
    answer = MakeResponse(200, body, AnswerHeaders(aRequest, body));
  }
  if (aIsFaulty && Chance(kSpoiledShare)) {
    sLateCopy = answer;
    const std::lock_guard lock(aLedger.mMutex);
    ++aLedger.mCopies;
  }
  return aConnection.Send(answer);
}

} // namespace

int main(int aCount, char** aArguments)
{
  BeginCase(aCount, aArguments);
  Ledger ledger;
  Store store;
  Node shop("node-shop", "shop", "daejeon-a", store.Port());
  Node first("node-orders-1", "orders", "daejeon-a", store.Port());
  Node second("node-orders-2", "orders", "daejeon-b", store.Port());
  store.Put("op/config",
            MakeConfig(3,
                       { { "place-order", "orders.example", "/orders/", false, 5000, "orders" } },
                       { "shop", "orders" }));
  const auto handler = [&ledger](bool aIsFaulty) {
    return [&ledger, aIsFaulty](Server& aServer, Connection& aConnection, Message& aRequest) {
      return Handle(ledger, aIsFaulty, aServer, aConnection, aRequest);
    };
  };
  Server shopServer(shop, "i-shop", 54, handler(false));
  Server firstServer(first, "i-orders-1", 54, handler(WithTrouble()));
  Server secondServer(second, "i-orders-2", 54, handler(false));
  for (Node* node : { &shop, &first, &second }) {
    node->Start();
  }
  for (Server* server : { &shopServer, &firstServer, &secondServer }) {
    server->StartHeartbeats();
  }
  for (Node* node : { &shop, &first, &second }) {
    node->WaitUntilReady();
  }
  SleepFor(4);

  Record("clients start");
  std::vector<std::thread> clients;
  const double end = Now() + kTrafficSeconds;
  for (int i = 0; i < kClients; ++i) {
    clients.emplace_back([&] {
      while (Now() < end) {
        const std::string id = NewId();
        const auto answer =
          Call(shop.OutboundPort(), "POST", "orders.example", "/orders/new", id, kDeadlineMs, id);
        {
          const std::lock_guard lock(ledger.mMutex);
          ledger.mAnswers[id] = answer ? answer->Status() : 0;
        }
        SleepFor(0.05);
      }
    });
  }
  for (std::thread& client : clients) {
    client.join();
  }
  SleepFor(1);

  const std::lock_guard lock(ledger.mMutex);
  std::map<int, int> statuses;
  size_t twice = 0;
  size_t refused = 0;
  for (const auto& [id, status] : ledger.mAnswers) {
    ++statuses[status];
    const auto runs = ledger.mRuns.find(id);
    const size_t count = runs == ledger.mRuns.end() ? 0 : runs->second.size();
    std::string where;
    for (size_t i = 0; i < count; ++i) {
      where += " " + runs->second[i];
    }
    if (count > 1) {
      ++twice;
      Record("TWICE: request " + id + " ran on" + where + "; answered " + std::to_string(status));
    }
    if (count > 0 && (status == 429 || status == 503 || status == 408 || status == 421)) {
      ++refused;
      Record("REFUSED: request " + id + " ran on" + where + "; answered " + std::to_string(status));
    }
  }
  for (const auto& [status, number] : statuses) {
    Record("answered " + std::to_string(status) + ": " + std::to_string(number));
  }
  Record("runs of " + std::to_string(ledger.mRuns.size()) +
         " requests; late second copies: " + std::to_string(ledger.mCopies));
  if (statuses[200] < 100) {
    Finish(kCouldNotRun, "too few requests were served");
  }
  if (twice + refused > 0) {
    Finish(kRuleBroken, "broken: " + std::to_string(twice) + " ran twice, " +
                          std::to_string(refused) + " were refused although they had run");
  }
  Finish(kRuleHeld, "held");
}
