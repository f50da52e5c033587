// A client sends a further idempotent request before the first one has been answered. The second one
// states Expect: 100-continue, and arrives while the answer to the first is being written.
#include "harness.h"

using namespace standin;

namespace {

constexpr int kClients = 4;
constexpr size_t kAnswerBytes = 4'000'000;
constexpr int kDeadlineMs = 5000;
constexpr size_t kReadBefore = 200'000;

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
  const auto run = [&](Connection& aConnection, const Message& aRequest) {
    Message body = aRequest;
    if (!aConnection.ReadBody(body)) {
      aConnection.Close();
      return;
    }
    const std::string id = aRequest.Find("Request-Id");
    record.Line("server: runs " + aRequest.mMethod + " " + id);
    Sleep(20);
    const std::string answer = aRequest.mMethod == "GET" ? AnswerTo(id) : "stored " + id;
    if (!aConnection.Write(
          FormatResponse(200, answer, { { "Request-Id", id }, { "Server-Stamp", Stamp(id) } }))) {
      aConnection.Close();
    }
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

  std::atomic<int> mixed = 0;
  std::atomic<int> whole = 0;
  std::vector<std::thread> clients;
  for (int i = 0; i < kClients; ++i) {
    clients.emplace_back([&, i] {
      const std::string name = "client " + std::to_string(i) + ": ";
      const std::string first = NewId();
      const std::string second = NewId();
      const auto connection = Connect(deployment.Outbound(one), { 32 * 1024, 1460, kDeadlineMs });
      if (!connection) {
        return;
      }
      const auto headers = [](const std::string& aId) {
        return "Host: hulo84.example\r\nRequest-Id: " + aId +
               "\r\nDeadline-Ms: " + std::to_string(kDeadlineMs) + "\r\n";
      };
      connection->Write("GET /leny950/2f HTTP/1.1\r\n" + headers(first) + "\r\n");
      record.Line(name + "sent GET " + first);
      Message answer;
      if (!connection->ReadHead(answer)) {
        return;
      }
      while (connection->mBuffer.size() < kReadBefore && connection->Fill(8 * 1024)) {
      }
      const std::string put = "PUT /leny950/30 HTTP/1.1\r\n" + headers(second) +
                              "Content-Length: 3\r\n" +
                              (arguments.mTrouble ? "Expect: 100-continue\r\n\r\n" : "\r\nlot");
      connection->Write(put);
      record.Line(name + "sent PUT " + second + (arguments.mTrouble ? " with Expect" : ""));
      Sleep(500);
      const size_t length = std::strtoull(answer.Find("Content-Length").c_str(), nullptr, 10);
      while (connection->mBuffer.size() < length && connection->Fill()) {
      }
      const std::string body = connection->mBuffer.substr(0, length);
      const std::string expected = AnswerTo(first);
      const bool isOwn = answer.mStatus == 200 && answer.Find("Server-Stamp") == Stamp(first);
      if (isOwn && body.size() == length && body != expected) {
        ++mixed;
        const auto at = static_cast<size_t>(
          std::mismatch(body.begin(), body.end(), expected.begin()).first - body.begin());
        record.Line(name + first + ": status 200 with the stamp, " + std::to_string(length) +
                    " bytes, but not the server's body: differs from byte " + std::to_string(at) +
                    ", which begins \"" + body.substr(at, 21) + "\"");
        return;
      }
      if (!isOwn || body != expected) {
        record.Line(name + first + ": status " + std::to_string(answer.mStatus) + ", " +
                    std::to_string(body.size()) + " bytes");
        return;
      }
      connection->mBuffer.erase(0, length);
      Message next;
      bool done = connection->ReadHead(next);
      if (done && next.mStatus == 100) {
        connection->Write("lot");
        next = {};
        done = connection->ReadHead(next);
      }
      done = done && connection->ReadBody(next) && next.mBody == "stored " + second;
      whole += done ? 1 : 0;
      record.Line(name + first + ": the server's body; " + second + ": status " +
                  std::to_string(next.mStatus));
    });
  }
  for (std::thread& client : clients) {
    client.join();
  }
  record.Line("whole pairs of answers: " + std::to_string(whole) + " of " +
              std::to_string(kClients));
  record.Line("MIXED: successes with a body that isn't the server's: " + std::to_string(mixed));
  deployment.StopAll();
  _exit(mixed > 0 ? 1 : whole == kClients ? 0 : 2);
}
