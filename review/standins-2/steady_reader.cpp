// Clients send further idempotent requests before the first one has been answered, and read the
// answers slowly, at a steady rate. Nothing else happens.
#include "harness.h"

using namespace standin;

namespace {

constexpr int kClients = 8;
constexpr int kRequests = 12;
constexpr size_t kAnswerBytes = 36'000;
constexpr int kDeadlineMs = 6000;
// The time in which a client reads all its answers.
constexpr int kReadMs = 4800;
constexpr size_t kFirstBytes = 65536;
constexpr size_t kStepBytes = 8192;

std::string AnswerTo(const std::string& aId)
{
  std::string body = "answer to " + aId + "\n";
  while (body.size() < kAnswerBytes) {
    body += aId;
  }
  body.resize(kAnswerBytes);
  return body;
}

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
                                         kDeadlineMs, 1500, 1, "svc-b" } },
                                     { "svc-a", "svc-b" }));
  std::mutex mutex;
  std::map<std::string, bool> answered; // by request: the server has handed over its whole answer
  const auto run = [&](Connection& aConnection, const Message& aRequest) {
    const std::string id = aRequest.Find("Request-Id");
    record.Line("server: runs " + id + ", Deadline-Ms " + aRequest.Find("Deadline-Ms"));
    Sleep(20);
    const bool sent = aConnection.Write(FormatResponse(
      200, AnswerTo(id), { { "Request-Id", id }, { "Server-Stamp", Stamp(id) } }));
    const std::lock_guard lock(mutex);
    answered[id] = sent;
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
  Sleep(4000);

  std::atomic<int> complete = 0;
  std::atomic<int> unanswered = 0;
  std::vector<std::thread> clients;
  for (int i = 0; i < kClients; ++i) {
    clients.emplace_back([&, i] {
      const std::string name = "client " + std::to_string(i) + ": ";
      // A segment of Ethernet's size and a small window, as on the links of the platform.
      const auto connection = Connect(deployment.Outbound(one), { 32 * 1024, 1460, kDeadlineMs });
      if (!connection) {
        return;
      }
      const auto start = Clock::now();
      const auto elapsed = [&] {
        return std::chrono::duration_cast<milliseconds>(Clock::now() - start).count();
      };
      std::vector<std::string> ids;
      for (int n = 0; n < kRequests; ++n) {
        ids.push_back(NewId());
        connection->Write("GET /leny950/2f HTTP/1.1\r\nHost: hulo84.example\r\nRequest-Id: " +
                          ids.back() + "\r\nDeadline-Ms: " + std::to_string(kDeadlineMs) +
                          "\r\n\r\n");
        record.Line(name + "sent " + ids.back());
      }
      size_t read = 0;
      bool open = true;
      const auto fill = [&] {
        if (arguments.mTrouble) {
          std::this_thread::sleep_until(
            start + milliseconds(kReadMs * read / (kRequests * kAnswerBytes)));
        }
        const size_t before = connection->mBuffer.size();
        const bool filled = connection->Fill(read == 0 ? kFirstBytes : kStepBytes);
        read += connection->mBuffer.size() - before;
        return filled;
      };
      for (int n = 0; n < kRequests; ++n) {
        const std::string& id = ids[static_cast<size_t>(n)];
        while (open && connection->mBuffer.find("\r\n\r\n") == std::string::npos) {
          open = fill();
        }
        const bool begun = !connection->mBuffer.empty();
        Message answer;
        bool whole = open && connection->ReadHead(answer) && answer.mStatus == 200;
        while (open && connection->mBuffer.size() < kAnswerBytes) {
          open = fill();
        }
        whole = whole && connection->mBuffer.size() >= kAnswerBytes &&
                connection->mBuffer.substr(0, kAnswerBytes) == AnswerTo(id);
        connection->mBuffer.erase(0, std::min(kAnswerBytes, connection->mBuffer.size()));
        const int64_t took = elapsed();
        record.Line(name + id + ": " +
                    (whole   ? "complete"
                     : begun ? "cut off, error " + std::to_string(connection->mError)
                             : "no answer") +
                    " after " + std::to_string(took) + " ms, " + std::to_string(read) +
                    " bytes read in all");
        const std::lock_guard lock(mutex);
        complete += whole ? 1 : 0;
        unanswered += !whole && !begun && answered[id] && took < kDeadlineMs ? 1 : 0;
      }
    });
  }
  for (std::thread& client : clients) {
    client.join();
  }
  record.Line("complete answers: " + std::to_string(complete) + " of " +
              std::to_string(kClients * kRequests));
  record.Line("LOST: requests that their server has answered, and whose connection was closed "
              "without an answer before the deadline: " +
              std::to_string(unanswered));
  deployment.StopAll();
  _exit(unanswered > 3 ? 1 : complete == kClients * kRequests ? 0 : 2);
}
