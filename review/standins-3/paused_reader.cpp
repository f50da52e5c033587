// Clients on kept connections pause while they read an answer. Shows whether the rest of the
// answer arrives.
#include "lab.h"

#include <cstdio>

using namespace lab;

namespace {

constexpr size_t kAnswerBytes = 400'000;
constexpr int64_t kPauseMs = 3800;
constexpr int kDeadlineMs = 6000;
constexpr int kClientsPerMachine = 3;
// The rule allows three connections.
constexpr size_t kAllowed = 3;

const std::vector<Route> kRoutes = {
  { "browse", "catalogue.example", "/browse/", "idempotent", 6000, 1, "catalogue" },
  { "order", "orders.example", "/order/", "non_idempotent", 6000, 2, "orders" },
};

struct Counts
{
  std::atomic<size_t> mWhole{ 0 };
  std::atomic<size_t> mLost{ 0 };
};

void PlaceOrder(Machine& aMachine, Counts& aCounts)
{
  // The buffers of the connection are those of loopback.
  Socket socket = Connect(aMachine.Outbound(), aMachine.Ip());
  socket.WriteAll(RequestText("POST", kRoutes[1], "w50-s100", NewId(), kDeadlineMs));
  if (!ReadAnswer(socket, {}, kDeadlineMs).IsComplete()) {
    return;
  }
  const std::string id = NewId();
  Record("client sends " + id + " on a kept connection");
  socket.WriteAll(RequestText("POST", kRoutes[1], "w50-s" + std::to_string(kAnswerBytes), id,
                              kDeadlineMs));
  const Answer answer = ReadAnswer(socket, { HasTrouble() ? kPauseMs : 0, 0 }, kDeadlineMs);
  Record("client gets for " + id + ": " + answer.Text());
  if (answer.IsComplete()) {
    aCounts.mWhole += answer.mStatus == 200 ? 1 : 0;
  } else if (answer.mEnd != "timeout") {
    ++aCounts.mLost;
  }
}

bool Holds()
{
  Deployment deployment({ { "side-a-1", "catalogue", "a", "", 54, {} },
                          { "side-b-1", "catalogue", "b", "", 54, {} },
                          { "side-a-2", "orders", "a", "", 54, {} },
                          { "side-b-2", "orders", "b", "", 54, {} } },
                        kRoutes);
  deployment.WaitUntilReady(kRoutes);
  Counts counts;
  std::vector<std::thread> clients;
  for (size_t i = 0; i < deployment.Size(); ++i) {
    for (int j = 0; j < kClientsPerMachine; ++j) {
      clients.emplace_back([&, i] { PlaceOrder(deployment.At(i), counts); });
    }
  }
  for (std::thread& client : clients) {
    client.join();
  }
  const std::string summary = std::to_string(counts.mWhole) + " answers arrived whole, " +
                              std::to_string(counts.mLost) +
                              " kept connections were closed within the answer";
  Record(summary);
  std::printf("%s\n", summary.c_str());
  if (counts.mWhole + counts.mLost == 0) {
    throw std::runtime_error("no request was served");
  }
  return counts.mLost <= kAllowed;
}

} // namespace

int main(int aCount, char** aArguments)
{
  return RunCase(aCount, aArguments, Holds);
}
