// A backend server crashes, starts again under its id, and is taken away while its first heartbeat is
// still on its way. Its node acknowledges the departure.
#include "harness.h"

using namespace standin;

namespace {

constexpr int64_t kDrainMs = 2000;
// How long the server goes on serving after the acknowledgement.
constexpr int64_t kServeOnMs = 5000;
// One of eight servers of a service crashes and leaves.
constexpr int kOthers = 7;
// How late the first heartbeat of the second start arrives.
constexpr int64_t kLateMs = 6500;

struct Sent
{
  std::string mId;
  int64_t mSentAt = 0;
  int mStatus = 0;
};

} // namespace

int main(int aCount, char** aArguments)
{
  const Arguments arguments = ReadArguments(aCount, aArguments);
  Record record(arguments.mCase + "/record.txt");
  record.Line(std::string("trouble: ") + (arguments.mTrouble ? "1" : "0"));
  Deployment deployment(arguments.mRoot, arguments.mFolder, record);
  Machine& one = deployment.Add("one", "svc-a");
  Machine& two = deployment.Add("two", "svc-b");
  for (int i = 0; i < kOthers; ++i) {
    deployment.Add("other-" + std::to_string(i), "svc-b");
  }
  deployment.Kv().Put("op/config",
                      OperatorConfig(3,
                                     { { "r-1", "jepu9.example", "/puka111/", "non_idempotent",
                                         1500, 500, 0, "svc-b" } },
                                     { "svc-a", "svc-b" }));

  std::mutex mutex;
  std::map<std::string, std::pair<std::string, int64_t>> runs; // by request: server, time
  const auto serveAs = [&](const std::string& aServer) {
    return [&, aServer](Connection& aConnection, const Message& aRequest) {
      Message body = aRequest;
      if (!aConnection.ReadBody(body)) {
        aConnection.Close();
        return;
      }
      const std::string id = aRequest.Find("Request-Id");
      {
        const std::lock_guard lock(mutex);
        runs[id] = { aServer, record.Now() };
      }
      record.Line("server " + aServer + ": runs " + id);
      Sleep(150);
      const std::string answer = "answer to " + id;
      if (!aConnection.Write(
            FormatResponse(200, answer, { { "Request-Id", id }, { "Server-Stamp", Stamp(id) } }))) {
        aConnection.Close();
      }
    };
  };
  for (const auto& machine : deployment.Machines()) {
    deployment.Start(*machine);
  }
  Sleep(300);
  Server a(deployment, one, "i-a1", record, serveAs("i-a1"));
  auto x = std::make_unique<Server>(deployment, two, "i-b1", record, serveAs("i-b1 (first start)"));
  std::vector<std::unique_ptr<Server>> others;
  for (const auto& machine : deployment.Machines()) {
    if (machine->mName.starts_with("other-")) {
      const std::string id = "i-" + machine->mName;
      others.push_back(std::make_unique<Server>(deployment, *machine, id, record, serveAs(id)));
    }
  }
  if (!deployment.WaitReady(10000)) {
    record.Line("the nodes were not ready in time");
    return 2;
  }
  Sleep(5000);

  std::atomic<bool> stop = false;
  std::vector<Sent> sent;
  std::vector<std::thread> clients;
  std::thread traffic([&] {
    while (!stop) {
      clients.emplace_back([&] {
        Sent request{ NewId(), record.Now(), 0 };
        const auto answer = Call(deployment.Outbound(one),
                                 { "POST",
                                   "/puka111/2f",
                                   0,
                                   { { "Host", "jepu9.example" },
                                     { "Request-Id", request.mId },
                                     { "Deadline-Ms", "2000" } },
                                   "lot" },
                                 2500);
        request.mStatus = answer ? answer->mStatus : 0;
        record.Line("client: " + request.mId + " sent at " + std::to_string(request.mSentAt) +
                    " ms, status " + std::to_string(request.mStatus));
        const std::lock_guard lock(mutex);
        sent.push_back(request);
      });
      Sleep(25);
    }
  });
  Sleep(2000);
  std::unique_ptr<Server> again;
  Server* leaving = x.get();
  if (arguments.mTrouble) {
    x->End();
    record.Line("server i-b1: crashed");
    Sleep(500);
    again = std::make_unique<Server>(deployment, two, "i-b1", record,
                                     serveAs("i-b1 (second start)"), 54, 1500);
    record.Line("server i-b1: started again, born " + std::to_string(again->Born()) +
                ", sent its first heartbeat");
    std::thread([&record, server = again.get(), body = again->BeatBody("ready")] {
      Sleep(kLateMs);
      server->Post("heartbeat", body);
      record.Line("server i-b1: its first heartbeat has arrived");
    }).detach();
    leaving = again.get();
    Sleep(700);
  }
  leaving->StopBeats();
  const bool acknowledged =
    leaving->Post("deregister", Json{ { "born", leaving->Born() } }.dump());
  const int64_t acknowledgedAt = record.Now();
  record.Line(std::string("server i-b1: sent deregister, ") +
              (acknowledged ? "acknowledged" : "not acknowledged"));
  Sleep(kServeOnMs);
  leaving->End();
  record.Line("server i-b1: exited");
  Sleep(1500);
  stop = true;
  traffic.join();
  for (std::thread& client : clients) {
    client.join();
  }

  const std::lock_guard lock(mutex);
  int late = 0;
  int cut = 0;
  for (const Sent& request : sent) {
    const auto run = runs.find(request.mId);
    if (run != runs.end() && run->second.first.starts_with("i-b1") &&
        run->second.second > acknowledgedAt + kDrainMs) {
      ++late;
      cut += request.mStatus == 200 ? 0 : 1;
    }
  }
  record.Line("requests sent: " + std::to_string(sent.size()));
  record.Line("DRAIN: requests that reached i-b1 later than drain-ms after the acknowledgement: " +
              std::to_string(late) + ", of these not answered with success: " +
              std::to_string(cut));
  deployment.StopAll();
  _exit(!acknowledged ? 2 : late > 0 ? 1 : 0);
}
