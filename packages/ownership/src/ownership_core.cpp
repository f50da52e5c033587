#include "balsammount/hash.h"

#include "balsammount/ownership.h"

#include <algorithm>

namespace balsammount {

namespace {

// Limit of the requests that wait for a read of the store. A service has fewer owners.
constexpr size_t kMaxQueuedReads = 4096;
constexpr std::chrono::seconds kVoterVerifyPeriod{ 10 };
constexpr std::chrono::milliseconds kQuiescePollInterval{ 20 };
constexpr size_t kMaxRebalanceMoves = 8;

template <class Range, class Predicate>
bool IsMajority(const Range& aVoters, Predicate aPredicate)
{
  return static_cast<size_t>(std::ranges::count_if(aVoters, aPredicate)) * 2 > aVoters.size();
}

} // namespace

OwnershipCore::OwnershipCore(const Clock& aClock, Random& aRandom, KeyMemory& aMemory,
                             NodeIdentity aSelf, OwnershipPolicy aPolicy)
  : mClock(aClock)
  , mRandom(aRandom)
  , mMemory(aMemory)
  , mSelf(std::move(aSelf))
  , mPolicy(aPolicy)
  , mMembersChanged(aClock.Now())
  , mNextWake(aClock.Now())
{
  mShards.resize(mMemory.ShardCount());
  mPolicy.mVoters = std::clamp<size_t>(mPolicy.mVoters, 1, kMaxVoters);
  UpdateOpenShards();
}

Duration OwnershipCore::ScaledForDrift(Duration aDuration) const
{
  return Duration(
    static_cast<int64_t>(static_cast<double>(aDuration.count()) * mPolicy.mClockFactor));
}

Duration OwnershipCore::RetryDelay()
{
  const Duration delay = mPolicy.mRetryDelay;
  return delay + Duration(mRandom.Below(static_cast<uint64_t>(delay.count()) + 1));
}

void OwnershipCore::SetMembers(std::vector<OwnershipMember> aMembers)
{
  if (aMembers == mMembers) {
    return;
  }
  mMembers = std::move(aMembers);
  mMembersChanged = mClock.Now();
  mRecheckNeeded = true;
  UpdateAbsences();
  Run();
}

void OwnershipCore::OnMessage(const OwnershipMessage& aMessage)
{
  HandleMessage(aMessage);
  Run();
}

void OwnershipCore::Tick()
{
  Run();
}

void OwnershipCore::Drain()
{
  if (!mDraining) {
    mDraining = true;
    mDrainStarted = mClock.Now();
    mRecheckNeeded = true;
  }
  Run();
}

bool OwnershipCore::Drained() const
{
  return !OwnsAny();
}

DispatchRight OwnershipCore::RightToDispatch(ShardId aShard) const
{
  if (!mTable) {
    return DispatchRight::NoTable;
  }
  const Shard& shard = mShards.at(aShard);
  if (shard.mState == ShardState::None) {
    return DispatchRight::NotOwner;
  }
  if (shard.mState == ShardState::Acquiring) {
    return DispatchRight::Acquiring;
  }
  if (shard.mFrozen) {
    return DispatchRight::HandingOver;
  }
  const bool confirmed = mConfirmed && mClock.Now() - *mConfirmed < RightDuration();
  if (mPolicy.mChecks.mRightAtDispatch && !confirmed) {
    return DispatchRight::Unconfirmed;
  }
  return DispatchRight::Granted;
}

DispatchRight OwnershipCore::ClaimDispatch(const KeyRequest& aRequest)
{
  const DispatchRight right = RightToDispatch(mMemory.Shard(aRequest.mCaller, aRequest.mKey));
  if (right != DispatchRight::Granted) {
    return right;
  }
  return mMemory.MarkDispatched(aRequest) ? DispatchRight::Granted : DispatchRight::KeyOutdated;
}

// Closes the shards that this node does not own or has frozen. A key that began before its shard
// was acquired was checked against neither the cutoff nor the records.
void OwnershipCore::UpdateOpenShards()
{
  for (ShardId id = 0; id < mShards.size(); ++id) {
    if (mShards[id].mState == ShardState::Owned && !mShards[id].mFrozen) {
      mMemory.OpenShard(id);
    } else {
      mMemory.CloseShard(id);
    }
  }
}

std::optional<NodeIdentity> OwnershipCore::Owner(ShardId aShard) const
{
  if (!mTable || aShard >= mTable->mShards.size() || mTable->mShards[aShard].mOwner.mNode.empty()) {
    return std::nullopt;
  }
  return mTable->mShards[aShard].mOwner;
}

void OwnershipCore::Run()
{
  do {
    auto local = std::exchange(mLocalMessages, {});
    for (const OwnershipMessage& message : local) {
      HandleMessage(message);
    }
    mNextWake = mClock.Now() + std::chrono::hours(1);
    RunReader();
    RunConfirm();
    RunRelease();
    RunAcquire();
    RunHandover();
    RunProposal();
  } while (!mLocalMessages.empty());
}

// Returns true if aTime is reached; otherwise makes the next wake no later than aTime.
bool OwnershipCore::DueOrWakeAt(SteadyTime aTime)
{
  if (aTime <= mClock.Now()) {
    return true;
  }
  mNextWake = std::min(mNextWake, aTime);
  return false;
}

void OwnershipCore::Send(const std::string& aNode, OwnershipBody aBody, uint64_t aToIncarnation)
{
  OwnershipMessage message{ mMemory.ServiceName(), mSelf, aToIncarnation, std::move(aBody) };
  if (aNode == mSelf.mNode) {
    mLocalMessages.push_back(std::move(message));
  } else {
    mActions.emplace_back(SendMessage{ aNode, std::move(message) });
  }
}

void OwnershipCore::HandleMessage(const OwnershipMessage& aMessage)
{
  const bool other = aMessage.mToIncarnation != 0 && aMessage.mToIncarnation != mSelf.mIncarnation;
  if (other || aMessage.mService != mMemory.ServiceName()) {
    return;
  }
  // A message from a new process proves that the old one has ended. Gossip does not prove it.
  uint64_t& incarnation = mIncarnations[aMessage.mFrom.mNode];
  incarnation = std::max(incarnation, aMessage.mFrom.mIncarnation);
  std::visit([&](const auto& aBody) { On(aMessage, aBody); }, aMessage.mBody);
}

// Confirmation.

void OwnershipCore::On(const OwnershipMessage& aMessage, const ConfirmRequest& aBody)
{
  const uint64_t known = mTable ? mTable->mVersion : 0;
  if (aBody.mVersion > known) {
    Send(aMessage.mFrom.mNode, TableRequest{ known }, aMessage.mFrom.mIncarnation);
  }
  ConfirmResponse response{ aBody.mId, ConfirmOutcome::Unavailable, known, nullptr };
  if (aBody.mFromStore) {
    if (IsReader() && mQueuedReads.size() < kMaxQueuedReads) {
      mQueuedReads.push_back({ aMessage.mFrom, aBody });
      return;
    }
  } else {
    response.mOutcome = Vote(aBody.mVersion);
    if (known > aBody.mVersion) {
      response.mTable = mTable;
    }
  }
  Send(aMessage.mFrom.mNode, std::move(response), aMessage.mFrom.mIncarnation);
}

ConfirmOutcome OwnershipCore::Vote(uint64_t aVersion) const
{
  if (aVersion < mPromised) {
    return ConfirmOutcome::Stale;
  }
  if (!mTable || mTable->mVersion != aVersion) {
    return ConfirmOutcome::Unavailable;
  }
  const bool listed = std::ranges::any_of(mTable->mVoters, [&](const NodeIdentity& aVoter) {
    return mPolicy.mChecks.mVoterIncarnation ? aVoter == mSelf : aVoter.mNode == mSelf.mNode;
  });
  // The age of the last verification limits how long an unreachable voter may confirm a version
  // that was replaced; see RunAcquire.
  const bool verified = !mPolicy.mChecks.mVoterVerification ||
                        (mVersionVerified && mClock.Now() - *mVersionVerified <
                                               Duration(mPolicy.mVerificationLifetime));
  return listed && verified ? ConfirmOutcome::Confirmed : ConfirmOutcome::Unavailable;
}

void OwnershipCore::On(const OwnershipMessage& aMessage, const ConfirmResponse& aBody)
{
  if (aBody.mTable) {
    Adopt(aBody.mTable);
  }
  const auto found = mRounds.find(aBody.mId);
  if (found == mRounds.end()) {
    return;
  }
  Round& round = found->second;
  const SteadyTime sent = round.mSent;
  const bool confirmed = aBody.mOutcome == ConfirmOutcome::Confirmed;
  if (round.mTable) {
    const auto voter = [&](const NodeIdentity& aVoter) {
      return mPolicy.mChecks.mVoterIncarnation ? aVoter == aMessage.mFrom
                                               : aVoter.mNode == aMessage.mFrom.mNode;
    };
    if (!confirmed || std::ranges::none_of(round.mTable->mVoters, voter)) {
      return;
    }
    round.mConfirmed.insert(aMessage.mFrom.mNode);
    if (round.mConfirmed.size() * 2 > round.mTable->mVoters.size()) {
      mRounds.erase(found);
      RecordConfirmation(sent);
    }
    return;
  }
  const bool latest = mReaderRound == aBody.mId;
  mRounds.erase(found);
  if (latest) {
    mReaderRound.reset();
    mReaderFailed = !confirmed;
  }
  if (!confirmed) {
    if (latest) {
      ++mReaderAttempts;
      AskVoters();
    }
    return;
  }
  mStoreEmpty = aBody.mVersion == 0 && !mTable;
  if (mTable && aBody.mVersion == mTable->mVersion) {
    mVersionVerified = std::max(mVersionVerified.value_or(sent), sent);
    RecordConfirmation(sent);
  }
}

// A right that was confirmed for an earlier version stays valid for shards that this node still
// owns, because a new owner waits until such rights have expired.
void OwnershipCore::RecordConfirmation(SteadyTime aSent)
{
  mConfirmed = std::max(mConfirmed.value_or(aSent), aSent);
}

void OwnershipCore::RunConfirm()
{
  if (mReaderRound && OwnsAny() && DueOrWakeAt(mReaderDeadline)) {
    mReaderDeadline = SteadyTime::max();
    AskVoters();
  }
  if (!DueOrWakeAt(mNextConfirm)) {
    return;
  }
  const SteadyTime now = mClock.Now();
  std::erase_if(mRounds,
                [&](const auto& aRound) { return aRound.second.mSent + RightDuration() <= now; });
  const bool voter = mTable && std::ranges::find(mTable->mVoters, mSelf) != mTable->mVoters.end();
  const bool renew = voter && (!mVersionVerified || *mVersionVerified + kVoterVerifyPeriod <= now);
  const bool frequent = !mTable || OwnsAny() || renew;
  mNextConfirm = now + (frequent ? mPolicy.mConfirmPeriod : mPolicy.mIdlePeriod);
  if (mReaderRound) {
    mReaderFailed = true;
    ++mReaderAttempts;
  }
  AskReader();
  // Without a valid right, the voters are asked as well, because they respond faster than a reader.
  if (OwnsAny() && (mReaderFailed || !mConfirmed || *mConfirmed + RightDuration() <= now)) {
    AskVoters();
  }
  DueOrWakeAt(mNextConfirm);
  if (mReaderRound) {
    DueOrWakeAt(mReaderDeadline);
  }
}

// If no member is a reader, each node reads the store itself.
bool OwnershipCore::IsReader() const
{
  bool any = false;
  for (const OwnershipMember& member : mMembers) {
    if (member.mReader && member.mIdentity.mNode == mSelf.mNode) {
      return true;
    }
    any = any || member.mReader;
  }
  return !any;
}

std::vector<std::string> OwnershipCore::Readers() const
{
  std::string_view dataCentre;
  std::vector<const OwnershipMember*> readers;
  for (const OwnershipMember& member : mMembers) {
    if (member.mIdentity.mNode == mSelf.mNode) {
      dataCentre = member.mDataCentre;
    }
    if (member.mReader) {
      readers.push_back(&member);
    }
  }
  if (readers.empty()) {
    return { mSelf.mNode };
  }
  // All nodes of the service in a data centre ask the same reader first, so that the number of
  // reads does not grow with the number of nodes.
  std::ranges::sort(readers, {}, [&](const OwnershipMember* aMember) {
    return std::pair(aMember->mDataCentre != dataCentre,
                     detail::RendezvousHash(mMemory.ServiceName(), aMember->mIdentity.mNode));
  });
  std::vector<std::string> names;
  names.reserve(readers.size());
  for (const OwnershipMember* member : readers) {
    names.push_back(member->mIdentity.mNode);
  }
  return names;
}

void OwnershipCore::AskReader()
{
  const auto readers = Readers();
  const uint64_t id = mNextId++;
  const SteadyTime now = mClock.Now();
  mRounds[id] = Round{ now, nullptr, {} };
  mReaderRound = id;
  mReaderDeadline = now + mPolicy.mReaderTimeout;
  Send(readers[mReaderAttempts % readers.size()],
       ConfirmRequest{ id, mTable ? mTable->mVersion : 0, true });
}

void OwnershipCore::AskVoters()
{
  if (!mTable || !OwnsAny()) {
    return;
  }
  const uint64_t id = mNextId++;
  mRounds[id] = Round{ mClock.Now(), mTable, {} };
  for (const NodeIdentity& voter : mTable->mVoters) {
    Send(voter.mNode, ConfirmRequest{ id, mTable->mVersion, false });
  }
}

// Reads of the store for others.

void OwnershipCore::RunReader()
{
  if (mQueuedReads.empty() && mActiveReads.empty()) {
    return;
  }
  const bool running = mReadId != 0 && !DueOrWakeAt(mReadStarted + mPolicy.mReadTimeout);
  if (running || mQueuedReads.empty() || !DueOrWakeAt(mNextRead)) {
    return;
  }
  // All of these requests arrived before this read starts, including those of an abandoned read.
  std::ranges::move(mQueuedReads, std::back_inserter(mActiveReads));
  mQueuedReads.clear();
  mReadId = mNextId++;
  mReadStarted = mClock.Now();
  mNextRead = mReadStarted + mPolicy.mReadPeriod;
  mActions.emplace_back(ReadTable{ mReadId });
  ++mStats.mReads;
}

void OwnershipCore::OnTableRead(uint64_t aId, const Result<StoredTable>& aResult)
{
  if (aResult.has_value() && aResult->mTable) {
    Adopt(aResult->mTable);
  }
  const bool proposal = mProposal == Proposal::Reading && aId == mProposalId;
  const bool reader = mReadId != 0 && aId == mReadId;
  if (aResult.has_value() && (proposal || reader)) {
    const uint64_t version = aResult->mTable ? aResult->mTable->mVersion : 0;
    mStoreEmpty = version == 0 && !mTable;
    if (mTable && version == mTable->mVersion) {
      const SteadyTime started = proposal ? mProposalStarted : mReadStarted;
      mVersionVerified = std::max(mVersionVerified.value_or(started), started);
    }
  }
  if (proposal) {
    FinishProposalRead(aResult);
  }
  if (reader) {
    mReadId = 0;
    for (const PendingRead& read : std::exchange(mActiveReads, {})) {
      ConfirmResponse response{ read.mRequest.mId, ConfirmOutcome::Unavailable, 0, nullptr };
      if (aResult.has_value()) {
        response.mOutcome = ConfirmOutcome::Confirmed;
        response.mVersion = aResult->mTable ? aResult->mTable->mVersion : 0;
        if (response.mVersion > read.mRequest.mVersion) {
          response.mTable = aResult->mTable;
        }
      }
      Send(read.mFrom.mNode, std::move(response), read.mFrom.mIncarnation);
    }
  }
  Run();
}

// Tables.

void OwnershipCore::On(const OwnershipMessage& aMessage, const TableRequest& aBody)
{
  if (mTable && mTable->mVersion > aBody.mVersion) {
    Send(aMessage.mFrom.mNode, TableResponse{ mTable }, aMessage.mFrom.mIncarnation);
  }
}

void OwnershipCore::On(const OwnershipMessage& /*aMessage*/, const TableResponse& aBody)
{
  Adopt(aBody.mTable);
}

void OwnershipCore::Adopt(const TablePtr& aTable)
{
  // The number of shards must match, because it determines the shard of a key.
  if (!aTable || aTable->mService != mMemory.ServiceName() ||
      aTable->mShards.size() != mShards.size() ||
      (mTable && aTable->mVersion <= mTable->mVersion)) {
    return;
  }
  mTable = aTable;
  mAdopted = mClock.Now();
  mStoreEmpty = false;
  mPromised = std::max(mPromised, aTable->mVersion);
  for (ShardId id = 0; id < aTable->mShards.size(); ++id) {
    AdoptShard(id, aTable->mShards[id]);
  }
  UpdateHandovers();
  UpdateOpenShards();
  mRecheckNeeded = true;
  UpdateAbsences();
  EraseOldVoters();
}

// Promises and incarnations are only needed for the voters in the table.
void OwnershipCore::EraseOldVoters()
{
  std::set<std::string> names;
  for (const EarlierVoters& set : mTable->mEarlierVoters) {
    for (const NodeIdentity& voter : set.mVoters) {
      names.insert(voter.mNode);
    }
  }
  for (const NodeIdentity& voter : mTable->mVoters) {
    names.insert(voter.mNode);
  }
  std::erase_if(mPromises, [&](const auto& aEntry) { return !names.contains(aEntry.first.mNode); });
  std::erase_if(mIncarnations, [&](const auto& aEntry) { return !names.contains(aEntry.first); });
}

void OwnershipCore::AdoptShard(ShardId aShard, const ShardOwner& aEntry)
{
  Shard& shard = mShards[aShard];
  if (aEntry.mOwner != mSelf) {
    shard.mState = ShardState::None;
    shard.mFrozen = false;
    return;
  }
  if (shard.mState != ShardState::None && shard.mSinceVersion == aEntry.mSinceVersion) {
    return;
  }
  mMemory.CloseShard(aShard); // it may have been lost and regained between the two versions
  shard.mSinceVersion = aEntry.mSinceVersion;
  shard.mAdoptedAt = mClock.Now();
  shard.mAcquireAt.reset();
  shard.mFrozen = false;
  shard.mState = ShardState::Acquiring;
  mNextRelease = mClock.Now();
  mNextConfirm = mClock.Now();
  if (aEntry.mSinceVersion == 1) {
    shard.mState = ShardState::Owned; // the first version has no previous owner
  } else if (aEntry.mHandover != 0 && shard.mStagedHandover == aEntry.mHandover &&
             shard.mStagedComplete) {
    // The previous owner stopped dispatching before this version was written.
    shard.mState = ShardState::Owned;
    if (shard.mStagedCutoff) {
      mMemory.SetCutoff(aShard, *shard.mStagedCutoff);
    }
    ++mStats.mHandovers;
  }
}

// Takeover.

void OwnershipCore::On(const OwnershipMessage& aMessage, const ReleaseRequest& aBody)
{
  mPromised = std::max(mPromised, aBody.mVersion);
  if (!mTable || mTable->mVersion < aBody.mVersion) {
    Send(aMessage.mFrom.mNode, TableRequest{ mTable ? mTable->mVersion : 0 },
         aMessage.mFrom.mIncarnation);
  }
  Send(aMessage.mFrom.mNode, ReleaseResponse{ mPromised }, aMessage.mFrom.mIncarnation);
}

void OwnershipCore::On(const OwnershipMessage& aMessage, const ReleaseResponse& aBody)
{
  uint64_t& promised = mPromises[aMessage.mFrom];
  if (aBody.mPromised > promised) {
    promised = aBody.mPromised;
    mRecheckNeeded = true;
  }
}

bool OwnershipCore::IsReleased(const EarlierVoters& aSet) const
{
  return !mPolicy.mChecks.mVoterRelease ||
         IsMajority(aSet.mVoters, [&](const NodeIdentity& aVoter) {
           const auto promise = mPromises.find(aVoter);
           if (promise != mPromises.end() && promise->second > aSet.mLast) {
             return true;
           }
           const auto incarnation = mIncarnations.find(aVoter.mNode);
           return incarnation != mIncarnations.end() && incarnation->second > aVoter.mIncarnation;
         });
}

bool OwnershipCore::AllReleased() const
{
  return std::ranges::all_of(mTable->mEarlierVoters, [&](const EarlierVoters& aSet) {
    const bool previous = aSet.mLast + 1 == mTable->mVersion;
    return (!previous && !mPolicy.mChecks.mEarlierVoterSets) || IsReleased(aSet);
  });
}

void OwnershipCore::RunRelease()
{
  if (!mTable) {
    return;
  }
  const bool acquiring = std::ranges::any_of(mShards, [](const Shard& aShard) {
    return aShard.mState == ShardState::Acquiring && !aShard.mAcquireAt;
  });
  // The first tables of a service list few voters. Until such a set is dropped, the loss of one of
  // its voters blocks every takeover. Releases are therefore requested even without a takeover.
  const bool pending =
    std::ranges::any_of(mTable->mEarlierVoters, [this](const EarlierVoters& aSet) {
      return aSet.mVoters != mTable->mVoters;
    });
  if ((!acquiring && !pending) || !DueOrWakeAt(mNextRelease)) {
    return;
  }
  mNextRelease = mClock.Now() + mPolicy.mResendPeriod;
  DueOrWakeAt(mNextRelease);
  // Without a takeover, only the first proposer requests releases. Releases clear the list of
  // earlier voter sets, which would otherwise fill up and prevent changes of the voters.
  if (!acquiring && ProposerDelay() != Duration(0)) {
    return;
  }
  for (const EarlierVoters& set : mTable->mEarlierVoters) {
    if (IsReleased(set)) {
      continue;
    }
    for (const NodeIdentity& voter : set.mVoters) {
      const auto promise = mPromises.find(voter);
      if (promise == mPromises.end() || promise->second <= set.mLast) {
        Send(voter.mNode, ReleaseRequest{ mTable->mVersion });
      }
    }
  }
}

void OwnershipCore::RunAcquire()
{
  for (ShardId id = 0; id < mShards.size(); ++id) {
    Shard& shard = mShards[id];
    if (shard.mState != ShardState::Acquiring) {
      continue;
    }
    if (!shard.mAcquireAt) {
      // A majority that is lost permanently never releases. Waiting for the verification lifetime
      // replaces its release: voters confirm an earlier version only until their verification of
      // it expires, and they verified it before this version was written.
      if (!AllReleased() &&
          !DueOrWakeAt(shard.mAdoptedAt + ScaledForDrift(mPolicy.mVerificationLifetime))) {
        continue;
      }
      shard.mAcquireAt =
        mClock.Now() +
        (mPolicy.mChecks.mWaitAfterTakeover ? ScaledForDrift(RightDuration()) : Duration(0));
    }
    if (DueOrWakeAt(*shard.mAcquireAt)) {
      shard.mState = ShardState::Owned;
      mMemory.SetCutoff(id);
      mMemory.OpenShard(id);
      ++mStats.mTakeovers;
    }
  }
}

bool OwnershipCore::OwnsAny() const
{
  return std::ranges::any_of(mShards,
                             [](const Shard& aShard) { return aShard.mState != ShardState::None; });
}

// Members.

void OwnershipCore::UpdateAbsences()
{
  mNextGone = SteadyTime::max();
  if (!mTable) {
    return;
  }
  std::map<NodeIdentity, SteadyTime> gone;
  std::set<std::string> seen;
  const auto check = [&](const NodeIdentity& aNode) {
    if (aNode.mNode.empty()) {
      return;
    }
    const bool present = std::ranges::any_of(mMembers, [&](const OwnershipMember& aMember) {
      return aMember.mIdentity.mNode == aNode.mNode;
    });
    const bool known = present || mSeen.contains(aNode.mNode);
    if (known) {
      seen.insert(aNode.mNode);
    }
    if (present) {
      return;
    }
    const auto old = mGoneAt.find(aNode);
    const Duration grace = known ? mPolicy.mAbsenceGrace : mPolicy.mUnseenGrace;
    const SteadyTime at = old == mGoneAt.end() ? mClock.Now() + grace : old->second;
    gone.emplace(aNode, at);
    if (at > mClock.Now()) {
      mNextGone = std::min(mNextGone, at);
    }
  };
  for (const ShardOwner& shard : mTable->mShards) {
    check(shard.mOwner);
  }
  std::ranges::for_each(mTable->mVoters, check);
  mGoneAt = std::move(gone);
  mSeen = std::move(seen);
}

bool OwnershipCore::IsGone(const NodeIdentity& aNode) const
{
  if (aNode.mNode == mSelf.mNode) {
    return aNode.mIncarnation < mSelf.mIncarnation;
  }
  for (const OwnershipMember& member : mMembers) {
    if (member.mIdentity.mNode == aNode.mNode) {
      return aNode.mIncarnation < member.mIdentity.mIncarnation;
    }
  }
  const auto absent = mGoneAt.find(aNode);
  return absent != mGoneAt.end() && absent->second <= mClock.Now();
}

bool OwnershipCore::IsLeaving() const
{
  return mDraining || std::ranges::any_of(mMembers, [&](const OwnershipMember& aMember) {
           return aMember.mIdentity == mSelf && aMember.mLeaving;
         });
}

// Proposers that see no majority of the voters wait longer; see ProposerDelay. Otherwise two sides
// of a partition that both reach the store would repeatedly take over each other's shards.
bool OwnershipCore::SeesVoterMajority() const
{
  return !mTable || IsMajority(mTable->mVoters, [&](const NodeIdentity& aVoter) {
    return std::ranges::any_of(mMembers, [&](const OwnershipMember& aMember) {
      return aMember.mIdentity.mNode == aVoter.mNode;
    });
  });
}

Duration OwnershipCore::ProposerDelay() const
{
  constexpr int64_t kMaxPosition = 4;
  const uint64_t own = detail::RendezvousHash(mMemory.ServiceName(), mSelf.mNode);
  int64_t position = 0;
  for (const OwnershipMember& member : mMembers) {
    if (member.mServes && !member.mLeaving && member.mIdentity.mNode != mSelf.mNode &&
        detail::RendezvousHash(mMemory.ServiceName(), member.mIdentity.mNode) < own) {
      ++position;
    }
  }
  const Duration step = mPolicy.mProposerDelayStep;
  const Duration minority = SeesVoterMajority() ? Duration(0) : Duration(mPolicy.mMinorityDelay);
  return step * std::min(position, kMaxPosition) + minority;
}

// Proposals.

std::optional<OwnershipTable> OwnershipCore::NextTable() const
{
  std::map<ShardId, ShardOwner> moves;
  if (HandoverReady()) {
    for (const Handover& handover : mHandovers) {
      if (handover.mStep == HandoverStep::Accepted) {
        moves[handover.mShard] = { handover.mTarget, 0, handover.mId };
      }
    }
  }
  const detail::PlanInput input{ mMemory.ServiceName(),
                                 mTable.get(),
                                 mMembers,
                                 [this](const NodeIdentity& aNode) { return IsGone(aNode); },
                                 [this](const EarlierVoters& aSet) { return IsReleased(aSet); },
                                 mDraining ? mSelf.mNode : std::string(),
                                 mPolicy.mVoters,
                                 mMemory.ShardCount() };
  return detail::PlanTable(input, moves);
}

void OwnershipCore::RunProposal()
{
  if (mProposal != Proposal::Idle) {
    if (!DueOrWakeAt(mProposalStarted + mPolicy.mReadTimeout * 2)) {
      return;
    }
    mProposal = Proposal::Idle; // no result arrived
  }
  if (DueOrWakeAt(mNextGone)) {
    UpdateAbsences();
    DueOrWakeAt(mNextGone);
    mRecheckNeeded = true;
  }
  if (mRecheckNeeded) {
    mRecheckNeeded = false;
    const bool serves = std::ranges::any_of(mMembers, [&](const OwnershipMember& aMember) {
      return aMember.mIdentity.mNode == mSelf.mNode && aMember.mServes;
    });
    const bool need = serves && (mTable || mStoreEmpty) && NextTable().has_value();
    mChangeNeededSince =
      need ? std::optional(mChangeNeededSince.value_or(mClock.Now())) : std::nullopt;
  }
  const bool due = HandoverReady() || mSubmittedVersion != 0 ||
                   (mChangeNeededSince && DueOrWakeAt(*mChangeNeededSince + ProposerDelay()));
  if (!due || !DueOrWakeAt(mNextProposal)) {
    return;
  }
  mProposal = Proposal::Reading;
  mProposalId = mNextId++;
  mProposalStarted = mClock.Now();
  DueOrWakeAt(mProposalStarted + mPolicy.mReadTimeout * 2);
  mActions.emplace_back(ReadTable{ mProposalId });
  ++mStats.mReads;
}

void OwnershipCore::FinishProposalRead(const Result<StoredTable>& aResult)
{
  mProposal = Proposal::Idle;
  mRecheckNeeded = true;
  if (!aResult.has_value()) {
    mNextProposal = mClock.Now() + RetryDelay();
    if (mSubmittedVersion == 0 && HandoverReady()) {
      std::ranges::for_each(mHandovers, [this](Handover& aHandover) { Abort(aHandover); });
    }
    return;
  }
  // A store that has lost the table or was restored to an earlier one must not be written to.
  const uint64_t stored = aResult->mTable ? aResult->mTable->mVersion : 0;
  if (stored != (mTable ? mTable->mVersion : 0)) {
    mNextProposal = mClock.Now() + RetryDelay();
    return;
  }
  auto next = NextTable();
  if (!next) {
    return;
  }
  if (HandoverReady()) {
    mSubmittedVersion = stored;
  }
  mProposal = Proposal::Writing;
  mProposalId = mNextId++;
  mProposalStarted = mClock.Now();
  mProposed = std::make_shared<const OwnershipTable>(std::move(*next));
  mActions.emplace_back(ProposeTable{ mProposalId, aResult->mModRevision, mProposed });
  ++mStats.mProposals;
}

void OwnershipCore::OnProposalResult(uint64_t aId, ProposalOutcome aOutcome)
{
  if (mProposal == Proposal::Writing && aId == mProposalId) {
    mProposal = Proposal::Idle;
    mRecheckNeeded = true;
    if (aOutcome == ProposalOutcome::Applied) {
      Adopt(mProposed);
      Announce(*mProposed);
    } else {
      mNextProposal = mClock.Now() + RetryDelay();
      if (!mPolicy.mChecks.mFreezeUntilSettled) {
        mSubmittedVersion = 0;
        std::ranges::for_each(mHandovers, [this](Handover& aHandover) { Abort(aHandover); });
      }
    }
  }
  Run();
}

// Sends the table to new owners and voters, which would otherwise receive it with their next
// confirmation.
void OwnershipCore::Announce(const OwnershipTable& aTable)
{
  std::set<std::string> names;
  for (const ShardOwner& shard : aTable.mShards) {
    if (shard.mSinceVersion == aTable.mVersion && !shard.mOwner.mNode.empty()) {
      names.insert(shard.mOwner.mNode);
    }
  }
  for (const NodeIdentity& voter : aTable.mVoters) {
    names.insert(voter.mNode);
  }
  names.erase(mSelf.mNode);
  for (const std::string& name : names) {
    Send(name, TableResponse{ mTable });
  }
}

// Handover.

std::map<NodeIdentity, size_t> OwnershipCore::Loads() const
{
  std::map<NodeIdentity, size_t> loads;
  for (const OwnershipMember& member : mMembers) {
    if (member.mServes && !member.mLeaving && member.mIdentity.mNode != mSelf.mNode) {
      loads.emplace(member.mIdentity, 0);
    }
  }
  for (const ShardOwner& shard : mTable->mShards) {
    if (auto found = loads.find(shard.mOwner); found != loads.end()) {
      ++found->second;
    }
  }
  return loads;
}

NodeIdentity OwnershipCore::LeastLoaded(std::map<NodeIdentity, size_t>& aLoad) const
{
  auto least = std::ranges::min_element(aLoad, {}, [&](const auto& aEntry) {
    return std::pair(aEntry.second,
                     detail::RendezvousHash(mMemory.ServiceName(), aEntry.first.mNode));
  });
  ++least->second;
  return least->first;
}

void OwnershipCore::RunHandover()
{
  if (mHandovers.empty()) {
    StartHandover();
  }
  for (Handover& handover : mHandovers) {
    AdvanceHandover(handover);
  }
  const bool allAborted = std::ranges::all_of(
    mHandovers, [](const Handover& aHandover) { return aHandover.mStep == HandoverStep::Aborted; });
  if (allAborted && !mHandovers.empty() && mSubmittedVersion == 0) {
    mHandovers.clear();
    mNextHandover = mClock.Now() + RetryDelay();
    DueOrWakeAt(mNextHandover);
  }
}

void OwnershipCore::StartHandover()
{
  const SteadyTime now = mClock.Now();
  if (!mTable || !OwnsAny() || !DueOrWakeAt(mNextHandover)) {
    return;
  }
  const bool leaving = IsLeaving();
  if (!leaving) {
    // Rebalancing requires a reachable store, because a shard stays frozen while the outcome of the
    // write that hands it over is unknown.
    const bool storeReachable = mVersionVerified && now - *mVersionVerified < RightDuration();
    if (!storeReachable || !DueOrWakeAt(mMembersChanged + mPolicy.mRebalanceDelay)) {
      return;
    }
  }
  std::vector<ShardId> idle;
  std::vector<ShardId> busy;
  size_t own = 0;
  for (ShardId id = 0; id < mTable->mShards.size(); ++id) {
    own += mShards[id].mState != ShardState::None ? 1 : 0;
    if (mShards[id].mState == ShardState::Owned) {
      (mMemory.Running(id) == 0 ? idle : busy).push_back(id);
    }
  }
  auto loads = Loads();
  mNextHandover = now + RetryDelay();
  if (loads.empty()) {
    return;
  }
  const size_t least =
    std::ranges::min_element(loads, {}, [](const auto& aEntry) { return aEntry.second; })->second;
  size_t moves = leaving ? own : std::min(kMaxRebalanceMoves, own > least ? (own - least) / 2 : 0);
  // Shards with running keys are handed over separately, because they would delay the others.
  std::vector<ShardId>& chosen = idle.empty() ? busy : idle;
  for (ShardId id : chosen) {
    if (moves-- == 0) {
      break;
    }
    Shard& shard = mShards[id];
    shard.mFrozen = true;
    mMemory.CloseShard(id);
    Handover handover;
    handover.mShard = id;
    handover.mSinceVersion = shard.mSinceVersion;
    handover.mTarget = LeastLoaded(loads);
    handover.mId = (mRandom.Next() >> 12U) | 1U;
    handover.mStarted = now;
    mHandovers.push_back(std::move(handover));
  }
  DueOrWakeAt(mNextHandover);
}

void OwnershipCore::AdvanceHandover(Handover& aHandover)
{
  if (aHandover.mStep == HandoverStep::Quiescing) {
    const SteadyTime started = mDraining ? mDrainStarted : aHandover.mStarted;
    const bool mayWait =
      !DueOrWakeAt(started + (mDraining ? mPolicy.mDrainTimeout : mPolicy.mQuiesceTimeout));
    if (mMemory.Running(aHandover.mShard) != 0 && mayWait) {
      DueOrWakeAt(mClock.Now() + kQuiescePollInterval);
      return;
    }
    if (mMemory.Running(aHandover.mShard) != 0 && !IsLeaving()) {
      Abort(aHandover);
      return;
    }
    PackChunks(aHandover);
    aHandover.mStep = HandoverStep::Sending;
    aHandover.mLastProgress = mClock.Now();
    SendChunk(aHandover);
  }
  if (aHandover.mStep == HandoverStep::Sending) {
    if (DueOrWakeAt(aHandover.mLastProgress + mPolicy.mHandoverTimeout)) {
      Abort(aHandover);
    } else if (DueOrWakeAt(aHandover.mSent + mPolicy.mResendPeriod)) {
      SendChunk(aHandover);
    }
  }
}

void OwnershipCore::PackChunks(Handover& aHandover)
{
  aHandover.mCutoff = mMemory.Cutoff(aHandover.mShard);
  aHandover.mChunks.emplace_back();
  size_t bytes = 0;
  for (KeyRecord& record : mMemory.Export(aHandover.mShard)) {
    const size_t size = record.Bytes();
    if (bytes + size > mPolicy.mChunkBytes && !aHandover.mChunks.back().empty()) {
      aHandover.mChunks.emplace_back();
      bytes = 0;
    }
    bytes += size;
    aHandover.mChunks.back().push_back(std::move(record));
  }
}

void OwnershipCore::SendChunk(Handover& aHandover)
{
  aHandover.mSent = mClock.Now();
  DueOrWakeAt(aHandover.mSent + mPolicy.mResendPeriod);
  Send(aHandover.mTarget.mNode,
       HandoverChunk{ aHandover.mId, aHandover.mShard, aHandover.mNext,
                      aHandover.mNext + 1 == aHandover.mChunks.size(), aHandover.mCutoff,
                      aHandover.mChunks[aHandover.mNext] },
       aHandover.mTarget.mIncarnation);
}

// Must not be called once a write with the handover was submitted: the write may still take effect,
// so the shard stays frozen until a later version is known.
void OwnershipCore::Abort(Handover& aHandover)
{
  aHandover.mStep = HandoverStep::Aborted;
  mShards[aHandover.mShard].mFrozen = false;
  UpdateOpenShards();
}

bool OwnershipCore::HandoverReady() const
{
  bool any = false;
  for (const Handover& handover : mHandovers) {
    any = any || handover.mStep == HandoverStep::Accepted;
    if (handover.mStep == HandoverStep::Quiescing || handover.mStep == HandoverStep::Sending) {
      return false;
    }
  }
  return any;
}

// Called after a table was adopted.
void OwnershipCore::UpdateHandovers()
{
  if (mSubmittedVersion != 0 && mTable->mVersion > mSubmittedVersion) {
    // The write took effect or never will, so shards that are still owned here may be used again.
    for (const Handover& handover : mHandovers) {
      mShards[handover.mShard].mFrozen = false;
    }
    mHandovers.clear();
    mSubmittedVersion = 0;
    mNextHandover = mClock.Now() + RetryDelay();
    return;
  }
  for (Handover& handover : mHandovers) {
    const Shard& shard = mShards[handover.mShard];
    if (shard.mState != ShardState::Owned || shard.mSinceVersion != handover.mSinceVersion) {
      Abort(handover);
    }
  }
}

void OwnershipCore::On(const OwnershipMessage& aMessage, const HandoverChunk& aBody)
{
  if (aBody.mShard >= mShards.size()) {
    return;
  }
  Shard& shard = mShards[aBody.mShard];
  if (shard.mStagedHandover != aBody.mHandover) {
    if (aBody.mIndex != 0) {
      return;
    }
    shard.mStagedHandover = aBody.mHandover;
    shard.mStagedNext = 0;
    shard.mStagedComplete = false;
  }
  HandoverResponse response{ aBody.mHandover, aBody.mShard, aBody.mIndex, !IsLeaving() };
  if (response.mAccepted && aBody.mIndex == shard.mStagedNext && !shard.mStagedComplete) {
    response.mAccepted = mMemory.Import(aBody.mRecords).has_value();
    if (response.mAccepted) {
      ++shard.mStagedNext;
      shard.mStagedCutoff = aBody.mCutoff;
      shard.mStagedComplete = aBody.mLast;
    }
  } else if (aBody.mIndex > shard.mStagedNext) {
    return;
  }
  Send(aMessage.mFrom.mNode, response, aMessage.mFrom.mIncarnation);
}

void OwnershipCore::On(const OwnershipMessage& /*aMessage*/, const HandoverResponse& aBody)
{
  for (Handover& handover : mHandovers) {
    if (handover.mId != aBody.mHandover || handover.mStep != HandoverStep::Sending ||
        handover.mNext != aBody.mIndex) {
      continue;
    }
    if (!aBody.mAccepted) {
      Abort(handover);
      return;
    }
    ++handover.mNext;
    handover.mLastProgress = mClock.Now();
    if (handover.mNext == handover.mChunks.size()) {
      handover.mStep = HandoverStep::Accepted;
      handover.mChunks.clear();
    } else {
      SendChunk(handover);
    }
  }
}

} // namespace balsammount
