#include "ownership_simulation.h"

#include <algorithm>
#include <queue>

namespace balsammount::simulation {

namespace {

using namespace std::chrono_literals;
using Time = int64_t; // true time, ns

constexpr Time kMs = 1'000'000;
constexpr Time kSecond = 1000 * kMs;
constexpr size_t kNodes = 6;
constexpr ShardId kShards = 4;
constexpr Time kFaultsEnd = 45 * kSecond;
constexpr Time kEnd = 70 * kSecond;
constexpr auto kRetention = 20s;
constexpr Time kStoreTimeout = 1 * kSecond;

// Rate within 5%, and a wall clock within 2.5 s of true time, so that two differ by 5 s at most.
class NodeClock final : public Clock
{
public:
  NodeClock(const Time& aTrue, Random& aRandom)
    : mTrue(aTrue)
    , mRate(0.95 + 0.1 * aRandom.Uniform())
    , mSkew(static_cast<Time>(aRandom.Below(5000)) * kMs - 2500 * kMs)
  {
  }
  SteadyTime Now() const override
  {
    return SteadyTime(Duration(static_cast<Time>(mRate * static_cast<double>(mTrue)))) + 1h;
  }
  WallTime WallNow() const override { return WallTime(Duration(mTrue + mSkew)) + 1000h; }
  Time TrueTime(SteadyTime aLocal) const
  {
    return static_cast<Time>(static_cast<double>((aLocal - SteadyTime(1h)).count()) / mRate) + 1;
  }

private:
  const Time& mTrue;
  double mRate;
  Time mSkew;
};

struct Key
{
  KeyRequest mRequest;
  ShardId mShard = 0;
  std::vector<Time> mExecutions;
};

struct Node
{
  OwnershipMember mMember;
  std::unique_ptr<NodeClock> mClock;
  std::unique_ptr<Random> mRandom;
  std::unique_ptr<KeyMemory> mMemory;
  std::unique_ptr<OwnershipCore> mCore;
  bool mFrozen = false;
  bool mDraining = false;
  std::vector<std::function<void()>> mBacklog; // arrived while frozen
  std::vector<OwnershipMember> mView;
  Time mWake = INT64_MAX;
};

class World
{
public:
  explicit World(const Options& aOptions)
    : mOptions(aOptions)
    , mRandom(aOptions.mSeed * 2 + 1)
    , mNodes(kNodes)
    , mOutcome()
  {
    for (auto& row : mBlocked) {
      row.fill(false);
    }
    mSuspects = mBlocked;
    mStoreBlocked.fill(false);
    for (size_t i = 0; i < kNodes; ++i) {
      Node& node = mNodes[i];
      node.mMember.mIdentity.mNode = "n" + std::to_string(i);
      node.mMember.mDataCentre = i % 2 == 0 ? "east" : "west";
      node.mMember.mServes = true;
      node.mMember.mReader = i < 2;
      node.mClock = std::make_unique<NodeClock>(mNow, mRandom);
      Start(i);
      At(static_cast<Time>(mRandom.Below(500)) * kMs, [this, i] { UpdateView(i); });
    }
    PlanRequests();
    if (mOptions.mFaults) {
      PlanFaults();
    }
    At(kFaultsEnd, [this] { Heal(); });
  }

  Outcome Run()
  {
    while (!mEvents.empty() && mEvents.top().mAt <= kEnd && mOutcome.mDoubleExecution.empty()) {
      auto& top = const_cast<Event&>(mEvents.top());
      mNow = top.mAt;
      auto action = std::move(top.mAction);
      mEvents.pop();
      action();
    }
    for (const Node& node : mNodes) {
      if (node.mCore) {
        mOutcome.mTakeovers += node.mCore->Stats().mTakeovers;
        mOutcome.mHandovers += node.mCore->Stats().mHandovers;
      }
    }
    return mOutcome;
  }

private:
  struct Event
  {
    Time mAt;
    uint64_t mOrder;
    std::function<void()> mAction;
    bool operator<(const Event& aOther) const
    {
      return std::pair(mAt, mOrder) > std::pair(aOther.mAt, aOther.mOrder);
    }
  };

  void At(Time aAt, std::function<void()> aAction)
  {
    mEvents.push({ std::max(aAt, mNow), mOrder++, std::move(aAction) });
  }
  Time Millis(uint64_t aFrom, uint64_t aTo)
  {
    return static_cast<Time>(aFrom + mRandom.Below(aTo - aFrom + 1)) * kMs;
  }
  bool Chance(double aProbability) { return mRandom.Uniform() < aProbability; }
  size_t AnyNode() { return mRandom.Below(kNodes); }

  void Start(size_t aNode)
  {
    Node& node = mNodes[aNode];
    ++node.mMember.mIdentity.mIncarnation;
    node.mMember.mLeaving = false;
    node.mDraining = false;
    KeyMemoryPolicy memory;
    memory.mRetention = kRetention;
    memory.mUnknownAfterTakeover = mOptions.mUnknownAfterTakeover;
    memory.mShardCount = kShards;
    OwnershipPolicy policy;
    policy.mShardCount = kShards;
    policy.mChecks = mOptions.mChecks;
    // Three voters of six nodes, so that the loss of two is part of the schedules.
    policy.mVoters = 3;
    policy.mMinorityDelay = 5s;
    policy.mRebalanceDelay = 2s;
    policy.mDrainPatience = 2s;
    node.mRandom = std::make_unique<Random>(mRandom.Next());
    node.mMemory = std::make_unique<KeyMemory>(*node.mClock, "orders", memory);
    node.mCore = std::make_unique<OwnershipCore>(*node.mClock, *node.mRandom, *node.mMemory,
                                                 node.mMember.mIdentity, policy);
    node.mView = { node.mMember };
    node.mWake = INT64_MAX;
    Perform(aNode);
  }

  void Kill(size_t aNode)
  {
    mNodes[aNode].mCore.reset();
    mNodes[aNode].mMemory.reset();
    mNodes[aNode].mBacklog.clear();
    mNodes[aNode].mFrozen = false;
  }

  void Thaw(size_t aNode)
  {
    mNodes[aNode].mFrozen = false;
    for (auto& action : std::exchange(mNodes[aNode].mBacklog, {})) {
      action();
    }
  }

  // Runs aAction in the process that is running now; later if it is frozen, never if it ended.
  std::function<void()> InProcess(size_t aNode, std::function<void()> aAction)
  {
    const uint64_t incarnation = mNodes[aNode].mMember.mIdentity.mIncarnation;
    return [this, aNode, incarnation, action = std::move(aAction)] {
      Node& node = mNodes[aNode];
      if (!node.mCore || node.mMember.mIdentity.mIncarnation != incarnation) {
        return;
      }
      if (node.mFrozen) {
        node.mBacklog.push_back(action);
        return;
      }
      action();
      Perform(aNode);
    };
  }

  void Perform(size_t aNode)
  {
    Node& node = mNodes[aNode];
    for (OwnershipAction& action : node.mCore->TakeActions()) {
      if (auto* send = std::get_if<SendMessage>(&action)) {
        Transmit(aNode, std::move(*send));
      } else if (auto* read = std::get_if<ReadTable>(&action)) {
        Read(aNode, read->mId);
      } else if (auto* propose = std::get_if<ProposeTable>(&action)) {
        Propose(aNode, *propose);
      }
    }
    const Time wake = node.mClock->TrueTime(node.mCore->NextWake());
    if (wake < node.mWake) {
      node.mWake = wake;
      At(wake, InProcess(aNode, [this, aNode] {
           mNodes[aNode].mWake = INT64_MAX;
           mNodes[aNode].mCore->Tick();
         }));
    }
  }

  // Network.

  Time Delay() { return Chance(mSlowness) ? Millis(10, 6000) : Millis(1, 8); }

  void Transmit(size_t aFrom, SendMessage aSend)
  {
    const size_t to = static_cast<size_t>(aSend.mNode[1] - '0');
    OwnershipMessage message = std::move(aSend.mMessage);
    if (mOptions.mEncode) {
      message = DecodeMessage(EncodeMessage(message).value()).value();
    }
    const int copies = Chance(0.01 + mSlowness / 2) ? 2 : 1;
    for (int i = 0; i < copies; ++i) {
      if (!mBlocked[aFrom][to] && !Chance(mLoss)) {
        At(mNow + Delay(), [this, to, message] {
          if (mNodes[to].mCore) {
            InProcess(to, [this, to, message] { mNodes[to].mCore->OnMessage(message); })();
          }
        });
      }
    }
  }

  // Store. A call takes effect after one delay and is answered after another; the client gives up
  // after its timeout whether or not the call took effect.

  Time StoreDelay() { return Chance(mStoreSlowness) ? Millis(10, 3000) : Millis(1, 6); }
  bool StoreLost(size_t aNode) { return mStoreDown || mStoreBlocked[aNode]; }

  void Read(size_t aNode, uint64_t aId)
  {
    const auto answered = std::make_shared<bool>(false);
    const auto answer = [this, aNode, aId, answered](const Result<StoredTable>& aResult) {
      return InProcess(aNode, [this, aNode, aId, answered, aResult] {
        if (!std::exchange(*answered, true)) {
          mNodes[aNode].mCore->OnTableRead(aId, aResult);
        }
      });
    };
    At(mNow + kStoreTimeout, answer(Failure{ std::make_error_code(std::errc::timed_out), {} }));
    if (!StoreLost(aNode)) {
      At(mNow + StoreDelay(), [this, aNode, answer] {
        if (!StoreLost(aNode)) {
          At(mNow + StoreDelay(), answer(StoredTable{ mStored, mRevision }));
        }
      });
    }
  }

  void Propose(size_t aNode, const ProposeTable& aPropose)
  {
    const auto answered = std::make_shared<bool>(false);
    const auto answer = [this, aNode, id = aPropose.mId, answered](ProposalOutcome aOutcome) {
      return InProcess(aNode, [this, aNode, id, answered, aOutcome] {
        if (!std::exchange(*answered, true)) {
          mNodes[aNode].mCore->OnProposalResult(id, aOutcome);
        }
      });
    };
    At(mNow + kStoreTimeout, answer(ProposalOutcome::Unknown));
    if (StoreLost(aNode)) {
      return;
    }
    At(mNow + StoreDelay(), [this, aNode, aPropose, answer] {
      if (mStoreDown) {
        return;
      }
      const bool applied = aPropose.mExpectedModRevision == mRevision;
      if (applied) {
        // Through its text, as in the store.
        mStored = std::make_shared<const OwnershipTable>(
          DecodeTable(EncodeTable(*aPropose.mTable).value()).value());
        ++mRevision;
      }
      if (!StoreLost(aNode) && !Chance(mAnswerLoss)) {
        At(mNow + StoreDelay(),
           answer(applied ? ProposalOutcome::Applied : ProposalOutcome::Conflict));
      }
    });
  }

  // Membership: each node has its own late and sometimes wrong view.

  void UpdateView(size_t aNode)
  {
    Node& node = mNodes[aNode];
    if (node.mCore && !node.mFrozen) {
      std::vector<OwnershipMember> view;
      for (size_t i = 0; i < kNodes; ++i) {
        const auto& identity = mNodes[i].mMember.mIdentity;
        const auto old = std::ranges::find_if(node.mView, [&](const OwnershipMember& aMember) {
          return aMember.mIdentity.mNode == identity.mNode;
        });
        const bool visible =
          mNodes[i].mCore && !mNodes[i].mFrozen && !mBlocked[i][aNode] && !mSuspects[aNode][i];
        if (i != aNode && mNow < kFaultsEnd && Chance(0.15)) {
          if (old != node.mView.end()) {
            view.push_back(*old);
          }
        } else if (i == aNode || visible) {
          view.push_back(mNodes[i].mMember);
        }
      }
      node.mView = view;
      InProcess(aNode, [this, aNode, view] { mNodes[aNode].mCore->SetMembers(view); })();
    }
    At(mNow + Millis(100, 1200), [this, aNode] { UpdateView(aNode); });
  }

  // Callers.

  void PlanRequests()
  {
    for (int i = 0; i < 70; ++i) {
      auto key = std::make_shared<Key>();
      const Time first = Millis(500, 50'000);
      std::string name = "key" + std::to_string(i);
      if (Chance(0.4)) {
        const auto made =
          static_cast<uint64_t>(first / kMs + 3'600'000'000LL + Millis(0, 5000) / kMs - 2500);
        std::array<char, 40> text{};
        std::snprintf(text.data(), text.size(), "%08x-%04x-7000-8000-%012x",
                      static_cast<unsigned>(made >> 16U), static_cast<unsigned>(made & 0xFFFFU),
                      static_cast<unsigned>(i));
        name = text.data();
      }
      key->mRequest = { "caller", name, 1 };
      key->mShard = ShardOf("orders", "caller", name, kShards);
      Time at = first;
      // Resends come in quick succession or late, to any node.
      for (int j = 0; j < 9 && at < kEnd; ++j) {
        At(at, [this, key] { Arrive(AnyNode(), key, 0); });
        at += Chance(0.6) ? Millis(0, 900) : Millis(0, 9000);
      }
    }
  }

  void Arrive(size_t aNode, const std::shared_ptr<Key>& aKey, int aHops)
  {
    if (mNodes[aNode].mCore) {
      InProcess(aNode, [this, aNode, aKey, aHops] { Handle(aNode, aKey, aHops); })();
    }
  }

  void Handle(size_t aNode, const std::shared_ptr<Key>& aKey, int aHops)
  {
    Node& node = mNodes[aNode];
    if (node.mDraining) {
      return;
    }
    if (node.mCore->RightToDispatch(aKey->mShard) == DispatchRight::NotOwner) {
      const auto owner = node.mCore->Owner(aKey->mShard);
      if (owner && aHops < 2) {
        const size_t to = static_cast<size_t>(owner->mNode[1] - '0');
        if (!mBlocked[aNode][to]) {
          At(mNow + Delay(), [this, to, aKey, aHops] { Arrive(to, aKey, aHops + 1); });
        }
      }
      return;
    }
    switch (node.mMemory->Begin(aKey->mRequest, 0).value().mDecision) {
      case BeginDecision::Execute:
        // The queue in front of the backend server.
        At(mNow + Millis(0, Chance(0.1) ? 500 : 20),
           InProcess(aNode, [this, aNode, aKey] { Execute(aNode, aKey); }));
        break;
      case BeginDecision::Replay:
        ++mOutcome.mReplays;
        break;
      case BeginDecision::Unknown:
        ++mOutcome.mUnknowns;
        break;
      default:
        break;
    }
  }

  void Execute(size_t aNode, const std::shared_ptr<Key>& aKey)
  {
    Node& node = mNodes[aNode];
    if (node.mCore->ClaimDispatch(aKey->mRequest) != DispatchRight::Granted) {
      node.mMemory->Abandon(aKey->mRequest).value();
      return;
    }
    ++mOutcome.mExecutions;
    const Time retention = std::chrono::duration_cast<Duration>(kRetention).count();
    if (!aKey->mExecutions.empty() && mNow - aKey->mExecutions.back() < retention) {
      mOutcome.mDoubleExecution =
        "seed " + std::to_string(mOptions.mSeed) + ": " + aKey->mRequest.mKey + " ran at " +
        std::to_string(aKey->mExecutions.back() / kMs) + " ms and on " +
        node.mMember.mIdentity.mNode + " at " + std::to_string(mNow / kMs) + " ms";
    }
    aKey->mExecutions.push_back(mNow);
    const bool lost = Chance(0.1);
    At(mNow + Millis(5, Chance(0.1) ? 4000 : 200), InProcess(aNode, [this, aNode, aKey, lost] {
         KeyMemory& memory = *mNodes[aNode].mMemory;
         if (lost) {
           memory.MarkUnknown(aKey->mRequest).value();
         } else {
           memory.Complete(aKey->mRequest, { 200, {}, "done" }).value();
         }
       }));
  }

  // Faults.

  void PlanFaults()
  {
    mSlowness = Chance(0.5) ? 0.05 : 0;
    mLoss = Chance(0.5) ? 0.05 : 0;
    mStoreSlowness = Chance(0.4) ? 0.2 : 0;
    mAnswerLoss = Chance(0.4) ? 0.3 : 0;
    const uint64_t faults = 3 + mRandom.Below(8);
    for (uint64_t i = 0; i < faults; ++i) {
      const Time at = Millis(2500, 40'000);
      Fault(at);
      if (Chance(0.4)) {
        Fault(at + Millis(0, 3000)); // two at once
      }
    }
  }

  void Fault(Time aAt)
  {
    const Time end = std::min(aAt + Millis(100, Chance(0.5) ? 4000 : 20'000), kFaultsEnd);
    const size_t node = AnyNode();
    const size_t other = AnyNode();
    const uint64_t kind = mOptions.mPlannedOnly ? 3 : mRandom.Below(10);
    const auto toggle = [&](auto aSet) {
      At(aAt, [aSet] { aSet(true); });
      At(end, [aSet] { aSet(false); });
    };
    switch (kind) {
      case 0:
      case 1:
        At(aAt, [this, node] { Kill(node); });
        At(end, [this, node] { Restart(node); });
        break;
      case 2:
        At(aAt, [this, node] { mNodes[node].mFrozen = mNodes[node].mCore != nullptr; });
        At(end, [this, node] { Thaw(node); });
        break;
      case 3:
        PlanDrain(aAt, end, node);
        break;
      case 4: { // two sides
        const uint64_t side = mRandom.Next();
        const bool oneWay = Chance(0.3);
        toggle([this, side, oneWay](bool aOn) {
          for (size_t i = 0; i < kNodes; ++i) {
            for (size_t j = 0; j < kNodes; ++j) {
              const bool from = (side >> i & 1U) != 0;
              const bool to = (side >> j & 1U) != 0;
              mBlocked[i][j] = aOn && from != to && (!oneWay || from);
            }
          }
        });
        break;
      }
      case 5: // one node reaches only one other, and not the store
        toggle([this, node, other](bool aOn) {
          for (size_t i = 0; i < kNodes; ++i) {
            mBlocked[i][node] = mBlocked[node][i] = aOn && i != other;
          }
          mStoreBlocked[node] = aOn;
          mStoreBlocked[other] = aOn;
        });
        break;
      case 6:
        toggle([this](bool aOn) { mStoreDown = aOn; });
        break;
      case 7:
        toggle([this, node](bool aOn) { mStoreBlocked[node] = aOn; });
        break;
      case 8: // suspected by some for no reason
        toggle([this, node, by = mRandom.Next()](bool aOn) {
          for (size_t i = 0; i < kNodes; ++i) {
            mSuspects[i][node] = aOn && (by >> i & 1U) != 0;
          }
        });
        break;
      default: // frozen and suspected, thawed about when another node takes over
        At(aAt, [this, node] { mNodes[node].mFrozen = mNodes[node].mCore != nullptr; });
        At(std::min(aAt + Millis(2000, 7000), kFaultsEnd), [this, node] { Thaw(node); });
        break;
    }
  }

  void PlanDrain(Time aAt, Time aEnd, size_t aNode)
  {
    At(aAt, [this, aNode] {
      Node& node = mNodes[aNode];
      if (node.mCore) {
        node.mMember.mLeaving = true;
        node.mDraining = true;
        InProcess(aNode, [this, aNode] { mNodes[aNode].mCore->Drain(); })();
      }
    });
    At(std::max(aEnd, aAt + 4 * kSecond), [this, aNode] {
      if (mNodes[aNode].mDraining) {
        Kill(aNode);
        Restart(aNode);
      }
    });
  }

  void Restart(size_t aNode)
  {
    if (!mNodes[aNode].mCore) {
      Start(aNode);
    }
  }

  void Heal()
  {
    for (auto& row : mBlocked) {
      row.fill(false);
    }
    mSuspects = mBlocked;
    mStoreBlocked.fill(false);
    mStoreDown = false;
    mSlowness = mLoss = mStoreSlowness = mAnswerLoss = 0;
    for (size_t i = 0; i < kNodes; ++i) {
      Restart(i);
      Thaw(i);
    }
    Observe();
  }

  void Observe()
  {
    std::array<bool, kShards> served{};
    for (const Node& node : mNodes) {
      for (ShardId id = 0; node.mCore && id < kShards; ++id) {
        served[id] = served[id] || node.mCore->RightToDispatch(id) == DispatchRight::Granted;
      }
    }
    if (std::ranges::all_of(served, std::identity())) {
      mOutcome.mServed = true;
      mOutcome.mServedAfter = static_cast<double>(mNow - kFaultsEnd) / kSecond;
    } else {
      At(mNow + 100 * kMs, [this] { Observe(); });
    }
  }

  Options mOptions;
  Random mRandom;
  Time mNow = 0;
  uint64_t mOrder = 0;
  std::priority_queue<Event> mEvents;
  std::vector<Node> mNodes;
  std::array<std::array<bool, kNodes>, kNodes> mBlocked;
  std::array<std::array<bool, kNodes>, kNodes> mSuspects;
  std::array<bool, kNodes> mStoreBlocked;
  double mSlowness = 0;
  double mLoss = 0;
  double mStoreSlowness = 0;
  double mAnswerLoss = 0;
  bool mStoreDown = false;
  TablePtr mStored;
  int64_t mRevision = 0;
  Outcome mOutcome;
};

} // namespace

Outcome Simulate(const Options& aOptions)
{
  return World(aOptions).Run();
}

} // namespace balsammount::simulation
