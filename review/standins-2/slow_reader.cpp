// Clients read their answers slowly while the node that took their requests gets SIGTERM.
#include "harness.h"

using namespace standin;

namespace {

constexpr size_t kAnswerBytes = 5'000'000;
constexpr int kClients = 8;
constexpr int kDeadlineMs = 5000;
constexpr int kTimeoutMs = 5000;
// The time in which a client reads its answer.
constexpr int kReadMs = 4500;
constexpr size_t kStepBytes = 8 * 1024;

std::string AnswerTo(const std::string& aId)
{
  std::string body = "answer to " + aId + "\n";
  while (body.size() < kAnswerBytes) {
    body += aId;
  }
  body.resize(kAnswerBytes);
  return body;
}

struct Outcome
{
  bool mComplete = false;
  bool mOwnAnswer = false;
  size_t mBytes = 0;
  int mStatus = 0;
  int64_t mTookMs = 0;
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
  Machine& three = deployment.Add("three", "svc-b");
  deployment.Kv().Put("op/config",
                      OperatorConfig(3,
                                     { { "r-1", "hulo84.example", "/leny950/", "idempotent",
                                         kTimeoutMs, 1500, 1, "svc-b" } },
                                     { "svc-a", "svc-b" }));

  std::mutex mutex;
  std::map<std::string, int> runs;
  const auto run = [&](Connection& aConnection, const Message& aRequest) {
    const std::string id = aRequest.Find("Request-Id");
    {
      const std::lock_guard lock(mutex);
      ++runs[id];
    }
    record.Line("server: runs " + id + ", Deadline-Ms " + aRequest.Find("Deadline-Ms"));
    Sleep(20);
    const std::string body = AnswerTo(id);
    const bool sent = aConnection.Write(
      FormatResponse(200, body, { { "Request-Id", id }, { "Server-Stamp", Stamp(id) } }));
    record.Line("server: answered " + id + (sent ? ", whole answer handed over" : ", cut off"));
  };
  for (const auto& machine : deployment.Machines()) {
    deployment.Start(*machine);
  }
  Sleep(300);
  Server a(deployment, one, "i-a1", record, run);
  Server b(deployment, two, "i-b1", record, run);
  Server c(deployment, three, "i-b2", record, run);
  if (!deployment.WaitReady(10000)) {
    record.Line("the nodes were not ready in time");
    return 2;
  }
  Sleep(5000);

  std::vector<Outcome> outcomes(kClients);
  std::vector<std::thread> clients;
  for (int i = 0; i < kClients; ++i) {
    clients.emplace_back([&, i] {
      const std::string id = NewId();
      Outcome& outcome = outcomes[static_cast<size_t>(i)];
      // A segment of Ethernet's size and a small window, as on the links of the platform.
      const auto connection =
        Connect(deployment.Outbound(one), { 32 * 1024, 1460, kDeadlineMs });
      if (!connection) {
        return;
      }
      const auto start = Clock::now();
      connection->Write(FormatRequest({ "GET",
                                        "/leny950/2f",
                                        0,
                                        { { "Host", "hulo84.example" },
                                          { "Request-Id", id },
                                          { "Deadline-Ms", std::to_string(kDeadlineMs) } },
                                        {} }));
      record.Line("client " + std::to_string(i) + ": sent " + id);
      Message response;
      if (connection->ReadHead(response)) {
        outcome.mStatus = response.mStatus;
        outcome.mOwnAnswer =
          response.mStatus == 200 && response.Find("Server-Stamp") == Stamp(id);
        const size_t length = std::strtoull(response.Find("Content-Length").c_str(), nullptr, 10);
        while (connection->mBuffer.size() < length && connection->Fill(kStepBytes)) {
          const auto due = start + milliseconds(kReadMs * connection->mBuffer.size() / kAnswerBytes);
          std::this_thread::sleep_until(due);
        }
        outcome.mBytes = connection->mBuffer.size();
        outcome.mComplete = length == kAnswerBytes && connection->mBuffer == AnswerTo(id);
      }
      outcome.mTookMs =
        std::chrono::duration_cast<milliseconds>(Clock::now() - start).count();
      record.Line("client " + std::to_string(i) + ": " + id + " status " +
                  std::to_string(outcome.mStatus) + ", " + std::to_string(outcome.mBytes) + " of " +
                  std::to_string(kAnswerBytes) + " bytes after " + std::to_string(outcome.mTookMs) +
                  " ms, " +
                  (outcome.mComplete ? "complete"
                                     : "incomplete, error " + std::to_string(connection->mError)));
    });
  }
  Sleep(100);
  if (arguments.mTrouble) {
    deployment.Signal(one, SIGTERM);
    const auto status = deployment.Wait(one, 6000);
    if (!status) {
      deployment.Signal(one, SIGKILL);
      deployment.Wait(one, 1000);
    }
  }
  for (std::thread& client : clients) {
    client.join();
  }
  int lost = 0;
  int complete = 0;
  for (const Outcome& outcome : outcomes) {
    complete += outcome.mComplete ? 1 : 0;
    lost += outcome.mOwnAnswer && !outcome.mComplete && outcome.mTookMs < kDeadlineMs ? 1 : 0;
  }
  record.Line("complete answers: " + std::to_string(complete) + " of " + std::to_string(kClients));
  record.Line("LOST: answers cut before the deadline and the timeout: " + std::to_string(lost));
  deployment.StopAll();
  _exit(lost > 0 ? 1 : complete == kClients ? 0 : 2);
}
