// Measures cost and convergence of membership for several cluster sizes, in virtual time in one
// process.
// Usage: membership_bench [SEED [NODES...]]
//
// CPU time and memory include the virtual network, so they are upper bounds for the core.
#include "../tests/virtual_network.h"

#include <algorithm>
#include <cstdio>
#include <cstdlib>
#include <ctime>
#include <vector>

#include <malloc.h>

using namespace balsammount;
using namespace balsammount::testing;
using namespace std::chrono_literals;

namespace {

double Seconds(Duration aTime)
{
  return std::chrono::duration<double>(aTime).count();
}

double CpuSeconds()
{
  return static_cast<double>(std::clock()) / CLOCKS_PER_SEC;
}

size_t AllocatedBytes()
{
  const struct mallinfo2 info = mallinfo2();
  return info.uordblks + info.hblkhd;
}

struct Traffic
{
  double mBytesOut = 0; // per node and second
  double mBytesIn = 0;
  double mMessages = 0;   // in and out
  double mLargestOut = 0; // bytes per second of the node that sent the most
  double mCpuPercent = 0; // of one core, per node
};

// Measures the traffic while aRun runs.
template <class Run>
Traffic Measure(VirtualNetwork& aNet, Run aRun)
{
  for (size_t i = 0; i < aNet.Size(); ++i) {
    VirtualNode& node = aNet.Node(i);
    node.mBytesOut = node.mBytesIn = node.mMessagesOut = node.mMessagesIn = 0;
  }
  const SteadyTime start = aNet.Now();
  const double cpuSeconds = CpuSeconds();
  aRun();
  const double seconds = Seconds(aNet.Now() - start);
  const auto nodes = static_cast<double>(aNet.Size());
  Traffic traffic;
  for (size_t i = 0; i < aNet.Size(); ++i) {
    const VirtualNode& node = aNet.Node(i);
    const auto out = static_cast<double>(node.mBytesOut);
    traffic.mBytesOut += out / seconds / nodes;
    traffic.mBytesIn += static_cast<double>(node.mBytesIn) / seconds / nodes;
    traffic.mMessages +=
      static_cast<double>(node.mMessagesOut + node.mMessagesIn) / seconds / nodes;
    traffic.mLargestOut = std::max(traffic.mLargestOut, out / seconds);
  }
  traffic.mCpuPercent = 100 * (CpuSeconds() - cpuSeconds) / seconds / nodes;
  return traffic;
}

void Print(const char* aPhase, const Traffic& aTraffic)
{
  std::printf("  %-34s %7.0f B/s out %7.0f B/s in %6.1f msg/s %7.0f B/s max out %6.3f %% core\n",
              aPhase, aTraffic.mBytesOut, aTraffic.mBytesIn, aTraffic.mMessages,
              aTraffic.mLargestOut, aTraffic.mCpuPercent);
}

double TimeUntil(VirtualNetwork& aNet, Duration aLimit, const std::function<bool()>& aCondition)
{
  const SteadyTime start = aNet.Now();
  return aNet.RunUntil(aLimit, aCondition) ? Seconds(aNet.Now() - start) : -1;
}

bool AllKnowRevision(VirtualNetwork& aNet, uint64_t aRevision)
{
  for (size_t i = 0; i < aNet.Size(); ++i) {
    if (aNet.Node(i).mCore && aNet.Core(i).HighestRevision().mRevision != aRevision) {
      return false;
    }
  }
  return true;
}

bool AllMembersHaveRevision(VirtualNetwork& aNet, uint64_t aRevision)
{
  for (size_t i = 0; i < aNet.Size(); ++i) {
    const auto members = aNet.Core(i).Members();
    if (!std::all_of(members.begin(), members.end(),
                     [&](const MemberRecord& aRecord) { return aRecord.mRevision == aRevision; })) {
      return false;
    }
  }
  return true;
}

// Starts node aNode with three contacts.
void MeasureJoin(VirtualNetwork& aNet, size_t aNode)
{
  aNet.Start(aNode);
  const double joinTime =
    TimeUntil(aNet, 120s, [&] { return aNet.Core(aNode).Count() == aNode + 1; });
  const double all = TimeUntil(aNet, 120s, [&] { return aNet.AllCount(aNode + 1); });
  std::printf("  new node knows all                 %7.2f s, is known to all after %.2f s\n",
              joinTime, joinTime + all);
}

void MeasureAttributeUpdate(VirtualNetwork& aNet, size_t aNode)
{
  double slowest = 0;
  for (int round = 0; round < 5; ++round) {
    const bool available = round % 2 != 0;
    aNet.Core(aNode).UpdateSelf({ available, std::nullopt });
    aNet.Schedule(aNode);
    const double time = TimeUntil(aNet, 60s, [&] {
      return aNet.AllKnow(aNode, [&](const MemberRecord* aRecord) {
        return aRecord != nullptr && aRecord->mAvailable == available;
      });
    });
    slowest = time < 0 ? 60 : std::max(slowest, time);
    aNet.Run(10s);
  }
  std::printf("  attribute known to all             %7.2f s (slowest of 5)\n", slowest);
}

// Every node applies the revision 0.5 s after all have learned of it.
void MeasureRevision(VirtualNetwork& aNet)
{
  aNet.Core(0).UpdateSelf({ std::nullopt, 1 });
  aNet.Schedule(0);
  double known = 0;
  double counted = 0;
  const Traffic traffic = Measure(aNet, [&] {
    known = TimeUntil(aNet, 60s, [&] { return AllKnowRevision(aNet, 1); });
    aNet.Run(500ms);
    for (size_t i = 1; i < aNet.Size(); ++i) {
      aNet.Core(i).UpdateSelf({ std::nullopt, 1 });
      aNet.Schedule(i);
    }
    for (int second = 0; second < 300 && !AllMembersHaveRevision(aNet, 1); ++second) {
      aNet.Run(1s);
      counted = second + 1;
    }
  });
  std::printf("  revision known to all              %7.2f s, counted by all after %.0f s\n", known,
              counted);
  Print("while a revision is applied", traffic);
}

void MeasureFailureDetection(VirtualNetwork& aNet, size_t aNode)
{
  aNet.ClearEvents();
  const SteadyTime start = aNet.Now();
  aNet.Kill(aNode);
  const double all = TimeUntil(aNet, 120s, [&] {
    return aNet.AllKnow(aNode, [](const MemberRecord* aRecord) {
      return aRecord != nullptr && aRecord->mState == MemberState::Dead;
    });
  });
  double firstSuspect = 1e9;
  double lastSuspect = 0;
  double firstDead = 1e9;
  for (size_t i = 0; i < aNet.Size(); ++i) {
    for (const auto& [time, event] : aNet.Node(i).mEvents) {
      const double elapsed = Seconds(time - start);
      if (event.mKind == MemberEventKind::Suspect) {
        firstSuspect = std::min(firstSuspect, elapsed);
        lastSuspect = std::max(lastSuspect, elapsed);
      } else if (event.mKind == MemberEventKind::Dead) {
        firstDead = std::min(firstDead, elapsed);
      }
    }
  }
  std::printf(
    "  failure: first suspect %.2f s, last suspect %.2f s, first dead %.2f s, dead to all "
    "%.2f s\n",
    firstSuspect, lastSuspect, firstDead, all);
}

// Each region has half of the nodes.
void MeasurePartition(VirtualNetwork& aNet, size_t aDeadNodes)
{
  aNet.mFaults.mIsCut = [](size_t aFrom, size_t aTo) { return aFrom % 2 != aTo % 2; };
  Print("first 5 min of a partition", Measure(aNet, [&] { aNet.Run(5min); }));
  aNet.mFaults.mIsCut = nullptr;
  aNet.ClearEvents();
  double healed = 0;
  const Traffic traffic = Measure(aNet, [&] {
    healed = TimeUntil(aNet, 10min, [&] { return aNet.AllCount(aNet.Size() - aDeadNodes); });
  });
  std::printf("  healed after                       %7.2f s, dead events while healing %zu\n",
              healed, aNet.CountEvents(MemberEventKind::Dead));
  Print("while healing", traffic);
}

void MeasureCluster(uint64_t aSeed, size_t aNodes)
{
  const size_t before = AllocatedBytes();
  VirtualNetwork net(aSeed);
  double joined = 0;
  const Traffic joining = Measure(net, [&] {
    net.StartAll(aNodes);
    joined = TimeUntil(net, 300s, [&] { return net.AllCount(aNodes); });
  });
  std::printf("%zu nodes\n  all know all after                 %7.2f s from a common start\n",
              aNodes, joined);
  Print("while joining", joining);
  net.Run(120s);
  net.ClearEvents();
  Print("steady, no loss, 60 s", Measure(net, [&] { net.Run(60s); }));
  net.mFaults.mLoss = 0.05;
  Print("steady, 5 % loss, 60 s", Measure(net, [&] { net.Run(60s); }));
  net.mFaults.mLoss = 0;
  net.Run(30s);
  net.ClearEvents();
  std::printf("  memory                             %7.0f KB per node\n",
              static_cast<double>(AllocatedBytes() - before) / 1024 / static_cast<double>(aNodes));
  MeasureJoin(net, aNodes);
  MeasureAttributeUpdate(net, aNodes / 2);
  MeasureRevision(net);
  MeasureFailureDetection(net, aNodes);
  MeasurePartition(net, 1);
}

} // namespace

int main(int aCount, char** aArguments)
{
  const uint64_t seed = aCount > 1 ? std::strtoull(aArguments[1], nullptr, 10) : 1;
  std::vector<size_t> clusterSizes = { 16, 64, 200, 400, 1400 };
  if (aCount > 2) {
    clusterSizes.clear();
  }
  for (int i = 2; i < aCount; ++i) {
    clusterSizes.push_back(std::strtoull(aArguments[i], nullptr, 10));
  }
  std::setvbuf(stdout, nullptr, _IOLBF, BUFSIZ);
  std::printf("seed %llu, delay 1 to 6 ms\n", static_cast<unsigned long long>(seed));
  for (const size_t nodes : clusterSizes) {
    MeasureCluster(seed, nodes);
  }
  return 0;
}
