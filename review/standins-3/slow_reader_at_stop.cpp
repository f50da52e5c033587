// Clients read long answers slowly while their machine gets SIGTERM. Shows whether the answers,
// which the upstreams have finished, still arrive as a whole within the grace time.
#include "lab.h"

#include <csignal>
#include <cstdio>

using namespace lab;

namespace {

constexpr size_t kAnswerBytes = 5'000'000;
// 3.3 s for an answer.
constexpr size_t kBytesPerSecond = 1'500'000;
constexpr int kDeadlineMs = 6000;
constexpr int kWorkMs = 50;
constexpr int kClients = 6;
constexpr int64_t kSentAfterStopMs = 900;
constexpr int64_t kGraceMs = 6000;

const std::vector<Route> kRoutes = {
  { "browse", "catalogue.example", "/browse/", "idempotent", 6000, 1, "catalogue" },
  { "order", "orders.example", "/order/", "non_idempotent", 6000, 2, "orders" },
};

struct Sent
{
  std::string mId;
  int64_t mAt = 0;
  int64_t mEnded = 0;
  Answer mAnswer;
};

std::string Work(size_t aBytes)
{
  return "w" + std::to_string(kWorkMs) + "-s" + std::to_string(aBytes);
}

bool Holds()
{
  Deployment deployment({ { "side-a-1", "catalogue", "a", "", 54, {} },
                          { "side-b-1", "catalogue", "b", "", 54, {} },
                          { "side-a-2", "orders", "a", "", 54, {} },
                          { "side-b-2", "orders", "b", "", 54, {} } },
                        kRoutes);
  deployment.WaitUntilReady(kRoutes);
  Machine& machine = deployment.At(0);

  // Each client has a connection that it has used before, with a small window on an ordinary link.
  std::vector<Socket> connections;
  for (int i = 0; i < kClients; ++i) {
    connections.push_back(Connect(machine.Outbound(), machine.Ip(), 32'768, 1460));
    connections.back().WriteAll(RequestText("POST", kRoutes[1], Work(100), NewId(), kDeadlineMs));
    if (!ReadAnswer(connections.back(), {}, kDeadlineMs).IsComplete()) {
      throw std::runtime_error("the first request of a client was not answered");
    }
  }
  const int64_t stopped = NowMs();
  if (HasTrouble()) {
    machine.Signal(SIGTERM);
    Record("SIGTERM to the node of the clients' machine");
  }
  SleepMs(kSentAfterStopMs);
  std::vector<Sent> sent(kClients);
  std::vector<std::thread> clients;
  for (int i = 0; i < kClients; ++i) {
    clients.emplace_back([&, i] {
      Sent& one = sent[i];
      one.mId = NewId();
      one.mAt = NowMs();
      Record("client sends " + one.mId);
      connections[i].WriteAll(
        RequestText("POST", kRoutes[1], Work(kAnswerBytes), one.mId, kDeadlineMs));
      one.mAnswer = ReadAnswer(connections[i], { 0, kBytesPerSecond }, kDeadlineMs);
      one.mEnded = NowMs();
      Record("client gets for " + one.mId + ": " + one.mAnswer.Text());
    });
  }
  bool hasExited = false;
  while (!hasExited && NowMs() < stopped + kGraceMs) {
    hasExited = machine.ExitStatus().has_value();
    SleepMs(5);
  }
  if (hasExited) {
    Record("the node has exited " + std::to_string(NowMs() - stopped) + " ms after the signal");
  }
  for (std::thread& client : clients) {
    client.join();
  }

  std::map<std::string, Run> runs;
  for (size_t i = 0; i < deployment.Size(); ++i) {
    for (const Run& run : deployment.At(i).Server().Runs()) {
      runs[run.mId] = run;
    }
  }
  size_t lost = 0;
  size_t whole = 0;
  for (const Sent& one : sent) {
    const auto run = runs.find(one.mId);
    // Not counted: requests that no upstream ran, whose upstream broke off or was at work in the
    // last sixth of the grace time, or whose deadline or time of the route had been reached.
    const bool counts = run != runs.end() && !run->second.mDropped && run->second.mEnded > 0 &&
                        run->second.mEnded < stopped + kGraceMs * 5 / 6 &&
                        one.mEnded < one.mAt + kDeadlineMs;
    const bool isWhole =
      one.mAnswer.IsComplete() && one.mAnswer.mBody == BodyFor(one.mId, one.mAnswer.mStatedBytes);
    whole += isWhole && one.mAnswer.mStatus == 200 ? 1 : 0;
    lost += counts && !one.mAnswer.IsComplete() ? 1 : 0;
  }
  const std::string summary = std::to_string(whole) + " of " + std::to_string(kClients) +
                              " answers arrived whole, " + std::to_string(lost) +
                              " connections ended within an answer that an upstream had finished";
  Record(summary);
  std::printf("%s\n", summary.c_str());
  if (whole + lost == 0) {
    throw std::runtime_error("no request was served");
  }
  return lost == 0;
}

} // namespace

int main(int aCount, char** aArguments)
{
  return RunCase(aCount, aArguments, Holds);
}
