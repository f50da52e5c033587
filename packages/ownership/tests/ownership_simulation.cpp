#include "ownership_simulation.h"

#include <algorithm>
#include <queue>

namespace balsammount::simulation {

namespace {

using namespace std::chrono_literals;
using Time = int64_t; // true time, ns

constexpr Time kMs = 1'000'000;
constexpr Time kSecond = 1000 * kMs;
constexpr size_t kMaxNodes = 36;
constexpr Time kFaultsEnd = 45 * kSecond;
constexpr Time kEnd = 70 * kSecond;
constexpr Time kServedEnd = 58 * kSecond; // used instead of kEnd once all shards are served again
constexpr auto kRetention = 20s;
constexpr Time kStoreTimeout = 1 * kSecond;

// Returns a skew within 2.5 s, so that two clocks differ by less than 5 s. Half of the values are
// clamped to the extremes, which are the most likely to reveal faults.
Time RandomSkew(Random& aRandom)
{
  const auto skew = static_cast<Time>(aRandom.Below(10'001)) * kMs - 5000 * kMs;
  return std::clamp(skew, -2499 * kMs, 2499 * kMs);
}

// A clock whose rate is up to 5% off.
class NodeClock final : public Clock
{
public:
  NodeClock(const Time& aTrue, Random& aRandom)
    : mTrue(aTrue)
    , mRate(0.95 + 0.1 * aRandom.Uniform())
    , mSkew(RandomSkew(aRandom))
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
  bool mPaused = false;
  bool mDraining = false;
  bool mPermanentlyDown = false;
  std::vector<std::function<void()>> mBacklog; // deferred while paused
  std::vector<OwnershipMember> mView;
  Time mWake = INT64_MAX;
  uint64_t mWakeId = 0;
};

class World
{
public:
  explicit World(const Options& aOptions)
    : mOptions(aOptions)
    , mRandom(aOptions.mSeed * 2 + 1)
    , mNodes(aOptions.mNodes)
    , mOutcome()
  {
    for (auto& row : mBlocked) {
      row.fill(false);
    }
    mSuspected = mBlocked;
    mStoreBlocked.fill(false);
    for (size_t i = 0; i < mNodes.size(); ++i) {
      Node& node = mNodes[i];
      node.mMember.mIdentity.mNode = "n" + std::to_string(i);
      node.mMember.mDataCentre = i % 2 == 0 ? "east" : "west";
      node.mMember.mServes = true;
      node.mMember.mReader = i < mOptions.mReaders;
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
    while (!mEvents.empty() && mEvents.top().mAt <= End() && mOutcome.mDoubleExecution.empty()) {
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
  Time End() const { return mOutcome.mServed ? kServedEnd : kEnd; }
  Time RandomMs(uint64_t aFrom, uint64_t aTo)
  {
    return static_cast<Time>(aFrom + mRandom.Below(aTo - aFrom + 1)) * kMs;
  }
  bool Chance(double aProbability) { return mRandom.Uniform() < aProbability; }
  static size_t Index(const std::string& aNode) { return std::stoul(aNode.substr(1)); }
  bool IsMeasuring() const { return mNow >= 10 * kSecond && mNow < 20 * kSecond; }
  size_t AnyNode() { return mRandom.Below(mNodes.size()); }

  void Start(size_t aNode)
  {
    Node& node = mNodes[aNode];
    ++node.mMember.mIdentity.mIncarnation;
    node.mMember.mLeaving = false;
    node.mDraining = false;
    KeyMemoryPolicy memory;
    memory.mRetention = kRetention;
    memory.mUnknownAfterTakeover = mOptions.mUnknownAfterTakeover;
    memory.mShardCount = mOptions.mShards;
    OwnershipPolicy policy;
    policy.mChecks = mOptions.mChecks;
    policy.mVoters = mOptions.mVoters;
    policy.mVerificationLifetime = mOptions.mVerificationLifetime;
    policy.mMinorityDelay = 5s;
    policy.mRebalanceDelay = 2s;
    policy.mDrainTimeout = 2s;
    node.mRandom = std::make_unique<Random>(mRandom.Next());
    node.mMemory = std::make_unique<KeyMemory>(*node.mClock, "orders", memory);
    node.mCore = std::make_unique<OwnershipCore>(*node.mClock, *node.mRandom, *node.mMemory,
                                                 node.mMember.mIdentity, policy);
    node.mView.clear();
    node.mWake = INT64_MAX;
    PerformActions(aNode);
  }

  void Kill(size_t aNode)
  {
    mNodes[aNode].mCore.reset();
    mNodes[aNode].mMemory.reset();
    mNodes[aNode].mBacklog.clear();
    mNodes[aNode].mPaused = false;
  }

  void Resume(size_t aNode)
  {
    mNodes[aNode].mPaused = false;
    for (auto& action : std::exchange(mNodes[aNode].mBacklog, {})) {
      action();
      PerformActions(aNode);
    }
  }

  // Returns a function that runs aAction in the node's current process. The action is deferred
  // while the process is paused and dropped once it has ended.
  std::function<void()> InProcess(size_t aNode, std::function<void()> aAction)
  {
    const uint64_t incarnation = mNodes[aNode].mMember.mIdentity.mIncarnation;
    return [this, aNode, incarnation, action = std::move(aAction)] {
      Node& node = mNodes[aNode];
      if (!node.mCore || node.mMember.mIdentity.mIncarnation != incarnation) {
        return;
      }
      if (node.mPaused) {
        node.mBacklog.push_back(action);
        return;
      }
      action();
      PerformActions(aNode);
    };
  }

  void PerformActions(size_t aNode)
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
      At(wake, InProcess(aNode, [this, aNode, id = ++node.mWakeId] {
           // Ignores a wake that was replaced by an earlier one.
           if (mNodes[aNode].mWakeId == id) {
             mNodes[aNode].mWake = INT64_MAX;
             mNodes[aNode].mCore->Tick();
           }
         }));
    }
  }

  // Network.

  Time Delay() { return Chance(mSlowProbability) ? RandomMs(10, 6000) : RandomMs(1, 8); }

  void Transmit(size_t aFrom, SendMessage aSend)
  {
    const size_t to = Index(aSend.mNode);
    auto message = std::make_shared<OwnershipMessage>(std::move(aSend.mMessage));
    if (mOptions.mEncode) {
      const std::string bytes = EncodeMessage(*message).value();
      mOutcome.mMessages += IsMeasuring() ? 1 : 0;
      mOutcome.mMessageBytes += IsMeasuring() ? bytes.size() : 0;
      *message = DecodeMessage(bytes).value();
    }
    const int copies = Chance(0.01 + mSlowProbability / 2) ? 2 : 1;
    for (int i = 0; i < copies; ++i) {
      if (!mBlocked[aFrom][to] && !Chance(mLossProbability)) {
        At(mNow + Delay(), [this, to, message] {
          if (mNodes[to].mCore) {
            InProcess(to, [this, to, message] { mNodes[to].mCore->OnMessage(*message); })();
          }
        });
      }
    }
  }

  // Store. A call takes effect after one delay, and its response arrives after another. The client
  // gives up after its timeout, whether or not the call took effect.

  Time StoreDelay() { return Chance(mStoreSlowProbability) ? RandomMs(10, 3000) : RandomMs(1, 6); }
  bool IsStoreUnreachable(size_t aNode) { return mStoreDown || mStoreBlocked[aNode]; }

  void Read(size_t aNode, uint64_t aId)
  {
    mOutcome.mStoreReads += IsMeasuring() ? 1 : 0;
    const auto responded = std::make_shared<bool>(false);
    const auto respond = [this, aNode, aId, responded](const Result<StoredTable>& aResult) {
      return InProcess(aNode, [this, aNode, aId, responded, aResult] {
        if (!std::exchange(*responded, true)) {
          mNodes[aNode].mCore->OnTableRead(aId, aResult);
        }
      });
    };
    At(mNow + kStoreTimeout, respond(Failure{ std::make_error_code(std::errc::timed_out), {} }));
    if (!IsStoreUnreachable(aNode)) {
      At(mNow + StoreDelay(), [this, aNode, respond] {
        if (!IsStoreUnreachable(aNode)) {
          At(mNow + StoreDelay(), respond(StoredTable{ mStored, mRevision }));
        }
      });
    }
  }

  void Propose(size_t aNode, const ProposeTable& aPropose)
  {
    mOutcome.mStoreWrites += IsMeasuring() ? 1 : 0;
    const auto responded = std::make_shared<bool>(false);
    const auto respond = [this, aNode, id = aPropose.mId, responded](ProposalOutcome aOutcome) {
      return InProcess(aNode, [this, aNode, id, responded, aOutcome] {
        if (!std::exchange(*responded, true)) {
          mNodes[aNode].mCore->OnProposalResult(id, aOutcome);
        }
      });
    };
    At(mNow + kStoreTimeout, respond(ProposalOutcome::Unknown));
    if (IsStoreUnreachable(aNode)) {
      return;
    }
    At(mNow + StoreDelay(), [this, aNode, aPropose, respond] {
      if (mStoreDown) {
        return;
      }
      const bool applied = aPropose.mExpectedModRevision == mRevision;
      if (applied) {
        // Encodes and decodes the table, as with a real store.
        mStored = std::make_shared<const OwnershipTable>(
          DecodeTable(EncodeTable(*aPropose.mTable).value()).value());
        ++mRevision;
      }
      if (!IsStoreUnreachable(aNode) && !Chance(mResponseLossProbability)) {
        At(mNow + StoreDelay(),
           respond(applied ? ProposalOutcome::Applied : ProposalOutcome::Conflict));
      }
    });
  }

  // Membership. Each node has its own delayed and sometimes wrong view.

  void UpdateView(size_t aNode)
  {
    Node& node = mNodes[aNode];
    if (node.mCore && !node.mPaused) {
      std::vector<OwnershipMember> view;
      view.reserve(mNodes.size());
      for (size_t i = 0; i < mNodes.size(); ++i) {
        const auto& identity = mNodes[i].mMember.mIdentity;
        const auto old = std::ranges::find_if(node.mView, [&](const OwnershipMember& aMember) {
          return aMember.mIdentity.mNode == identity.mNode;
        });
        const bool visible =
          mNodes[i].mCore && !mNodes[i].mPaused && !mBlocked[i][aNode] && !mSuspected[aNode][i];
        if (i != aNode && mNow < kFaultsEnd && Chance(0.15)) {
          if (old != node.mView.end()) {
            view.push_back(*old);
          }
        } else if (i == aNode || visible) {
          view.push_back(mNodes[i].mMember);
        }
      }
      if (view != node.mView) {
        node.mView = view;
        node.mCore->SetMembers(std::move(view));
        PerformActions(aNode);
      }
    }
    At(mNow + RandomMs(100, 1200), [this, aNode] { UpdateView(aNode); });
  }

  // Callers.

  void PlanRequests()
  {
    for (int i = 0; i < mOptions.mKeys; ++i) {
      auto key = std::make_shared<Key>();
      const Time first = RandomMs(500, 50'000);
      std::string name = "key" + std::to_string(i);
      if (Chance(0.6)) {
        const auto created =
          static_cast<uint64_t>((first + RandomSkew(mRandom)) / kMs + 3'600'000'000LL);
        std::array<char, 40> text{};
        std::snprintf(text.data(), text.size(), "%08x-%04x-7000-8000-%012x",
                      static_cast<unsigned>(created >> 16U),
                      static_cast<unsigned>(created & 0xFFFFU), static_cast<unsigned>(i));
        name = text.data();
      }
      key->mRequest = { "caller", name, 1 };
      key->mShard = ShardOf("orders", "caller", name, mOptions.mShards);
      Time at = first;
      // Retries follow quickly or late and go to any node.
      for (int j = 0; j < 9 && at < kEnd; ++j) {
        At(at, [this, key] { Arrive(AnyNode(), key, 0); });
        at += Chance(0.6) ? RandomMs(0, 900) : RandomMs(0, 9000);
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
        const size_t to = Index(owner->mNode);
        if (!mBlocked[aNode][to]) {
          At(mNow + Delay(), [this, to, aKey, aHops] { Arrive(to, aKey, aHops + 1); });
        }
      }
      return;
    }
    switch (node.mMemory->Begin(aKey->mRequest, 0).value().mDecision) {
      case BeginDecision::Execute:
        // The delay stands for the queue in front of the backend server.
        At(mNow + RandomMs(0, Chance(0.1) ? 500 : 20),
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
    const bool outcomeLost = !mOptions.mRollingRestart && Chance(0.1);
    const uint64_t longest =
      mOptions.mRollingRestart ? 1000 : 4000; // below and above mDrainTimeout
    At(mNow + RandomMs(5, Chance(0.1) ? longest : 200),
       InProcess(aNode, [this, aNode, aKey, outcomeLost] {
         KeyMemory& memory = *mNodes[aNode].mMemory;
         if (outcomeLost) {
           memory.MarkUnknown(aKey->mRequest).value();
         } else {
           memory.Complete(aKey->mRequest, { 200, {}, "done" }).value();
         }
       }));
  }

  // Faults.

  void PlanFaults()
  {
    if (mOptions.mSlowStore) {
      mStoreSlowProbability = 0.4;
    }
    if (mOptions.mRollingRestart) {
      for (size_t i = 0; i < mNodes.size(); ++i) {
        const Time at = (3 + 7 * static_cast<Time>(i)) * kSecond;
        PlanDrain(at, at + 5 * kSecond, i);
      }
      return;
    }
    if (mOptions.mLoseVoters) {
      At(kFaultsEnd - kSecond, [this] {
        for (size_t i = 0; i < 2; ++i) {
          const size_t voter = Index(mStored->mVoters[i].mNode);
          Kill(voter);
          mNodes[voter].mPermanentlyDown = true;
        }
      });
      return;
    }
    if (mOptions.mCrash || mOptions.mDrainOne) {
      At(kFaultsEnd - 1, [this] {
        const size_t owner = Index(mStored->mShards[0].mOwner.mNode);
        if (mOptions.mDrainOne) {
          mDrainedNode = owner;
          InProcess(owner, [this, owner] { mNodes[owner].mCore->Drain(); })();
          return;
        }
        Kill(owner);
        mNodes[owner].mPermanentlyDown = true;
      });
      return;
    }
    mSlowProbability = Chance(0.5) ? 0.05 : 0;
    mLossProbability = Chance(0.5) ? 0.05 : 0;
    mStoreSlowProbability = Chance(0.4) ? 0.2 : 0;
    mResponseLossProbability = Chance(0.4) ? 0.3 : 0;
    const uint64_t faults = 3 + mRandom.Below(8);
    for (uint64_t i = 0; i < faults; ++i) {
      const Time at = RandomMs(2500, 40'000);
      PlanFault(at);
      if (Chance(0.4)) {
        PlanFault(at + RandomMs(0, 3000)); // two faults overlap
      }
    }
  }

  void PlanFault(Time aAt)
  {
    const Time end = std::min(aAt + RandomMs(100, Chance(0.5) ? 4000 : 20'000), kFaultsEnd);
    const size_t node = AnyNode();
    const size_t other = AnyNode();
    constexpr std::array<uint64_t, 4> kPartitions = { 0, 4, 4, 9 };
    const uint64_t any = mRandom.Below(11);
    const uint64_t kind = mOptions.mPartitions ? kPartitions[any % kPartitions.size()] : any;
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
        At(aAt, [this, node] { mNodes[node].mPaused = mNodes[node].mCore != nullptr; });
        At(end, [this, node] { Resume(node); });
        break;
      case 3:
        PlanDrain(aAt, end, node);
        break;
      case 4: { // a partition into two sides, one of which may lack the store
        const uint64_t side = mRandom.Next();
        const bool oneWay = Chance(0.3);
        const bool noStore = Chance(0.6);
        toggle([this, side, oneWay, noStore](bool aActive) {
          Partition(side, aActive, oneWay, noStore);
        });
        break;
      }
      case 5: // one node reaches only one other, and not the store
        toggle([this, node, other](bool aActive) {
          for (size_t i = 0; i < mNodes.size(); ++i) {
            mBlocked[i][node] = mBlocked[node][i] = aActive && i != other;
          }
          mStoreBlocked[node] = aActive;
          mStoreBlocked[other] = aActive;
        });
        break;
      case 6:
        toggle([this](bool aActive) { mStoreDown = aActive; });
        break;
      case 7:
        toggle([this, node](bool aActive) { mStoreBlocked[node] = aActive; });
        break;
      case 8: // a false suspicion on some nodes
        toggle([this, node, observers = mRandom.Next()](bool aActive) {
          for (size_t i = 0; i < mNodes.size(); ++i) {
            mSuspected[i][node] = aActive && (observers >> i & 1U) != 0;
          }
        });
        break;
      case 9: { // a node is isolated, then another restarts on its side of the partition
        const uint64_t side = uint64_t{ 1 } << node;
        At(aAt, [this, side] { Partition(side, true, false, true); });
        At(std::min(aAt + RandomMs(3000, 9000), kFaultsEnd - 1), [this, side, other] {
          Kill(other);
          Partition(side | uint64_t{ 1 } << other, true, false, true);
          At(mNow + RandomMs(10, 1000), [this, other] { Restart(other); });
        });
        At(std::min(aAt + RandomMs(10'000, 25'000), kFaultsEnd),
           [this] { Partition(0, false, false, true); });
        break;
      }
      default: // a node is paused and suspected, and resumes at about the time of a takeover
        At(aAt, [this, node] { mNodes[node].mPaused = mNodes[node].mCore != nullptr; });
        At(std::min(aAt + RandomMs(2000, 7000), kFaultsEnd), [this, node] { Resume(node); });
        break;
    }
  }

  // Bit i of aSide is set if node i is on the first side.
  void Partition(uint64_t aSide, bool aActive, bool aOneWay, bool aNoStore)
  {
    for (size_t i = 0; i < mNodes.size(); ++i) {
      const bool from = (aSide >> i & 1U) != 0;
      mStoreBlocked[i] = aActive && aNoStore && from;
      for (size_t j = 0; j < mNodes.size(); ++j) {
        const bool to = (aSide >> j & 1U) != 0;
        mBlocked[i][j] = aActive && from != to && (!aOneWay || from);
      }
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
    At(std::min(std::max(aEnd, aAt + 4 * kSecond), kFaultsEnd - 1), [this, aNode] {
      if (mNodes[aNode].mDraining) { // the process ends even if the handover is not complete
        Kill(aNode);
        Restart(aNode);
      }
    });
  }

  void Restart(size_t aNode)
  {
    if (!mNodes[aNode].mCore && !mNodes[aNode].mPermanentlyDown) {
      Start(aNode);
    }
  }

  void Heal()
  {
    for (auto& row : mBlocked) {
      row.fill(false);
    }
    mSuspected = mBlocked;
    mStoreBlocked.fill(false);
    mStoreDown = false;
    mSlowProbability = mLossProbability = mStoreSlowProbability = mResponseLossProbability = 0;
    for (size_t i = 0; i < mNodes.size(); ++i) {
      Restart(i);
      Resume(i);
    }
    CheckServed();
  }

  void CheckServed()
  {
    std::vector<bool> served(mOptions.mShards);
    for (const Node& node : mNodes) {
      for (ShardId id = 0; node.mCore && id < mOptions.mShards; ++id) {
        served[id] = served[id] || node.mCore->RightToDispatch(id) == DispatchRight::Granted;
      }
    }
    const bool drained = !mDrainedNode || mNodes[*mDrainedNode].mCore->Drained();
    if (drained && std::ranges::all_of(served, std::identity())) {
      mOutcome.mServed = true;
      mOutcome.mServedAfter = static_cast<double>(mNow - kFaultsEnd) / kSecond;
    } else {
      At(mNow + 10 * kMs, [this] { CheckServed(); });
    }
  }

  Options mOptions;
  Random mRandom;
  Time mNow = 0;
  uint64_t mOrder = 0;
  std::priority_queue<Event> mEvents;
  std::vector<Node> mNodes;
  std::array<std::array<bool, kMaxNodes>, kMaxNodes> mBlocked;
  std::array<std::array<bool, kMaxNodes>, kMaxNodes> mSuspected;
  std::array<bool, kMaxNodes> mStoreBlocked;
  double mSlowProbability = 0;
  double mLossProbability = 0;
  double mStoreSlowProbability = 0;
  double mResponseLossProbability = 0;
  bool mStoreDown = false;
  std::optional<size_t> mDrainedNode; // must own no shard before all count as served
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
