// Simulates a cluster of membership cores in virtual time, with loss, delay, duplicates, failed
// links and paused nodes.
#pragma once

#include "balsammount/membership.h"

#include <algorithm>
#include <functional>
#include <map>
#include <memory>
#include <queue>
#include <string>
#include <tuple>
#include <utility>

namespace balsammount::testing {

struct NetworkFaults
{
  double mLoss = 0;
  double mDuplicates = 0;
  Duration mMinDelay = std::chrono::milliseconds(1);
  Duration mMaxDelay = std::chrono::milliseconds(6);
  std::function<bool(size_t, size_t)> mIsCut; // from, to
};

struct VirtualNode
{
  std::unique_ptr<Random> mRandom;
  std::unique_ptr<Membership> mCore; // null when killed
  bool mPaused = false;
  std::vector<std::pair<Endpoint, std::vector<uint8_t>>> mInbox; // while paused
  std::vector<std::pair<SteadyTime, MemberEvent>> mEvents;
  uint64_t mBytesOut = 0;
  uint64_t mBytesIn = 0;
  uint64_t mMessagesOut = 0;
  uint64_t mMessagesIn = 0;
};

class VirtualNetwork
{
public:
  explicit VirtualNetwork(uint64_t aSeed, MembershipSettings aSettings = {})
    : mSettings(std::move(aSettings))
    , mRandom(aSeed)
  {
  }

  static std::string IdOf(size_t aNode) { return "node-" + std::to_string(aNode); }
  static Endpoint EndpointOf(size_t aNode)
  {
    return { "10.0." + std::to_string(aNode / 250) + "." + std::to_string(aNode % 250 + 1), 7000 };
  }
  static MemberRecord RecordOf(size_t aNode)
  {
    MemberRecord record;
    record.mId = IdOf(aNode);
    record.mPeer = EndpointOf(aNode);
    record.mDataCentre = "dc-" + std::to_string(aNode % 4);
    record.mService = "service-" + std::to_string(aNode % 39);
    record.mAvailable = true;
    return record;
  }

  // Starts or restarts node aNode with the first three nodes as contacts.
  void Start(size_t aNode)
  {
    if (mNodes.size() <= aNode) {
      mNodes.resize(aNode + 1);
    }
    VirtualNode& node = mNodes[aNode];
    node.mRandom = std::make_unique<Random>(mRandom.Next());
    node.mCore = std::make_unique<Membership>(mClock, *node.mRandom, mSettings, RecordOf(aNode));
    node.mCore->Join({ EndpointOf(0), EndpointOf(1), EndpointOf(2) });
    mIndexes[EndpointOf(aNode)] = aNode;
    Schedule(aNode);
  }

  void StartAll(size_t aCount)
  {
    for (size_t i = 0; i < aCount; ++i) {
      Start(i);
    }
  }

  void Kill(size_t aNode) { mNodes[aNode].mCore.reset(); }
  void Pause(size_t aNode) { mNodes[aNode].mPaused = true; }

  void Resume(size_t aNode)
  {
    VirtualNode& node = mNodes[aNode];
    node.mPaused = false;
    for (const auto& [from, bytes] : std::exchange(node.mInbox, {})) {
      Deliver(from, aNode, bytes);
    }
    Schedule(aNode);
  }

  Membership& Core(size_t aNode) { return *mNodes[aNode].mCore; }
  VirtualNode& Node(size_t aNode) { return mNodes[aNode]; }
  size_t Size() const { return mNodes.size(); }
  SteadyTime Now() const { return mClock.Now(); }

  // Must be called after a test has changed a core.
  void Schedule(size_t aNode)
  {
    const SteadyTime wake = std::max(mNodes[aNode].mCore->NextWake(), mClock.Now());
    mQueue.push({ wake, ++mOrder, Event::kTick, aNode, {}, {} });
  }

  void Run(Duration aFor)
  {
    RunUntil(aFor, [] { return false; });
  }

  // Returns false if the condition did not hold within aLimit. Checks it every 10 ms.
  bool RunUntil(Duration aLimit, const std::function<bool()>& aCondition)
  {
    const SteadyTime end = mClock.Now() + aLimit;
    while (mClock.Now() < end) {
      if (aCondition()) {
        return true;
      }
      RunStep(std::min(end, mClock.Now() + std::chrono::milliseconds(10)));
    }
    return aCondition();
  }

  // Whether aPredicate holds for the record of aNode on every other running node.
  bool AllKnow(size_t aNode, const std::function<bool(const MemberRecord*)>& aPredicate) const
  {
    for (size_t i = 0; i < mNodes.size(); ++i) {
      if (i != aNode && mNodes[i].mCore && !aPredicate(mNodes[i].mCore->Find(IdOf(aNode)))) {
        return false;
      }
    }
    return true;
  }

  bool AllCount(size_t aCount) const
  {
    return std::all_of(mNodes.begin(), mNodes.end(), [&](const VirtualNode& aNode) {
      return !aNode.mCore || aNode.mCore->Count() == aCount;
    });
  }

  size_t CountEvents(MemberEventKind aKind) const
  {
    size_t count = 0;
    for (const VirtualNode& node : mNodes) {
      for (const auto& [time, event] : node.mEvents) {
        count += event.mKind == aKind ? 1 : 0;
      }
    }
    return count;
  }

  void ClearEvents()
  {
    for (VirtualNode& node : mNodes) {
      node.mEvents.clear();
    }
  }

  NetworkFaults mFaults;
  size_t mLargestDatagram = 0; // bytes

private:
  struct Event
  {
    static constexpr size_t kTick = SIZE_MAX;

    SteadyTime mAt;
    uint64_t mOrder = 0;
    size_t mFrom = 0; // kTick for a timer
    size_t mTo = 0;
    Endpoint mSender;
    std::vector<uint8_t> mBytes;

    bool operator<(const Event& aOther) const
    {
      return std::tie(mAt, mOrder) > std::tie(aOther.mAt, aOther.mOrder);
    }
  };

  void RunStep(SteadyTime aEnd)
  {
    while (!mQueue.empty() && mQueue.top().mAt <= aEnd) {
      const Event event = mQueue.top();
      mQueue.pop();
      mClock.Advance(event.mAt - mClock.Now());
      if (event.mFrom == Event::kTick) {
        OnTimer(event.mTo);
      } else {
        Deliver(event.mSender, event.mTo, event.mBytes);
      }
    }
    mClock.Advance(aEnd - mClock.Now());
  }

  void OnTimer(size_t aNode)
  {
    VirtualNode& node = mNodes[aNode];
    // Skips timers that a later call has postponed.
    if (node.mCore && !node.mPaused && node.mCore->NextWake() <= mClock.Now()) {
      Transmit(aNode, node.mCore->Tick());
      Schedule(aNode);
    }
  }

  void Deliver(const Endpoint& aFrom, size_t aNode, const std::vector<uint8_t>& aBytes)
  {
    VirtualNode& node = mNodes[aNode];
    if (!node.mCore) {
      return;
    }
    if (node.mPaused) {
      node.mInbox.emplace_back(aFrom, aBytes);
      return;
    }
    node.mBytesIn += aBytes.size();
    ++node.mMessagesIn;
    const SteadyTime before = node.mCore->NextWake();
    auto datagrams = node.mCore->Receive(aFrom, aBytes);
    if (datagrams.has_value()) {
      Transmit(aNode, *datagrams);
    }
    if (node.mCore->NextWake() != before) {
      Schedule(aNode);
    }
  }

  void Transmit(size_t aNode, const std::vector<Datagram>& aDatagrams)
  {
    VirtualNode& node = mNodes[aNode];
    for (MemberEvent& event : node.mCore->TakeEvents()) {
      node.mEvents.emplace_back(mClock.Now(), std::move(event));
    }
    for (const Datagram& datagram : aDatagrams) {
      node.mBytesOut += datagram.mBytes.size();
      ++node.mMessagesOut;
      mLargestDatagram = std::max(mLargestDatagram, datagram.mBytes.size());
      const auto to = mIndexes.find(datagram.mTo);
      if (to == mIndexes.end()) {
        continue;
      }
      const bool duplicate = mRandom.Uniform() < mFaults.mDuplicates;
      for (int copy = 0; copy < (duplicate ? 2 : 1); ++copy) {
        SendDatagram(aNode, to->second, datagram.mBytes);
      }
    }
  }

  void SendDatagram(size_t aFrom, size_t aTo, const std::vector<uint8_t>& aBytes)
  {
    if (mRandom.Uniform() < mFaults.mLoss || (mFaults.mIsCut && mFaults.mIsCut(aFrom, aTo))) {
      return;
    }
    const auto range = static_cast<uint64_t>((mFaults.mMaxDelay - mFaults.mMinDelay).count()) + 1;
    const Duration delay =
      mFaults.mMinDelay + Duration(static_cast<Duration::rep>(mRandom.Below(range)));
    mQueue.push({ mClock.Now() + delay, ++mOrder, aFrom, aTo, EndpointOf(aFrom), aBytes });
  }

  MembershipSettings mSettings;
  Random mRandom;
  ManualClock mClock;
  std::vector<VirtualNode> mNodes;
  std::map<Endpoint, size_t> mIndexes;
  std::priority_queue<Event> mQueue;
  uint64_t mOrder = 0;
};

} // namespace balsammount::testing
