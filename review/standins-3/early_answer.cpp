// An upstream answers before it has read a long body, keeps the connection and reads on. Shows
// whether it gets the rest of the body.
#include "lab.h"

#include <cstdio>

using namespace lab;

namespace {

constexpr size_t kBodyBytes = 1'000'000;
constexpr int kDeadlineMs = 6000;
constexpr size_t kRequestsPerMachine = 4;

const std::vector<Route> kRoutes = {
  { "browse", "catalogue.example", "/browse/", "idempotent", 6000, 1, "catalogue" },
  { "order", "orders.example", "/order/", "non_idempotent", 6000, 2, "orders" },
};

struct Sent
{
  std::string mId;
  int mStatus = 0;
};

// Sends orders one after the other and returns what became of them.
std::vector<Sent> PlaceOrders(Machine& aMachine)
{
  std::vector<Sent> orders;
  for (size_t i = 0; i < kRequestsPerMachine; ++i) {
    const std::string id = NewId();
    Socket socket = Connect(aMachine.Outbound(), aMachine.Ip());
    Record("client sends " + id + " with " + std::to_string(kBodyBytes) + " bytes");
    socket.WriteAll(
      RequestText("POST", kRoutes[1], "w20-s2000", id, kDeadlineMs, BodyFor(id, kBodyBytes)));
    const Answer answer = ReadAnswer(socket, {}, kDeadlineMs);
    Record("client gets for " + id + ": " + answer.Text());
    orders.push_back({ id, answer.IsComplete() ? answer.mStatus : 0 });
  }
  return orders;
}

bool Holds()
{
  UpstreamOptions upstream;
  // A small window and an upstream that reads slowly, so that the rest of a body is still to be
  // written when the answer arrives.
  upstream.mReceiveBytes = 32'768;
  upstream.mSegmentBytes = 1460;
  upstream.mBodyBytesPerSecond = 400'000;
  upstream.mAnswersAfterBytes = HasTrouble() ? 16'384 : 0;
  Deployment deployment({ { "side-a-1", "catalogue", "a", "", 54, {} },
                          { "side-b-1", "catalogue", "b", "", 54, {} },
                          { "side-a-2", "orders", "a", "", 54, upstream },
                          { "side-b-2", "orders", "b", "", 54, upstream } },
                        kRoutes);
  deployment.WaitUntilReady(kRoutes);

  std::vector<std::vector<Sent>> sent(deployment.Size());
  std::vector<std::thread> clients;
  for (size_t i = 0; i < deployment.Size(); ++i) {
    clients.emplace_back([&, i] { sent[i] = PlaceOrders(deployment.At(i)); });
  }
  for (std::thread& client : clients) {
    client.join();
  }
  SleepMs(6000); // the upstreams read on

  std::map<std::string, Run> runs;
  for (size_t i = 0; i < deployment.Size(); ++i) {
    for (const Run& run : deployment.At(i).Server().Runs()) {
      runs[run.mId] = run;
    }
  }
  size_t served = 0;
  size_t cut = 0;
  for (const auto& orders : sent) {
    for (const Sent& order : orders) {
      if (order.mStatus != 200) {
        continue;
      }
      ++served;
      const Run& run = runs[order.mId];
      const bool isWhole = run.mBodyRead == kBodyBytes && run.mBodyIsIntact;
      cut += isWhole ? 0 : 1;
      Record("order " + order.mId + " was answered 200; its upstream got " +
             std::to_string(run.mBodyRead) + " of " + std::to_string(kBodyBytes) + " bytes");
    }
  }
  const std::string summary = std::to_string(served) + " orders answered 200, " +
                              std::to_string(cut) + " of them run with a cut or changed body";
  Record(summary);
  std::printf("%s\n", summary.c_str());
  if (served == 0) {
    throw std::runtime_error("no order was served");
  }
  return cut == 0;
}

} // namespace

int main(int aCount, char** aArguments)
{
  return RunCase(aCount, aArguments, Holds);
}
