// The store answers nothing for a fraction of a second after a change of the configuration. The next
// change comes when the store has been back for seconds.
#include "harness.h"

using namespace standin;

namespace {

constexpr int64_t kConvergeMs = 2000;
constexpr int64_t kOutageAfterMs = 50;
constexpr int64_t kOutageMs = 200;
constexpr int64_t kNextChangeMs = 6000;
constexpr int64_t kWatchMs = 6000; // after the change
constexpr int64_t kRenewedMs = 1700;
constexpr int kRounds = 4;

} // namespace

int main(int aCount, char** aArguments)
{
  const Arguments arguments = ReadArguments(aCount, aArguments);
  Record record(arguments.mCase + "/record.txt");
  record.Line(std::string("trouble: ") + (arguments.mTrouble ? "1" : "0"));
  Deployment deployment(arguments.mRoot, arguments.mFolder, record);
  Machine& one = deployment.Add("one", "svc-a");
  deployment.Add("two", "svc-b");
  deployment.Add("three", "svc-c");
  int version = 3;
  std::string target = "svc-b";
  const auto change = [&] {
    ++version;
    target = target == "svc-b" ? "svc-c" : "svc-b";
    deployment.Kv().Put("op/config",
                        OperatorConfig(version,
                                       { { "r-1", "hulo84.example", "/leny950/", "idempotent", 1200,
                                           1500, 1, target } },
                                       { "svc-a", "svc-b", "svc-c" }));
    record.Line("operator: version " + std::to_string(version) + " sends the route to " + target +
                ", acknowledged");
  };
  change();

  std::mutex mutex;
  std::map<std::string, std::string> runs; // by request: service
  const auto serveAs = [&](const std::string& aService) {
    return [&, aService](Connection& aConnection, const Message& aRequest) {
      const std::string id = aRequest.Find("Request-Id");
      {
        const std::lock_guard lock(mutex);
        runs[id] = aService;
      }
      Sleep(20);
      aConnection.Write(
        FormatResponse(200, "answer", { { "Request-Id", id }, { "Server-Stamp", Stamp(id) } }));
    };
  };
  for (const auto& machine : deployment.Machines()) {
    deployment.Start(*machine);
  }
  Sleep(300);
  std::vector<std::unique_ptr<Server>> servers;
  for (const auto& machine : deployment.Machines()) {
    servers.push_back(std::make_unique<Server>(deployment, *machine, "i-" + machine->mName, record,
                                               serveAs(machine->mService)));
  }
  if (!deployment.WaitReady(10000)) {
    record.Line("the nodes were not ready in time");
    return 2;
  }
  Sleep(5000);

  int old = 0;
  int current = 0;
  for (int round = 0; round < kRounds && old == 0; ++round) {
    // The outage meets no renewal of a lease: nodes renew theirs every 2.25 s or more.
    for (int i = 0; i < 1000 && deployment.Kv().OldestRenewal() > kRenewedMs; ++i) {
      Sleep(10);
    }
    change();
    if (arguments.mTrouble) {
      Sleep(kOutageAfterMs);
      record.Line("store: answers nothing for " + std::to_string(kOutageMs) + " ms");
      deployment.Kv().SetSilent(kOutageMs);
      Sleep(kNextChangeMs - kOutageAfterMs);
    } else {
      Sleep(kNextChangeMs);
    }
    change();
    const int64_t acknowledged = record.Now();
    int64_t last = 0;
    while (record.Now() < acknowledged + kWatchMs) {
      const std::string id = NewId();
      const int64_t sentAt = record.Now();
      const auto answer = Call(deployment.Outbound(one), { "GET",
                                                           "/leny950/2f",
                                                           0,
                                                           { { "Host", "hulo84.example" },
                                                             { "Request-Id", id },
                                                             { "Deadline-Ms", "1500" } },
                                                           {} },
                               1500);
      std::string by;
      {
        const std::lock_guard lock(mutex);
        by = runs[id];
      }
      const bool late = sentAt > acknowledged + kConvergeMs;
      if (late && !by.empty()) {
        ++(by == target ? current : old);
      }
      record.Line("client: " + id + " sent " + std::to_string(sentAt - acknowledged) +
                  " ms after the acknowledgement, status " +
                  std::to_string(answer ? answer->mStatus : 0) + ", run by " + by);
      last = by == target ? last : sentAt - acknowledged;
      Sleep(100);
    }
    record.Line("the old service ran requests until " + std::to_string(last) +
                " ms after the acknowledgement");
  }
  record.Line("requests sent later than converge-ms after the acknowledgement, run by the new "
              "service: " +
              std::to_string(current));
  record.Line("CONFIG: the same, run by the service of an older version: " + std::to_string(old));
  deployment.StopAll();
  _exit(old > 0 ? 1 : current > 0 ? 0 : 2);
}
