// A backend server is emptied and taken away while many users come at once, so that requests wait
// for it at its node.
#include "harness.h"

using namespace standin;

namespace {

constexpr int64_t kDrainMs = 2000;
// How long the server goes on serving after the acknowledgement.
constexpr int64_t kServeOnMs = kDrainMs + 1000;
constexpr int kServers = 4;
constexpr int kSlots = 18;
constexpr int kWorkMs = 1700;
constexpr int kDeadlineMs = 6000;
constexpr int kTimeoutMs = 6000;
constexpr int kGapMs = 33; // between two requests
constexpr double kBurst = 2.5;
constexpr int kBurstMs = 5700;
constexpr int kLeaveAfterMs = 4500; // from the begin of the burst

struct Sent
{
  std::string mId;
  int64_t mSentAt = 0;
  int mStatus = 0;
};

struct Run
{
  std::string mServer;
  int64_t mAt = 0;
};

} // namespace

int main(int aCount, char** aArguments)
{
  const Arguments arguments = ReadArguments(aCount, aArguments);
  Record record(arguments.mCase + "/record.txt");
  record.Line(std::string("trouble: ") + (arguments.mTrouble ? "1" : "0"));
  Deployment deployment(arguments.mRoot, arguments.mFolder, record);
  Machine& one = deployment.Add("one", "svc-a");
  for (int i = 0; i < kServers; ++i) {
    deployment.Add("b-" + std::to_string(i), "svc-b");
  }
  deployment.Kv().Put("op/config",
                      OperatorConfig(3,
                                     { { "r-1", "jepu9.example", "/puka111/", "non_idempotent",
                                         kTimeoutMs, 4000, 2, "svc-b" } },
                                     { "svc-a", "svc-b" }));

  std::mutex mutex;
  std::map<std::string, Run> runs;
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
      Sleep(kWorkMs);
      if (!aConnection.Write(FormatResponse(
            200, "answer to " + id, { { "Request-Id", id }, { "Server-Stamp", Stamp(id) } }))) {
        aConnection.Close();
      }
    };
  };
  for (const auto& machine : deployment.Machines()) {
    deployment.Start(*machine);
  }
  Sleep(300);
  std::vector<std::unique_ptr<Server>> servers;
  for (const auto& machine : deployment.Machines()) {
    const std::string id = "i-" + machine->mName;
    servers.push_back(
      std::make_unique<Server>(deployment, *machine, id, record, serveAs(id), kSlots));
  }
  if (!deployment.WaitReady(10000)) {
    record.Line("the nodes were not ready in time");
    return 2;
  }
  Sleep(4000);

  std::atomic<bool> stop = false;
  std::atomic<int> gap = kGapMs;
  std::vector<Sent> sent;
  std::vector<std::thread> clients;
  std::thread traffic([&] {
    auto next = Clock::now();
    while (!stop) {
      clients.emplace_back([&] {
        Sent request{ NewId(), record.Now(), 0 };
        const auto answer = Call(deployment.Outbound(one),
                                 { "POST",
                                   "/puka111/2f",
                                   0,
                                   { { "Host", "jepu9.example" },
                                     { "Request-Id", request.mId },
                                     { "Deadline-Ms", std::to_string(kDeadlineMs) } },
                                   "order" },
                                 kDeadlineMs + 500);
        request.mStatus = answer ? answer->mStatus : 0;
        record.Line("client: " + request.mId + " sent at " + std::to_string(request.mSentAt) +
                    " ms, status " + std::to_string(request.mStatus));
        const std::lock_guard lock(mutex);
        sent.push_back(request);
      });
      next += milliseconds(gap);
      std::this_thread::sleep_until(next);
    }
  });
  Sleep(8000);
  if (arguments.mTrouble) {
    gap = static_cast<int>(kGapMs / kBurst);
    record.Line("clients: a burst begins");
  }
  Sleep(kLeaveAfterMs);
  Server& leaving = *servers.back();
  leaving.StopBeats();
  const bool acknowledged = leaving.Post("heartbeat", leaving.BeatBody("draining"));
  const int64_t acknowledgedAt = record.Now();
  record.Line("server " + leaving.Id() + ": reported draining, " +
              (acknowledged ? "acknowledged" : "not acknowledged"));
  Sleep(kBurstMs - kLeaveAfterMs);
  gap = kGapMs;
  record.Line("clients: calm");
  Sleep(500);
  leaving.Post("heartbeat", leaving.BeatBody("draining"));
  Sleep(kServeOnMs - (kBurstMs - kLeaveAfterMs) - 500);
  leaving.Post("deregister", Json{ { "born", leaving.Born() } }.dump());
  leaving.End();
  record.Line("server " + leaving.Id() + ": deregistered and exited");
  Sleep(1500);
  stop = true;
  traffic.join();
  for (std::thread& client : clients) {
    client.join();
  }

  const std::lock_guard lock(mutex);
  int late = 0;
  int lost = 0;
  for (const Sent& request : sent) {
    const auto run = runs.find(request.mId);
    if (run != runs.end() && run->second.mServer == leaving.Id() &&
        run->second.mAt > acknowledgedAt + kDrainMs) {
      ++late;
      lost += request.mStatus == 200 ? 0 : 1;
      record.Line("late: " + request.mId + " sent " +
                  std::to_string(request.mSentAt - acknowledgedAt) + " ms, run " +
                  std::to_string(run->second.mAt - acknowledgedAt) +
                  " ms after the acknowledgement, status " + std::to_string(request.mStatus));
    }
  }
  std::map<int, int> statuses;
  for (const Sent& request : sent) {
    ++statuses[request.mStatus];
  }
  for (const auto& [status, count] : statuses) {
    record.Line("answers with status " + std::to_string(status) + ": " + std::to_string(count));
  }
  record.Line("DRAIN: requests that reached " + leaving.Id() +
              " later than drain-ms after the acknowledgement: " + std::to_string(late) +
              ", of these not answered with success: " + std::to_string(lost));
  deployment.StopAll();
  _exit(!acknowledged ? 2 : late > 0 ? 1 : statuses[200] > 0 ? 0 : 2);
}
