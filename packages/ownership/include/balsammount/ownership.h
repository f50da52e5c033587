// At-most-once execution of idempotency keys: decides which node may dispatch the keys of a shard
// and moves shards between nodes. docs/design.md, section 6.3, specifies the protocol.
#pragma once

#include "balsammount/ownership_message.h"
#include "balsammount/random.h"

#include <functional>
#include <set>

namespace balsammount {

struct OwnershipMember
{
  NodeIdentity mIdentity;
  std::string mDataCentre;
  bool mServes = false;  // may own shards of the service
  bool mLeaving = false; // is assigned no shards and replaced as a voter
  bool mReader = false;  // reads the table from the store on behalf of other nodes

  bool operator==(const OwnershipMember&) const = default;
};

// For tests only: each flag that is false disables one safety mechanism, to verify that the
// simulation detects its absence.
struct OwnershipChecks
{
  bool mRightAtDispatch = true;
  bool mWaitAfterTakeover = true;
  bool mVoterRelease = true;
  bool mEarlierVoterSets = true; // releases by voter sets older than that of the previous version
  bool mVoterIncarnation = true;
  bool mVoterVerification = true;
  bool mFreezeUntilSettled = true; // shards in a write with an unknown outcome stay frozen
};

struct OwnershipPolicy
{
  using Milliseconds = std::chrono::milliseconds;

  // A right to dispatch expires this long after the request that confirmed it was sent.
  Milliseconds mRightDuration{ 2000 };
  // A takeover waits for mRightDuration times this factor. Clocks that are 5% fast and 5% slow
  // differ by 1.05 / 0.95 = 1.105, which a factor of 1.10 would not cover.
  double mClockFactor = 1.15;
  Milliseconds mConfirmPeriod{ 700 }; // between confirmations of the right
  // Time until the voters are asked instead of a reader, which may take up to mReadPeriod.
  Milliseconds mReaderTimeout{ 600 };
  Milliseconds mReadPeriod{ 500 };    // between reads of the store for other nodes
  Milliseconds mReadTimeout{ 2000 };  // after which a read of the store is abandoned
  Milliseconds mIdlePeriod{ 5000 };   // between table refreshes of a node that owns no shard
  Milliseconds mResendPeriod{ 300 };  // of release requests and handover chunks
  Milliseconds mAbsenceGrace{ 1000 }; // from the loss of a member to its replacement
  // The grace for a member that was never seen is longer, because a node that has just started
  // knows few members.
  Milliseconds mUnseenGrace{ 5000 };
  Milliseconds mProposerDelayStep{ 1000 }; // between proposers, so that only one proposes
  Milliseconds mMinorityDelay{ 30000 };    // for a proposer that sees no majority of the voters
  Milliseconds mRetryDelay{ 500 };         // minimum after a failure; jitter adds up to the same
  Milliseconds mRebalanceDelay{ 5000 };    // from a change of members to rebalancing
  Milliseconds mQuiesceTimeout{ 1000 };    // for running keys before a rebalancing handover
  Milliseconds mDrainTimeout{ 20000 };     // for running keys before the handover of a drain
  Milliseconds mHandoverTimeout{ 3000 };   // for the acceptance of one chunk
  // A voter confirms a version this long without a new read of the store.
  Milliseconds mVerificationLifetime{ 7'200'000 };
  size_t mVoters = 5;
  size_t mChunkBytes = 64 * 1024;
  OwnershipChecks mChecks;
};

struct SendMessage
{
  std::string mNode;
  OwnershipMessage mMessage;
};

struct ReadTable
{
  uint64_t mId = 0; // pass to OnTableRead
};

struct ProposeTable
{
  uint64_t mId = 0;
  int64_t mExpectedModRevision = 0; // 0: the key must not exist
  TablePtr mTable;
};

using OwnershipAction = std::variant<SendMessage, ReadTable, ProposeTable>;

// The result of a linearizable read of the store.
struct StoredTable
{
  TablePtr mTable; // null: the key does not exist
  int64_t mModRevision = 0;
};

enum class ProposalOutcome
{
  Applied,
  Conflict, // not applied
  Unknown,  // may have been applied or be applied later
};

enum class DispatchRight
{
  Granted,
  NoTable,     // the table is not known yet
  NotOwner,    // Owner() returns the owner
  Acquiring,   // this node is the new owner, but the previous one may still dispatch
  HandingOver, // the shard is being handed to another node
  Unconfirmed, // the last confirmation of ownership has expired
  KeyOutdated, // the shard was closed since the key began
};

struct OwnershipStats
{
  uint64_t mReads = 0;
  uint64_t mProposals = 0;
  uint64_t mTakeovers = 0; // shards acquired without records, after a wait
  uint64_t mHandovers = 0; // shards acquired with the records of the previous owner
};

// One instance per node and service. Call Tick() no later than NextWake(), and perform the result
// of TakeActions() after each call. Not thread safe.
class OwnershipCore
{
public:
  OwnershipCore(const Clock& aClock, Random& aRandom, KeyMemory& aMemory, NodeIdentity aSelf,
                OwnershipPolicy aPolicy = {});

  // Sets all members that may own shards or vote, including this node.
  void SetMembers(std::vector<OwnershipMember> aMembers);
  void OnMessage(const OwnershipMessage& aMessage);
  void OnTableRead(uint64_t aId, const Result<StoredTable>& aResult);
  void OnProposalResult(uint64_t aId, ProposalOutcome aOutcome);
  void Tick();

  // Hands all shards to other nodes. Waits up to mDrainTimeout for running keys.
  void Drain();
  // True if this node owns no shard in the latest known table.
  bool Drained() const;

  // Must be called immediately before the write to the backend server, once for each key that
  // KeyMemory decided to execute. Any result but Granted means that the key was not dispatched: the
  // caller abandons it in the memory and reports not-run.
  DispatchRight ClaimDispatch(const KeyRequest& aRequest);
  // Returns the right for a shard without claiming a dispatch.
  DispatchRight RightToDispatch(ShardId aShard) const;
  std::optional<NodeIdentity> Owner(ShardId aShard) const;

  std::vector<OwnershipAction> TakeActions() { return std::exchange(mActions, {}); }
  SteadyTime NextWake() const { return mNextWake; }
  const TablePtr& Table() const { return mTable; }
  const OwnershipStats& Stats() const { return mStats; }

private:
  enum class ShardState : uint8_t
  {
    None,
    Acquiring,
    Owned,
  };
  struct Shard
  {
    ShardState mState = ShardState::None;
    uint64_t mSinceVersion = 0;
    SteadyTime mAdoptedAt;
    std::optional<SteadyTime> mAcquireAt; // end of the takeover wait, set after the releases
    bool mFrozen = false;                 // not dispatched because it is in mHandovers
    uint64_t mStagedHandover = 0;         // id of the handover that is being received
    uint32_t mStagedNext = 0;
    bool mStagedComplete = false;
    std::optional<ShardCutoff> mStagedCutoff;
  };
  struct Round
  {
    SteadyTime mSent;
    TablePtr mTable; // its voters were asked; null: a reader was asked
    std::set<std::string> mConfirmed;
  };
  struct PendingRead
  {
    NodeIdentity mFrom;
    ConfirmRequest mRequest;
  };
  enum class HandoverStep : uint8_t
  {
    Quiescing,
    Sending,
    Accepted,
    Aborted,
  };
  struct Handover
  {
    ShardId mShard = 0;
    uint64_t mSinceVersion = 0;
    NodeIdentity mTarget;
    uint64_t mId = 0;
    HandoverStep mStep = HandoverStep::Quiescing;
    std::vector<std::vector<KeyRecord>> mChunks;
    std::optional<ShardCutoff> mCutoff;
    uint32_t mNext = 0;
    SteadyTime mStarted;
    SteadyTime mLastProgress;
    SteadyTime mSent;
  };
  enum class Proposal : uint8_t
  {
    Idle,
    Reading,
    Writing,
  };

  void Run();
  bool DueOrWakeAt(SteadyTime aTime);
  void Send(const std::string& aNode, OwnershipBody aBody, uint64_t aToIncarnation = 0);
  void HandleMessage(const OwnershipMessage& aMessage);

  void On(const OwnershipMessage& aMessage, const ConfirmRequest& aBody);
  void On(const OwnershipMessage& aMessage, const ConfirmResponse& aBody);
  void On(const OwnershipMessage& aMessage, const ReleaseRequest& aBody);
  void On(const OwnershipMessage& aMessage, const ReleaseResponse& aBody);
  void On(const OwnershipMessage& aMessage, const HandoverChunk& aBody);
  void On(const OwnershipMessage& aMessage, const HandoverResponse& aBody);
  void On(const OwnershipMessage& aMessage, const TableRequest& aBody);
  void On(const OwnershipMessage& aMessage, const TableResponse& aBody);

  void Adopt(const TablePtr& aTable);
  void UpdateOpenShards();
  void AdoptShard(ShardId aShard, const ShardOwner& aEntry);
  void EraseOldVoters();
  ConfirmOutcome Vote(uint64_t aVersion) const;
  void RecordConfirmation(SteadyTime aSent);

  void RunReader();
  void RunConfirm();
  void AskReader();
  void AskVoters();
  void RunRelease();
  bool IsReleased(const EarlierVoters& aSet) const;
  bool AllReleased() const;
  void RunAcquire();
  void RunHandover();
  void StartHandover();
  void AdvanceHandover(Handover& aHandover);
  void SendChunk(Handover& aHandover);
  void PackChunks(Handover& aHandover);
  void UpdateHandovers();
  NodeIdentity LeastLoaded(std::map<NodeIdentity, size_t>& aLoad) const;
  std::map<NodeIdentity, size_t> Loads() const;
  void Abort(Handover& aHandover);
  bool HandoverReady() const;
  void RunProposal();
  void FinishProposalRead(const Result<StoredTable>& aResult);
  void Announce(const OwnershipTable& aTable);
  std::optional<OwnershipTable> NextTable() const;
  void UpdateAbsences();
  bool IsGone(const NodeIdentity& aNode) const;
  bool IsLeaving() const;
  bool SeesVoterMajority() const;
  bool IsReader() const;
  std::vector<std::string> Readers() const;
  bool OwnsAny() const;
  Duration RetryDelay();
  Duration ScaledForDrift(Duration aDuration) const;
  Duration ProposerDelay() const;
  Duration RightDuration() const { return mPolicy.mRightDuration; }

  const Clock& mClock;
  Random& mRandom;
  KeyMemory& mMemory;
  NodeIdentity mSelf;
  OwnershipPolicy mPolicy;
  std::vector<OwnershipMember> mMembers;
  SteadyTime mMembersChanged;
  std::map<NodeIdentity, SteadyTime> mGoneAt; // when absent nodes of the table count as gone
  std::set<std::string> mSeen;                // nodes of the table that have been members
  TablePtr mTable;
  SteadyTime mAdopted;      // when mTable was adopted
  bool mStoreEmpty = false; // the latest read found no table in the store
  bool mDraining = false;

  uint64_t mPromised = 0; // as a voter, this node confirms no lower version
  // Start of the latest read of the store that showed mTable to be current.
  std::optional<SteadyTime> mVersionVerified;
  std::optional<SteadyTime> mConfirmed; // start of the latest round that confirmed the right
  std::vector<Shard> mShards;

  uint64_t mNextId = 1;
  std::map<uint64_t, Round> mRounds;
  SteadyTime mNextConfirm;
  std::optional<uint64_t> mReaderRound; // the latest one, until its response
  SteadyTime mReaderDeadline;           // after this, the voters are asked
  bool mReaderFailed = false;
  uint32_t mReaderAttempts = 0;
  SteadyTime mNextRelease;
  std::map<NodeIdentity, uint64_t> mPromises;    // by voters
  std::map<std::string, uint64_t> mIncarnations; // highest one in messages of each node

  std::vector<PendingRead> mQueuedReads; // served by the next read
  std::vector<PendingRead> mActiveReads; // served by the read in progress
  uint64_t mReadId = 0;                  // 0: no read in progress
  SteadyTime mReadStarted;
  SteadyTime mNextRead;

  std::vector<Handover> mHandovers;
  // The version that a submitted write of mHandovers replaces. 0: none was submitted.
  uint64_t mSubmittedVersion = 0;
  SteadyTime mNextHandover;

  Proposal mProposal = Proposal::Idle;
  uint64_t mProposalId = 0;
  TablePtr mProposed;
  SteadyTime mProposalStarted;
  SteadyTime mNextProposal;
  std::optional<SteadyTime> mChangeNeededSince;
  bool mRecheckNeeded = true;
  SteadyTime mNextGone = SteadyTime::max(); // earliest future time in mGoneAt
  SteadyTime mDrainStarted;

  std::vector<OwnershipMessage> mLocalMessages; // messages to this node itself
  std::vector<OwnershipAction> mActions;
  SteadyTime mNextWake;
  OwnershipStats mStats;
};

namespace detail {

struct PlanInput
{
  std::string mService;
  const OwnershipTable* mCurrent = nullptr; // null: the store holds no table
  const std::vector<OwnershipMember>& mMembers;
  std::function<bool(const NodeIdentity&)> mIsGone;
  std::function<bool(const EarlierVoters&)> mIsReleased;
  std::string mDrainingNode; // name of this node if it drains, else empty
  size_t mVoters = 0;
  ShardId mShardCount = 0;
};

// Returns the next table, or nullopt if the current one needs no change. Shards without a live
// owner are assigned, voters that are gone or leaving are replaced, and aMoves are applied as
// handovers.
std::optional<OwnershipTable> PlanTable(const PlanInput& aInput,
                                        const std::map<ShardId, ShardOwner>& aMoves);

// Orders the candidates for a role of a service. The order of two nodes does not depend on others.
uint64_t RendezvousHash(std::string_view aService, std::string_view aNode);

} // namespace detail

} // namespace balsammount
