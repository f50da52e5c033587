// At-most-once execution of one service: which node may dispatch the keys of a shard, and how a
// shard moves to another node. docs/design.md, section 6.3, gives the rules.
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
  bool mLeaving = false; // gets no shards and is replaced as a voter
  bool mReader = false;  // reads the table from the store for others

  bool operator==(const OwnershipMember&) const = default;
};

// Test only: each false removes one safety mechanism, to show that the tests notice.
struct OwnershipChecks
{
  bool mRightAtDispatch = true;
  bool mWaitAfterTakeover = true;
  bool mVoterRelease = true;
  bool mEarlierVoterSets = true; // releases from voters older than the previous version's
  bool mVoterIncarnation = true;
  bool mVoterVerification = true;
  bool mFreezeUntilSettled = true; // shards offered in an unsettled write stay frozen
};

struct OwnershipPolicy
{
  using Milliseconds = std::chrono::milliseconds;

  Milliseconds mRightDuration{ 2000 }; // W
  // A takeover waits for W times this. Clocks that are 5% fast and slow differ by 1.05 / 0.95 =
  // 1.105, so 1.10 would not cover them.
  double mClockFactor = 1.15;
  Milliseconds mConfirmPeriod{ 700 };
  // Voters are asked when no reader answered within this. A reader may take up to mReadPeriod.
  Milliseconds mReaderTimeout{ 600 };
  Milliseconds mReadPeriod{ 500 };    // between reads of the store for others
  Milliseconds mReadTimeout{ 2000 };  // a read of the store without a result is given up
  Milliseconds mIdlePeriod{ 5000 };   // table refresh of a node that owns nothing
  Milliseconds mResendPeriod{ 300 };  // resend of release requests and handover chunks
  Milliseconds mAbsenceGrace{ 1000 }; // from the loss of a member to its replacement
  // The same for a member that was never seen: a node that has just started knows few members.
  Milliseconds mUnseenGrace{ 5000 };
  Milliseconds mProposerDelayStep{ 1000 }; // added per rank, so that one node proposes first
  Milliseconds mMinorityDelay{ 30000 };    // for a proposer that sees no majority of the voters
  Milliseconds mRetryDelay{ 500 };         // after a failed read or write, plus up to as much again
  Milliseconds mRebalanceDelay{ 5000 };    // from a change of members to handovers that level load
  Milliseconds mQuiesceTimeout{ 1000 };    // for running keys before a levelling handover
  Milliseconds mDrainTimeout{ 20000 };     // the same on a node that drains
  Milliseconds mHandoverTimeout{ 3000 };   // for one chunk to be accepted
  Milliseconds mVerificationLifetime{ 7'200'000 }; // a voter confirms this long without the store
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

// What a linearizable read of the store returned.
struct StoredTable
{
  TablePtr mTable; // null: the key does not exist
  int64_t mModRevision = 0;
};

enum class ProposalOutcome
{
  Applied,
  Conflict, // certainly not applied
  Unknown,  // may be applied now or later
};

enum class DispatchRight
{
  Granted,
  NoTable,     // the table is not known yet
  NotOwner,    // Owner() names the owner
  Acquiring,   // named as owner, but the previous owner may still dispatch
  HandingOver, // given to another node
  Unconfirmed, // ownership is not confirmed within the window
  KeyOutdated, // the shard was not owned all the time since the key began
};

struct OwnershipStats
{
  uint64_t mReads = 0;
  uint64_t mProposals = 0;
  uint64_t mTakeovers = 0; // shards acquired with the wait
  uint64_t mHandovers = 0; // shards acquired by handover
};

// One per node and service. Call Tick at NextWake() at the latest; after each call, perform
// TakeActions(). Not thread-safe.
class OwnershipCore
{
public:
  OwnershipCore(const Clock& aClock, Random& aRandom, KeyMemory& aMemory, NodeIdentity aSelf,
                OwnershipPolicy aPolicy = {});

  // All members that may own shards or vote, including this node.
  void SetMembers(std::vector<OwnershipMember> aMembers);
  void OnMessage(const OwnershipMessage& aMessage);
  void OnTableRead(uint64_t aId, const Result<StoredTable>& aResult);
  void OnProposalResult(uint64_t aId, ProposalOutcome aOutcome);
  void Tick();

  // Hands all shards over. Running keys are waited for up to mDrainPatience.
  void Drain();
  // No shard is owned any more, according to the latest known table.
  bool Drained() const;

  // To be called immediately before the write to the backend server, once per key that the memory
  // told to execute. Anything but Granted proves that the key was not dispatched: abandon it in the
  // memory and answer not-run.
  DispatchRight ClaimDispatch(const KeyRequest& aRequest);
  // The same for a shard, without a claim.
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
    std::optional<SteadyTime> mAcquireAt; // set when the earlier voters have released
    bool mFrozen = false;                 // part of mHandovers
    uint64_t mStagedHandover = 0;         // handover whose records arrive here
    uint32_t mStagedNext = 0;
    bool mStagedComplete = false;
    std::optional<ShardCutoff> mStagedCutoff;
  };
  struct Round
  {
    SteadyTime mSent;
    TablePtr mTable; // voters asked, null: a reader was asked
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
  void ForgetOldVoters();
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
  std::map<NodeIdentity, SteadyTime> mGoneAt; // absent members of the table
  std::set<std::string> mSeen;                // members of the table that were present
  TablePtr mTable;
  SteadyTime mAdopted;      // when mTable became known
  bool mStoreEmpty = false; // the store was read and holds no table
  bool mDraining = false;

  uint64_t mPromised = 0; // as a voter, confirms no version below
  std::optional<SteadyTime>
    mVersionVerified;                   // start of the latest read that showed the current version
  std::optional<SteadyTime> mConfirmed; // start of the latest round that confirmed the right
  std::vector<Shard> mShards;

  uint64_t mNextId = 1;
  std::map<uint64_t, Round> mRounds;
  SteadyTime mNextConfirm;
  std::optional<uint64_t> mReaderRound; // the latest, while it is not answered
  SteadyTime mReaderDeadline;           // ask the voters then
  bool mReaderFailed = false;
  uint32_t mReaderAttempts = 0;
  SteadyTime mNextRelease;
  std::map<NodeIdentity, uint64_t> mPromises;    // of voters
  std::map<std::string, uint64_t> mIncarnations; // highest that a message came from

  std::vector<PendingRead> mQueuedReads; // wait for a read that has not started
  std::vector<PendingRead> mActiveReads; // wait for the read in progress
  uint64_t mReadId = 0;                  // 0: no read in progress
  SteadyTime mReadStarted;
  SteadyTime mNextRead;

  std::vector<Handover> mHandovers;
  uint64_t mSubmittedVersion =
    0; // version from which a write of mHandovers may take effect, 0: none
  SteadyTime mNextHandover;

  Proposal mProposal = Proposal::Idle;
  uint64_t mProposalId = 0;
  TablePtr mProposed;
  SteadyTime mProposalStarted;
  SteadyTime mNextProposal;
  std::optional<SteadyTime> mChangeNeededSince;
  bool mRecheckNeeded = true;
  SteadyTime mNextGone = SteadyTime::max(); // when the next absent node counts as gone
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
  std::string mSelfLeaving; // name of this node when it drains
  size_t mVoters = 0;
  ShardId mShardCount = 0;
};

// The next table when members require one: shards without a live owner and voters that are gone
// or leaving are replaced. aMoves are added as handovers.
std::optional<OwnershipTable> PlanTable(const PlanInput& aInput,
                                        const std::map<ShardId, ShardOwner>& aMoves);

// Order in which nodes take a role of a service; stable while other nodes come and go.
uint64_t RendezvousHash(std::string_view aService, std::string_view aNode);

} // namespace detail

} // namespace balsammount
