// Clients upload bodies within max-body-bytes, and at times many of them come at once. The platform
// kills a process that exceeds its memory, and starts it again.
#include "harness.h"

using namespace standin;

namespace {

constexpr int kMemoryMb = 260;
constexpr size_t kBodyBytes = 3'000'000;
constexpr int kWorkMs = 1500;
constexpr int kDeadlineMs = 5000;
constexpr int kEntries = 6;
constexpr int kGapMs = 375; // between two uploads that begin on one machine
constexpr double kBurst = 2.5;
constexpr int kBurstMs = 5700;
constexpr int kCalmMs = 4300;
constexpr int kBursts = 4;
constexpr int kMaxEnds = 3;

} // namespace

int main(int aCount, char** aArguments)
{
  const Arguments arguments = ReadArguments(aCount, aArguments);
  Record record(arguments.mCase + "/record.txt");
  record.Line(std::string("trouble: ") + (arguments.mTrouble ? "1" : "0"));
  Deployment deployment(arguments.mRoot, arguments.mFolder, record);
  for (int i = 0; i < kEntries; ++i) {
    deployment.Add("entry-" + std::to_string(i), "svc-a", kMemoryMb);
  }
  deployment.Add("two", "svc-b", kMemoryMb);
  deployment.Add("three", "svc-b", kMemoryMb);
  deployment.Kv().Put("op/config",
                      OperatorConfig(3,
                                     { { "r-1", "jepu9.example", "/puka111/", "non_idempotent",
                                         kDeadlineMs, 4000, 2, "svc-b" } },
                                     { "svc-a", "svc-b" }));
  std::atomic<int> ran = 0;
  const auto run = [&](Connection& aConnection, const Message& aRequest) {
    Message body = aRequest;
    if (!aConnection.ReadBody(body)) {
      aConnection.Close();
      return;
    }
    ++ran;
    body.mBody.clear();
    body.mBody.shrink_to_fit();
    const auto end = Clock::now() + milliseconds(kWorkMs);
    while (Clock::now() < end) {
      Sleep(10);
      if (aConnection.PeerHasClosed()) {
        aConnection.Close();
        return;
      }
    }
    const std::string id = aRequest.Find("Request-Id");
    if (!aConnection.Write(
          FormatResponse(200, "stored " + id, { { "Request-Id", id }, { "Server-Stamp", Stamp(id) } }))) {
      aConnection.Close();
    }
  };
  for (const auto& machine : deployment.Machines()) {
    deployment.Start(*machine);
  }
  Sleep(300);
  std::vector<std::unique_ptr<Server>> servers;
  for (const auto& machine : deployment.Machines()) {
    servers.push_back(std::make_unique<Server>(deployment, *machine, "i-" + machine->mName, record,
                                               run));
  }
  if (!deployment.WaitReady(10000)) {
    record.Line("the nodes were not ready in time");
    return 2;
  }
  Sleep(4000);

  // The platform's limit on memory.
  std::atomic<bool> stop = false;
  std::map<std::string, int> ends;
  std::map<std::string, int64_t> peaks;
  std::thread platform([&] {
    while (!stop) {
      for (const auto& machine : deployment.Machines()) {
        const int64_t memory = Deployment::Memory(*machine);
        peaks[machine->mName] = std::max(peaks[machine->mName], memory);
        if (memory <= int64_t{ kMemoryMb } * 1'000'000) {
          continue;
        }
        record.Line("platform: the node of " + machine->mName + " holds " +
                    std::to_string(memory / 1'000'000) + " MB of " + std::to_string(kMemoryMb));
        deployment.Signal(*machine, SIGKILL);
        deployment.Wait(*machine, 1000);
        ++ends[machine->mName];
        Sleep(300);
        deployment.Start(*machine);
      }
      Sleep(10);
    }
  });

  const std::string body(kBodyBytes, 'l');
  std::atomic<int> sent = 0;
  std::mutex mutex;
  std::map<int, int> statuses;
  std::vector<std::thread> senders;
  std::atomic<int> gap = kGapMs;
  std::atomic<bool> ended = false;
  for (int i = 0; i < kEntries; ++i) {
    senders.emplace_back([&, i] {
      const Endpoint outbound = deployment.Outbound(*deployment.Machines()[static_cast<size_t>(i)]);
      std::vector<std::thread> clients;
      Sleep(i * kGapMs / kEntries);
      while (!ended) {
        clients.emplace_back([&, outbound] {
          ++sent;
          const auto answer = Call(outbound,
                                   { "POST",
                                     "/puka111/2f",
                                     0,
                                     { { "Host", "jepu9.example" },
                                       { "Request-Id", NewId() },
                                       { "Deadline-Ms", std::to_string(kDeadlineMs) } },
                                     body },
                                   kDeadlineMs);
          const std::lock_guard lock(mutex);
          ++statuses[answer ? answer->mStatus : 0];
        });
        Sleep(gap);
      }
      for (std::thread& client : clients) {
        client.join();
      }
    });
  }
  for (int i = 0; i < kBursts; ++i) {
    Sleep(kCalmMs);
    if (arguments.mTrouble) {
      gap = static_cast<int>(kGapMs / kBurst);
      record.Line("clients: a burst begins");
    }
    Sleep(kBurstMs);
    gap = kGapMs;
    record.Line("clients: calm");
  }
  ended = true;
  for (std::thread& sender : senders) {
    sender.join();
  }
  stop = true;
  platform.join();
  for (const auto& [name, peak] : peaks) {
    record.Line("peak of " + name + ": " + std::to_string(peak / 1'000'000) + " MB, ends: " +
                std::to_string(ends[name]));
  }
  record.Line("uploads sent: " + std::to_string(sent) + ", run: " + std::to_string(ran));
  for (const auto& [status, count] : statuses) {
    record.Line("answers with status " + std::to_string(status) + (status == 0 ? " (none)" : "") +
                ": " + std::to_string(count));
  }
  const auto machines =
    std::count_if(ends.begin(), ends.end(), [](const auto& aOne) { return aOne.second >= kMaxEnds; });
  record.Line("Fault: machines whose process ended by itself " + std::to_string(kMaxEnds) +
              " times or more: " + std::to_string(machines));
  deployment.StopAll();
  _exit(machines >= 2 ? 1 : statuses[200] > 0 ? 0 : 2);
}
