#include "balsammount/membership.h"

#include "gossip_queue.h"
#include "suspicion.h"
#include "token_bucket.h"
#include "wire.h"

#include "balsammount/hash.h"

#include <algorithm>
#include <array>
#include <deque>
#include <map>
#include <set>
#include <utility>

namespace balsammount {

using namespace detail;

namespace {

constexpr size_t kMaxRelays = 64;
constexpr size_t kMaxVerifyQueue = 1024;
constexpr size_t kSyncDigestEntries = 80; // about 1 KB
constexpr size_t kMaxSyncReplyDatagrams = 4;
// After this many received records for one range, the next range follows soon.
constexpr size_t kSyncCatchUpRecords = 10;
constexpr size_t kContactsPerAttempt = 3;
constexpr int kContactAttempts = 3;
constexpr Duration kCleanupInterval = std::chrono::seconds(10);
constexpr Duration kForwardInterval = std::chrono::seconds(5); // between claims about one member
constexpr Duration kRelayTimeout = std::chrono::milliseconds(400);
constexpr uint32_t kMaxPausePenalty = 3;

// A start further in the future is a fault and would make the id unusable until that time.
constexpr int64_t kMaxStartAheadMs = 24 * 3600 * 1000LL;

uint64_t HashOfId(std::string_view aId)
{
  return Hash64(aId);
}

int64_t Millis(WallTime aTime)
{
  return std::chrono::duration_cast<std::chrono::milliseconds>(aTime.time_since_epoch()).count();
}

bool IsLive(const MemberRecord& aRecord)
{
  return aRecord.mState != MemberState::Dead;
}

// The state of a member that is neither suspected nor dead.
MemberState UnsuspectedState(const MemberRecord& aRecord)
{
  return aRecord.mLeaving ? MemberState::Leaving : MemberState::Alive;
}

bool SameExceptRevision(MemberRecord aLeft, const MemberRecord& aRight)
{
  aLeft.mRevision = aRight.mRevision;
  aLeft.mIncarnation = aRight.mIncarnation;
  return aLeft == aRight;
}

bool SameAttributes(const MemberRecord& aLeft, const MemberRecord& aRight)
{
  return SameExceptRevision(aLeft, aRight) && aLeft.mRevision == aRight.mRevision;
}

} // namespace

class Membership::Impl
{
public:
  Impl(const Clock& aClock, Random& aRandom, MembershipSettings aSettings, MemberRecord aSelf);

  std::vector<Datagram> Tick();
  Result<std::vector<Datagram>> Receive(const Endpoint& aFrom, std::span<const uint8_t> aBytes);
  SteadyTime NextWake() const;
  void Join(std::vector<Endpoint> aContacts);
  void Leave();
  void UpdateSelf(const SelfUpdate& aUpdate);
  const MemberRecord& Self() const { return mSelf->mRecord; }
  std::vector<MemberRecord> Members() const;
  size_t Count() const { return mLive.size() + 1; }
  const MemberRecord* Find(std::string_view aId) const;
  std::vector<MemberEvent> TakeEvents() { return std::exchange(mEvents, {}); }
  RevisionHolder HighestRevision() const;
  bool IsContactCandidate(size_t aCount) const;
  bool Superseded() const { return mSuperseded; }
  MembershipStats Stats() const;

private:
  struct Entry
  {
    MemberRecord mRecord;
    uint32_t mReporter = 0;
    bool mGossipFullRecord = false; // members may not know the process yet
    int64_t mDeadAtMs = 0;
    SteadyTime mClaimForwardedAt{}; // when a claim about the member was last forwarded to it
  };

  struct Probe
  {
    uint64_t mIdHash = 0;
    uint64_t mSequence = 0;
    SteadyTime mIndirectAt;
    bool mIndirect = false;
    uint32_t mNacksExpected = 0;
    uint32_t mNacks = 0;
  };

  struct Relay
  {
    uint64_t mSequence = 0;
    Endpoint mRequester;
    uint64_t mRequesterSequence = 0;
    SteadyTime mDeadline;
  };

  // Time and health score.
  void UpdateTime();
  void PostponeTimers(Duration aLate);
  void AdjustHealthScore(int aDelta);
  Duration ScaledByHealth(Duration aTime) const { return aTime * (1 + mHealthScore); }

  // Records.
  Entry* FindEntry(uint64_t aIdHash);
  enum class Form
  {
    Short,
    Full,
  };
  RecordUpdate MakeUpdate(const Entry& aEntry, Form aForm) const;
  void ApplyShort(const RecordUpdate& aUpdate);
  void Apply(const RecordUpdate& aUpdate);
  void ApplyToSelf(const RecordUpdate& aUpdate);
  void Insert(uint64_t aIdHash, const RecordUpdate& aUpdate);
  void Replace(uint64_t aIdHash, Entry& aEntry, const RecordUpdate& aUpdate);
  void ApplyNewer(uint64_t aIdHash, Entry& aEntry, const RecordUpdate& aUpdate);
  void ApplyEqual(uint64_t aIdHash, Entry& aEntry, const RecordUpdate& aUpdate);
  void VerifyDeadClaim(uint64_t aIdHash, Entry& aEntry);
  void SetState(uint64_t aIdHash, Entry& aEntry, MemberState aState);
  void StartSuspicion(uint64_t aIdHash, Entry& aEntry, uint32_t aReporter);
  void ConfirmSuspicion(uint64_t aIdHash, Entry& aEntry, uint32_t aReporter);
  void MarkDead(uint64_t aIdHash, Entry& aEntry, int64_t aDeadAtMs);
  void AddLive(uint64_t aIdHash);
  void RemoveLive(uint64_t aIdHash);
  void RaiseIncarnation();
  void LearnRevision(uint64_t aRevision, const std::string& aHolder);
  void EmitEvent(MemberEventKind aKind, const Entry& aEntry)
  {
    mEvents.push_back({ aKind, aEntry.mRecord });
  }
  SuspicionTimes CurrentSuspicionTimes() const;
  int32_t RetransmitLimit() const;
  void QueueGossip(uint64_t aIdHash, int32_t aSent = 0, Form aForm = Form::Short);
  void QueueRevisionGossip(uint64_t aIdHash);

  // Messages.
  Message NewMessage(MessageType aType, uint64_t aSequence) const;
  size_t Send(const Endpoint& aTo, Message aMessage, std::span<const uint64_t> aFirst,
              Form aForm = Form::Short);
  void SendTo(const Entry& aEntry, Message aMessage);
  bool AttachRecord(Message& aMessage, uint64_t aIdHash, Form aForm, size_t& aSize);
  void SendPing(const Entry& aEntry, uint64_t aSequence);
  void Handle(const Endpoint& aFrom, const Message& aMessage);
  void OnPing(const Endpoint& aFrom, const Message& aMessage);
  void OnPingRequest(const Endpoint& aFrom, const Message& aMessage);
  void OnAck(const Message& aMessage);
  void OnNack(const Message& aMessage);
  void OnSync(const Endpoint& aFrom, const Message& aMessage);
  void OnSyncReply(const Endpoint& aFrom, const Message& aMessage);

  // Timers.
  void TickProbe();
  void StartProbe();
  void ProbeIndirectly();
  void FailProbe();
  std::optional<uint64_t> NextProbeTarget();
  void TickRelays();
  void TickSuspicions();
  void TickGossip();
  void TickSync();
  void TickDeadProbe();
  void TickJoin();
  void TickCleanup();
  bool GossipPending() const
  {
    return !mLive.empty() && (!mQueue.Empty() || mRevisionSendsLeft > 0);
  }

  // Synchronization of the member list.
  Message SyncRequest();
  void SendRecords(const Endpoint& aTo, Message aLast, const std::vector<uint64_t>& aIdHashes);
  std::vector<uint64_t> RandomLiveMembers(size_t aCount, uint64_t aExcept);

  const Clock& mClock;
  Random& mRandom;
  const MembershipSettings mSettings;
  const uint32_t mCluster;
  uint64_t mSelfIdHash = 0;
  Entry* mSelf = nullptr;

  std::map<uint64_t, Entry> mEntries; // by hash of the id; includes this node
  std::vector<uint64_t> mLive;        // not dead; excludes this node
  std::set<uint64_t> mDead;
  std::map<uint64_t, Suspicion> mSuspicions;
  std::vector<MemberEvent> mEvents;
  GossipQueue mQueue;
  TokenBucket mGossipBudget;
  TokenBucket mSyncBudget;

  uint64_t mHighestRevision = 0; // configuration revision
  std::string mHolder;
  int32_t mRevisionSendsLeft = 0;

  SteadyTime mNow;
  std::optional<SteadyTime> mExpectedWake;
  uint32_t mHealthScore = 0;
  uint64_t mSequence = 0;
  std::optional<Probe> mProbe;
  std::vector<uint64_t> mProbeOrder;
  size_t mProbeIndex = 0;
  std::deque<uint64_t> mVerifyQueue; // reported dead by others
  bool mVerifyTurn = false;
  std::vector<Relay> mRelays;

  uint64_t mSyncCursor = 0;
  uint64_t mSyncHigh = 0;
  uint64_t mSyncSequence = 0; // 0 without an outstanding request
  size_t mSyncReceivedRecords = 0;

  std::vector<Endpoint> mContacts;
  int mContactAttempts = 0;

  SteadyTime mNextProbe;
  SteadyTime mNextGossip;
  SteadyTime mNextSync;
  SteadyTime mNextDeadProbe;
  SteadyTime mNextJoin;
  SteadyTime mNextCleanup;

  bool mSuperseded = false;
  MembershipStats mStats;
  std::vector<Datagram> mOutgoing;
};

Membership::Impl::Impl(const Clock& aClock, Random& aRandom, MembershipSettings aSettings,
                       MemberRecord aSelf)
  : mClock(aClock)
  , mRandom(aRandom)
  , mSettings(std::move(aSettings))
  , mCluster(ClusterHash(mSettings.mCluster))
  , mSelfIdHash(HashOfId(aSelf.mId))
  , mGossipBudget(mSettings.mGossipBytesPerSecond, mSettings.mGossipBurst)
  , mSyncBudget(mSettings.mSyncBytesPerSecond, mSettings.mSyncBurst)
  , mNow(aClock.Now())
{
  if (aSelf.mStartMs == 0) {
    aSelf.mStartMs = Millis(aClock.WallNow());
  }
  aSelf.mState = UnsuspectedState(aSelf);
  mHighestRevision = aSelf.mRevision;
  // Responses to an earlier process on the same endpoint must not match.
  mSequence = mRandom.Below(UINT32_MAX / 2);
  Entry entry;
  entry.mRecord = std::move(aSelf);
  mSelf = &mEntries.emplace(mSelfIdHash, std::move(entry)).first->second;
  QueueGossip(mSelfIdHash, 0, Form::Full);
  // Timers start at random times, so that nodes that start together do not act in step.
  const auto randomTimeWithin = [&](Duration aInterval) {
    return mNow + Duration(static_cast<Duration::rep>(
                    mRandom.Below(static_cast<uint64_t>(aInterval.count()))));
  };
  mNextProbe = randomTimeWithin(mSettings.mProbePeriod);
  mNextGossip = mNow;
  mNextSync = randomTimeWithin(mSettings.mSyncInterval);
  mNextDeadProbe = randomTimeWithin(mSettings.mDeadProbeInterval);
  mNextJoin = mNow;
  mNextCleanup = randomTimeWithin(kCleanupInterval);
}

// --- Time and health score

void Membership::Impl::UpdateTime()
{
  mNow = mClock.Now();
  if (mExpectedWake && mNow > *mExpectedWake + mSettings.mTimerTolerance) {
    PostponeTimers(mNow - *mExpectedWake);
  }
}

// Handles a pause of this process. Acks that it has not read yet or could not request during the
// pause must not count against other members.
void Membership::Impl::PostponeTimers(Duration aLate)
{
  ++mStats.mLateTimers;
  const auto periods = static_cast<uint64_t>(aLate / mSettings.mProbePeriod);
  AdjustHealthScore(static_cast<int>(1 + std::min<uint64_t>(periods, kMaxPausePenalty - 1)));
  mProbe.reset();
  mRelays.clear();
  for (auto& [idHash, suspicion] : mSuspicions) {
    suspicion.Extend(aLate);
  }
  for (SteadyTime* timer :
       { &mNextProbe, &mNextGossip, &mNextSync, &mNextDeadProbe, &mNextJoin, &mNextCleanup }) {
    *timer = std::max(*timer, mNow);
  }
}

void Membership::Impl::AdjustHealthScore(int aDelta)
{
  const int score = static_cast<int>(mHealthScore) + aDelta;
  mHealthScore =
    static_cast<uint32_t>(std::clamp(score, 0, static_cast<int>(mSettings.mMaxHealthScore)));
}

SuspicionTimes Membership::Impl::CurrentSuspicionTimes() const
{
  const double scale = std::max(1.0, std::log10(static_cast<double>(Count())));
  const auto times = [&](double aFactor) {
    return std::chrono::duration_cast<Duration>(
      std::chrono::duration<double, std::nano>(mSettings.mProbePeriod) * scale * aFactor);
  };
  // Only members other than the suspect and this node can confirm.
  const auto others = static_cast<uint32_t>(std::min<size_t>(mLive.size(), UINT32_MAX));
  return { times(mSettings.mSuspicionFactor),
           times(mSettings.mSuspicionFactor * mSettings.mMaxSuspicionFactor),
           others == 0 ? 0 : std::min(mSettings.mRequiredConfirmations, others - 1) };
}

int32_t Membership::Impl::RetransmitLimit() const
{
  return static_cast<int32_t>(
    std::ceil(mSettings.mRetransmitFactor * std::log10(static_cast<double>(Count()) + 1)));
}

// --- Records

Membership::Impl::Entry* Membership::Impl::FindEntry(uint64_t aIdHash)
{
  const auto found = mEntries.find(aIdHash);
  return found == mEntries.end() ? nullptr : &found->second;
}

RecordUpdate Membership::Impl::MakeUpdate(const Entry& aEntry, Form aForm) const
{
  RecordUpdate update{ aEntry.mRecord, aEntry.mReporter, aEntry.mDeadAtMs, std::nullopt };
  if (aForm == Form::Short) {
    update.mIdHash = HashOfId(aEntry.mRecord.mId);
  }
  return update;
}

// A record that is queued in full form is sent in that form until all its transmissions are done,
// because members may not know its process yet.
void Membership::Impl::QueueGossip(uint64_t aIdHash, int32_t aSent, Form aForm)
{
  Entry& entry = *FindEntry(aIdHash);
  entry.mGossipFullRecord =
    aForm == Form::Full || (entry.mGossipFullRecord && mQueue.Contains(aIdHash));
  mQueue.Push(aIdHash, aSent);
}

void Membership::Impl::AddLive(uint64_t aIdHash)
{
  mLive.push_back(aIdHash);
  std::swap(mLive.back(), mLive[mRandom.Below(mLive.size())]);
  // Inserts the member at a random position in the rest of the current probe round.
  mProbeOrder.push_back(aIdHash);
  const size_t left = mProbeOrder.size() - std::min(mProbeIndex, mProbeOrder.size() - 1);
  std::swap(mProbeOrder.back(), mProbeOrder[mProbeOrder.size() - 1 - mRandom.Below(left)]);
}

void Membership::Impl::RemoveLive(uint64_t aIdHash)
{
  const auto found = std::find(mLive.begin(), mLive.end(), aIdHash);
  if (found != mLive.end()) {
    std::swap(*found, mLive.back());
    mLive.pop_back();
  }
}

void Membership::Impl::SetState(uint64_t aIdHash, Entry& aEntry, MemberState aState)
{
  const bool wasLive = IsLive(aEntry.mRecord);
  aEntry.mRecord.mState = aState;
  const bool live = IsLive(aEntry.mRecord);
  if (aState != MemberState::Suspect) {
    mSuspicions.erase(aIdHash);
  }
  if (wasLive && !live) {
    RemoveLive(aIdHash);
    mDead.insert(aIdHash);
  } else if (!wasLive && live) {
    mDead.erase(aIdHash);
    AddLive(aIdHash);
  }
}

// Completes the record from the known one. Unknown processes are learned by synchronization.
void Membership::Impl::ApplyShort(const RecordUpdate& aUpdate)
{
  const Entry* entry = FindEntry(*aUpdate.mIdHash);
  if (entry == nullptr || static_cast<uint32_t>(entry->mRecord.mStartMs) !=
                            static_cast<uint32_t>(aUpdate.mRecord.mStartMs)) {
    return;
  }
  const MemberRecord& given = aUpdate.mRecord;
  RecordUpdate update{ entry->mRecord, aUpdate.mReporter, aUpdate.mDeadAtMs, std::nullopt };
  update.mRecord.mIncarnation = given.mIncarnation;
  update.mRecord.mState = given.mState;
  update.mRecord.mLeaving = given.mLeaving;
  update.mRecord.mAvailable = given.mAvailable;
  update.mRecord.mRevision = given.mRevision;
  Apply(update);
}

void Membership::Impl::Apply(const RecordUpdate& aUpdate)
{
  if (aUpdate.mIdHash) {
    ApplyShort(aUpdate);
    return;
  }
  if (aUpdate.mRecord.mStartMs > Millis(mClock.WallNow()) + kMaxStartAheadMs) {
    ++mStats.mFutureStarts;
    return;
  }
  const uint64_t idHash = HashOfId(aUpdate.mRecord.mId);
  if (idHash == mSelfIdHash) {
    ApplyToSelf(aUpdate);
    return;
  }
  Entry* entry = FindEntry(idHash);
  if (entry == nullptr) {
    Insert(idHash, aUpdate);
    return;
  }
  const MemberRecord& known = entry->mRecord;
  const MemberRecord& record = aUpdate.mRecord;
  if (record.mStartMs > known.mStartMs) {
    Replace(idHash, *entry, aUpdate);
  } else if (record.mStartMs == known.mStartMs && record.mIncarnation > known.mIncarnation) {
    ApplyNewer(idHash, *entry, aUpdate);
  } else if (record.mStartMs == known.mStartMs && record.mIncarnation == known.mIncarnation) {
    ApplyEqual(idHash, *entry, aUpdate);
  }
}

void Membership::Impl::ApplyToSelf(const RecordUpdate& aUpdate)
{
  MemberRecord& self = mSelf->mRecord;
  const MemberRecord& record = aUpdate.mRecord;
  if (record.mId != self.mId) {
    return;
  }
  if (record.mStartMs < self.mStartMs) {
    QueueGossip(mSelfIdHash, 0, Form::Full);
    return;
  }
  const bool newer = record.mStartMs > self.mStartMs ||
                     (record.mStartMs == self.mStartMs && record.mIncarnation > self.mIncarnation);
  if (newer && record.mPeer != self.mPeer) {
    mSuperseded = true;
    return;
  }
  if (newer) {
    // The record is of an earlier process on this endpoint whose wall clock was ahead.
    self.mStartMs = std::max(self.mStartMs, record.mStartMs) + 1;
    RaiseIncarnation();
    QueueGossip(mSelfIdHash, 0, Form::Full);
    return;
  }
  if (record.mIncarnation == self.mIncarnation &&
      (record.mState == MemberState::Suspect || record.mState == MemberState::Dead)) {
    ++mStats.mRefutations;
    AdjustHealthScore(1);
    RaiseIncarnation();
  }
}

void Membership::Impl::RaiseIncarnation()
{
  ++mSelf->mRecord.mIncarnation;
  QueueGossip(mSelfIdHash, mSelf->mRecord.mLeaving ? -RetransmitLimit() : 0);
}

void Membership::Impl::Insert(uint64_t aIdHash, const RecordUpdate& aUpdate)
{
  const int64_t now = Millis(mClock.WallNow());
  const bool dead = !IsLive(aUpdate.mRecord);
  const auto retention =
    std::chrono::duration_cast<std::chrono::milliseconds>(mSettings.mDeadRetention);
  if (dead && aUpdate.mDeadAtMs + retention.count() <= now) {
    return;
  }
  if (dead ? mDead.size() >= mSettings.mMaxDead : mLive.size() >= mSettings.mMaxMembers) {
    ++mStats.mDroppedRecords;
    return;
  }
  Entry& entry = mEntries[aIdHash];
  entry.mRecord = aUpdate.mRecord;
  if (dead) {
    entry.mDeadAtMs = std::min(aUpdate.mDeadAtMs, now);
    mDead.insert(aIdHash);
    return;
  }
  AddLive(aIdHash);
  QueueGossip(aIdHash, 0, Form::Full);
  const bool suspect = entry.mRecord.mState == MemberState::Suspect;
  if (suspect) {
    entry.mRecord.mState = UnsuspectedState(entry.mRecord);
  }
  EmitEvent(MemberEventKind::Joined, entry);
  if (suspect) {
    StartSuspicion(aIdHash, entry, aUpdate.mReporter);
  }
}

// Applies the record of a later process with the same id.
void Membership::Impl::Replace(uint64_t aIdHash, Entry& aEntry, const RecordUpdate& aUpdate)
{
  const bool wasLive = IsLive(aEntry.mRecord);
  const MemberState state = aUpdate.mRecord.mState;
  MemberRecord record = aUpdate.mRecord;
  record.mState = aEntry.mRecord.mState;
  aEntry.mRecord = std::move(record);
  aEntry.mClaimForwardedAt = {};
  if (state == MemberState::Dead) {
    if (wasLive) {
      MarkDead(aIdHash, aEntry, aUpdate.mDeadAtMs);
    } else {
      aEntry.mDeadAtMs = std::min(aUpdate.mDeadAtMs, Millis(mClock.WallNow()));
    }
    return;
  }
  SetState(aIdHash, aEntry,
           state == MemberState::Suspect ? UnsuspectedState(aEntry.mRecord) : state);
  QueueGossip(aIdHash, 0, Form::Full);
  EmitEvent(MemberEventKind::Joined, aEntry);
  if (state == MemberState::Suspect) {
    StartSuspicion(aIdHash, aEntry, aUpdate.mReporter);
  }
}

// Applies a record of the same process with a higher incarnation.
void Membership::Impl::ApplyNewer(uint64_t aIdHash, Entry& aEntry, const RecordUpdate& aUpdate)
{
  const MemberRecord before = aEntry.mRecord;
  const MemberState state = aUpdate.mRecord.mState;
  MemberRecord record = aUpdate.mRecord;
  record.mState = before.mState;
  aEntry.mRecord = std::move(record);
  if (state == MemberState::Dead && before.mState == MemberState::Dead) {
    aEntry.mDeadAtMs = std::min(aUpdate.mDeadAtMs, Millis(mClock.WallNow()));
    return;
  }
  const bool claimed = state == MemberState::Dead || state == MemberState::Suspect;
  MemberState next = state;
  if (claimed) {
    next = UnsuspectedState(aEntry.mRecord);
  }
  SetState(aIdHash, aEntry, next);
  if (before.mState == MemberState::Dead) {
    EmitEvent(MemberEventKind::Joined, aEntry);
    QueueGossip(aIdHash);
  } else if (!SameAttributes(before, aEntry.mRecord)) {
    EmitEvent(MemberEventKind::Changed, aEntry);
  }
  if (state == MemberState::Suspect) {
    StartSuspicion(aIdHash, aEntry, aUpdate.mReporter);
  } else if (state == MemberState::Dead) {
    VerifyDeadClaim(aIdHash, aEntry);
  } else if (before.mState != MemberState::Dead && before.mRevision != aEntry.mRecord.mRevision &&
             SameExceptRevision(before, aEntry.mRecord)) {
    QueueRevisionGossip(aIdHash);
  } else {
    QueueGossip(aIdHash, aEntry.mRecord.mLeaving ? -RetransmitLimit() : 0);
  }
}

void Membership::Impl::ApplyEqual(uint64_t aIdHash, Entry& aEntry, const RecordUpdate& aUpdate)
{
  const MemberState known = aEntry.mRecord.mState;
  const MemberState state = aUpdate.mRecord.mState;
  if (known == MemberState::Dead) {
    return;
  }
  if (state == MemberState::Suspect) {
    if (known == MemberState::Suspect) {
      ConfirmSuspicion(aIdHash, aEntry, aUpdate.mReporter);
    } else {
      StartSuspicion(aIdHash, aEntry, aUpdate.mReporter);
    }
  } else if (state == MemberState::Dead) {
    // The shortest suspicion time must have passed on this node, too. After a short partition,
    // suspicions and dead claims from the other side arrive together, before the refutations.
    const auto suspicion = mSuspicions.find(aIdHash);
    if (suspicion == mSuspicions.end()) {
      VerifyDeadClaim(aIdHash, aEntry);
      return;
    }
    suspicion->second.ConfirmDead();
    if (mNow >= suspicion->second.Deadline()) {
      MarkDead(aIdHash, aEntry, aUpdate.mDeadAtMs);
    }
  }
}

// Handles another member's claim that a member is dead, if this node does not suspect it. Queues a
// probe of the member and forwards the claim to it.
void Membership::Impl::VerifyDeadClaim(uint64_t aIdHash, Entry& aEntry)
{
  if (aEntry.mClaimForwardedAt != SteadyTime{} &&
      mNow < aEntry.mClaimForwardedAt + kForwardInterval) {
    return;
  }
  aEntry.mClaimForwardedAt = mNow;
  if (mVerifyQueue.size() < kMaxVerifyQueue &&
      std::find(mVerifyQueue.begin(), mVerifyQueue.end(), aIdHash) == mVerifyQueue.end()) {
    mVerifyQueue.push_back(aIdHash);
  }
  Message ping = NewMessage(MessageType::Ping, ++mSequence);
  ping.mTarget = aEntry.mRecord.mId;
  RecordUpdate claim = MakeUpdate(aEntry, Form::Short);
  claim.mRecord.mState = MemberState::Dead;
  claim.mDeadAtMs = Millis(mClock.WallNow());
  ping.mRecords.push_back(std::move(claim));
  Send(aEntry.mRecord.mPeer, std::move(ping), {});
}

void Membership::Impl::StartSuspicion(uint64_t aIdHash, Entry& aEntry, uint32_t aReporter)
{
  SetState(aIdHash, aEntry, MemberState::Suspect);
  aEntry.mReporter = aReporter;
  mSuspicions.insert_or_assign(aIdHash, Suspicion(mNow, CurrentSuspicionTimes(), aReporter));
  QueueGossip(aIdHash, 1); // refutations go first
  EmitEvent(MemberEventKind::Suspect, aEntry);
}

void Membership::Impl::ConfirmSuspicion(uint64_t aIdHash, Entry& aEntry, uint32_t aReporter)
{
  const auto suspicion = mSuspicions.find(aIdHash);
  if (suspicion != mSuspicions.end() && suspicion->second.Confirm(aReporter)) {
    aEntry.mReporter = aReporter;
    QueueGossip(aIdHash, RetransmitLimit() / 2);
  }
}

void Membership::Impl::MarkDead(uint64_t aIdHash, Entry& aEntry, int64_t aDeadAtMs)
{
  SetState(aIdHash, aEntry, MemberState::Dead);
  aEntry.mDeadAtMs = std::min(aDeadAtMs, Millis(mClock.WallNow()));
  QueueGossip(aIdHash);
  EmitEvent(aEntry.mRecord.mLeaving ? MemberEventKind::Left : MemberEventKind::Dead, aEntry);
}

void Membership::Impl::QueueRevisionGossip(uint64_t aIdHash)
{
  const auto transmits = static_cast<int32_t>(mSettings.mRevisionTransmissions);
  QueueGossip(aIdHash, std::max(0, RetransmitLimit() - transmits));
}

void Membership::Impl::LearnRevision(uint64_t aRevision, const std::string& aHolder)
{
  if (aRevision > mHighestRevision) {
    mHighestRevision = aRevision;
    mHolder = aHolder;
    mRevisionSendsLeft = 2 * RetransmitLimit();
  } else if (aRevision == mHighestRevision && !aHolder.empty()) {
    mHolder = aHolder;
  }
}

// --- Messages

Message Membership::Impl::NewMessage(MessageType aType, uint64_t aSequence) const
{
  const MemberRecord& self = mSelf->mRecord;
  Message message;
  message.mType = aType;
  message.mSequence = aSequence;
  message.mFrom = self.mId;
  message.mRevision = mHighestRevision;
  if (mHighestRevision != 0) {
    message.mHolder = self.mRevision == mHighestRevision ? self.mId : mHolder;
  }
  return message;
}

bool Membership::Impl::AttachRecord(Message& aMessage, uint64_t aIdHash, Form aForm, size_t& aSize)
{
  const Entry* entry = FindEntry(aIdHash);
  if (entry == nullptr) {
    return true;
  }
  const bool attached =
    std::any_of(aMessage.mRecords.begin(), aMessage.mRecords.end(), [&](const auto& aUpdate) {
      return aUpdate.mIdHash ? *aUpdate.mIdHash == aIdHash
                             : aUpdate.mRecord.mId == entry->mRecord.mId;
    });
  if (attached) {
    return true;
  }
  RecordUpdate update = MakeUpdate(*entry, entry->mGossipFullRecord ? Form::Full : aForm);
  const size_t size = EncodedSize(update);
  if (aSize + size > kMaxMembershipDatagram) {
    return false;
  }
  aSize += size;
  aMessage.mRecords.push_back(std::move(update));
  return true;
}

// Adds the records in aFirst and then queued ones, as many as fit. Returns the size of the
// datagram.
size_t Membership::Impl::Send(const Endpoint& aTo, Message aMessage,
                              std::span<const uint64_t> aFirst, Form aForm)
{
  constexpr size_t kArrayHeader = 4;
  size_t size = Encode(aMessage, mCluster).size() + kArrayHeader;
  for (const uint64_t idHash : aFirst) {
    AttachRecord(aMessage, idHash, aForm, size);
  }
  if (aMessage.mType != MessageType::SyncReply) {
    mQueue.Take(RetransmitLimit(), [&](uint64_t aIdHash) {
      return AttachRecord(aMessage, aIdHash, Form::Short, size);
    });
  }
  mOutgoing.push_back({ aTo, Encode(aMessage, mCluster) });
  return mOutgoing.back().mBytes.size();
}

// Attaches the member's own record first if the member is suspect or dead, so that it can refute.
void Membership::Impl::SendTo(const Entry& aEntry, Message aMessage)
{
  const bool suspectOrDead =
    aEntry.mRecord.mState == MemberState::Suspect || !IsLive(aEntry.mRecord);
  const std::array<uint64_t, 2> first = { HashOfId(aEntry.mRecord.mId), mSelfIdHash };
  Send(aEntry.mRecord.mPeer, std::move(aMessage),
       suspectOrDead ? std::span<const uint64_t>(first) : std::span<const uint64_t>());
}

void Membership::Impl::SendPing(const Entry& aEntry, uint64_t aSequence)
{
  Message ping = NewMessage(MessageType::Ping, aSequence);
  ping.mTarget = aEntry.mRecord.mId;
  SendTo(aEntry, std::move(ping));
}

Result<std::vector<Datagram>> Membership::Impl::Receive(const Endpoint& aFrom,
                                                        std::span<const uint8_t> aBytes)
{
  auto message = Decode(aBytes, mCluster);
  if (message.has_error()) {
    ++mStats.mRejected;
    return message.error();
  }
  if (message->mFrom == mSelf->mRecord.mId) {
    return std::vector<Datagram>{};
  }
  UpdateTime();
  LearnRevision(message->mRevision, message->mHolder);
  for (const RecordUpdate& update : message->mRecords) {
    Apply(update);
  }
  Handle(aFrom, *message);
  mExpectedWake = std::max(NextWake(), mNow);
  return std::exchange(mOutgoing, {});
}

void Membership::Impl::Handle(const Endpoint& aFrom, const Message& aMessage)
{
  switch (aMessage.mType) {
    case MessageType::Ping:
      OnPing(aFrom, aMessage);
      break;
    case MessageType::PingRequest:
      OnPingRequest(aFrom, aMessage);
      break;
    case MessageType::Ack:
      OnAck(aMessage);
      break;
    case MessageType::Nack:
      OnNack(aMessage);
      break;
    case MessageType::Sync:
      OnSync(aFrom, aMessage);
      break;
    case MessageType::SyncReply:
      OnSyncReply(aFrom, aMessage);
      break;
    case MessageType::Gossip:
      break;
  }
}

void Membership::Impl::OnPing(const Endpoint& aFrom, const Message& aMessage)
{
  const MemberRecord& self = mSelf->mRecord;
  if (aMessage.mTarget != self.mId) {
    return;
  }
  // The ack starts with this node's record if the ping contains a claim about it, and with the
  // sender's record if the sender is suspect or dead here.
  std::vector<uint64_t> first;
  const bool mentionsSelf =
    std::any_of(aMessage.mRecords.begin(), aMessage.mRecords.end(),
                [&](const auto& aUpdate) { return aUpdate.mIdHash == mSelfIdHash; });
  if (mentionsSelf) {
    first.push_back(mSelfIdHash);
  }
  const uint64_t sender = HashOfId(aMessage.mFrom);
  const Entry* entry = FindEntry(sender);
  if (entry != nullptr &&
      (entry->mRecord.mState == MemberState::Suspect || !IsLive(entry->mRecord))) {
    first.push_back(sender);
  }
  Send(aFrom, NewMessage(MessageType::Ack, aMessage.mSequence), first);
}

void Membership::Impl::OnPingRequest(const Endpoint& aFrom, const Message& aMessage)
{
  if (mRelays.size() >= kMaxRelays) {
    return;
  }
  mRelays.push_back({ ++mSequence, aFrom, aMessage.mSequence, mNow + kRelayTimeout });
  Message ping = NewMessage(MessageType::Ping, mSequence);
  ping.mTarget = aMessage.mTarget;
  Send(aMessage.mTargetEndpoint, std::move(ping), {});
}

void Membership::Impl::OnAck(const Message& aMessage)
{
  if (mProbe && mProbe->mSequence == aMessage.mSequence) {
    mProbe.reset();
    AdjustHealthScore(-1);
    return;
  }
  const auto relay = std::find_if(mRelays.begin(), mRelays.end(), [&](const Relay& aRelay) {
    return aRelay.mSequence == aMessage.mSequence;
  });
  if (relay != mRelays.end()) {
    const Relay done = *relay;
    mRelays.erase(relay);
    Send(done.mRequester, NewMessage(MessageType::Ack, done.mRequesterSequence), {});
  }
}

void Membership::Impl::OnNack(const Message& aMessage)
{
  if (mProbe && mProbe->mSequence == aMessage.mSequence) {
    ++mProbe->mNacks;
  }
}

// --- Timers

std::vector<Datagram> Membership::Impl::Tick()
{
  UpdateTime();
  TickSuspicions();
  TickProbe();
  TickRelays();
  TickJoin();
  TickSync();
  TickDeadProbe();
  TickCleanup();
  TickGossip();
  mExpectedWake = std::max(NextWake(), mNow);
  return std::exchange(mOutgoing, {});
}

SteadyTime Membership::Impl::NextWake() const
{
  SteadyTime wake = mNextCleanup;
  const auto wakeBy = [&](SteadyTime aTime) { wake = std::min(wake, aTime); };
  if (!mLive.empty()) {
    wakeBy(mNextProbe);
    wakeBy(mNextSync);
  }
  if (mProbe && !mProbe->mIndirect) {
    wakeBy(mProbe->mIndirectAt);
  }
  for (const Relay& relay : mRelays) {
    wakeBy(relay.mDeadline);
  }
  for (const auto& [idHash, suspicion] : mSuspicions) {
    wakeBy(suspicion.Deadline());
  }
  if (GossipPending()) {
    wakeBy(mNextGossip);
  }
  if (!mDead.empty()) {
    wakeBy(mNextDeadProbe);
  }
  if (!mContacts.empty() && (mContactAttempts > 0 || mLive.empty())) {
    wakeBy(mNextJoin);
  }
  return wake;
}

void Membership::Impl::TickProbe()
{
  if (mProbe && !mProbe->mIndirect && mNow >= mProbe->mIndirectAt) {
    ProbeIndirectly();
  }
  if (mNow < mNextProbe) {
    return;
  }
  FailProbe();
  StartProbe();
  mNextProbe = mNow + ScaledByHealth(mSettings.mProbePeriod);
}

std::optional<uint64_t> Membership::Impl::NextProbeTarget()
{
  mVerifyTurn = !mVerifyTurn;
  while (mVerifyTurn && !mVerifyQueue.empty()) {
    const uint64_t idHash = mVerifyQueue.front();
    mVerifyQueue.pop_front();
    const Entry* entry = FindEntry(idHash);
    if (entry != nullptr && IsLive(entry->mRecord)) {
      return idHash;
    }
  }
  for (int round = 0; round < 2; ++round) {
    while (mProbeIndex < mProbeOrder.size()) {
      const uint64_t idHash = mProbeOrder[mProbeIndex++];
      const Entry* entry = FindEntry(idHash);
      if (entry != nullptr && IsLive(entry->mRecord)) {
        return idHash;
      }
    }
    mProbeOrder = mLive;
    mProbeIndex = 0;
    for (size_t i = mProbeOrder.size(); i > 1; --i) {
      std::swap(mProbeOrder[i - 1], mProbeOrder[mRandom.Below(i)]);
    }
  }
  return std::nullopt;
}

void Membership::Impl::StartProbe()
{
  const auto target = NextProbeTarget();
  if (!target) {
    return;
  }
  ++mStats.mProbes;
  mProbe =
    Probe{ *target, ++mSequence, mNow + ScaledByHealth(mSettings.mProbeTimeout), false, 0, 0 };
  SendPing(*FindEntry(*target), mProbe->mSequence);
}

// Also repeats the direct ping, because a missing ack is most often due to one lost datagram.
void Membership::Impl::ProbeIndirectly()
{
  mProbe->mIndirect = true;
  const Entry* target = FindEntry(mProbe->mIdHash);
  if (target == nullptr) {
    return;
  }
  SendPing(*target, mProbe->mSequence);
  for (const uint64_t idHash : RandomLiveMembers(mSettings.mIndirectProbes, mProbe->mIdHash)) {
    Message request = NewMessage(MessageType::PingRequest, mProbe->mSequence);
    request.mTarget = target->mRecord.mId;
    request.mTargetEndpoint = target->mRecord.mPeer;
    SendTo(*FindEntry(idHash), std::move(request));
    ++mProbe->mNacksExpected;
  }
}

void Membership::Impl::FailProbe()
{
  if (!mProbe) {
    return;
  }
  const Probe probe = *std::exchange(mProbe, std::nullopt);
  ++mStats.mFailedProbes;
  // Missing nacks from the relays suggest that this node's own connection is at fault.
  const auto missed =
    static_cast<int>(probe.mNacksExpected - std::min(probe.mNacks, probe.mNacksExpected));
  AdjustHealthScore(probe.mNacksExpected == 0 ? 1 : missed);
  Entry* entry = FindEntry(probe.mIdHash);
  if (entry == nullptr || !IsLive(entry->mRecord)) {
    return;
  }
  const auto reporter = static_cast<uint32_t>(mSelfIdHash);
  if (entry->mRecord.mState == MemberState::Suspect) {
    ConfirmSuspicion(probe.mIdHash, *entry, reporter);
  } else {
    StartSuspicion(probe.mIdHash, *entry, reporter);
  }
}

void Membership::Impl::TickRelays()
{
  for (size_t i = 0; i < mRelays.size();) {
    if (mNow < mRelays[i].mDeadline) {
      ++i;
      continue;
    }
    const Relay relay = mRelays[i];
    mRelays.erase(mRelays.begin() + static_cast<ptrdiff_t>(i));
    Send(relay.mRequester, NewMessage(MessageType::Nack, relay.mRequesterSequence), {});
  }
}

void Membership::Impl::TickSuspicions()
{
  std::vector<uint64_t> expired;
  for (const auto& [idHash, suspicion] : mSuspicions) {
    if (mNow >= suspicion.Deadline()) {
      expired.push_back(idHash);
    }
  }
  for (const uint64_t idHash : expired) {
    MarkDead(idHash, *FindEntry(idHash), Millis(mClock.WallNow()));
  }
}

void Membership::Impl::TickGossip()
{
  if (!GossipPending() || mNow < mNextGossip) {
    return;
  }
  mNextGossip = mNow + mSettings.mGossipInterval;
  if (!mGossipBudget.HasTokens(mNow)) {
    return;
  }
  for (const uint64_t idHash : RandomLiveMembers(mSettings.mGossipFanout, mSelfIdHash)) {
    if (!GossipPending()) {
      break;
    }
    const Entry& entry = *FindEntry(idHash);
    mGossipBudget.Consume(
      Send(entry.mRecord.mPeer, NewMessage(MessageType::Gossip, ++mSequence), {}));
    mRevisionSendsLeft = std::max(0, mRevisionSendsLeft - 1);
  }
}

// Probes a random dead member, so that the sides of a partition find each other again.
void Membership::Impl::TickDeadProbe()
{
  if (mDead.empty() || mNow < mNextDeadProbe) {
    return;
  }
  mNextDeadProbe = mNow + mSettings.mDeadProbeInterval;
  auto it = mDead.lower_bound(mRandom.Next());
  for (size_t i = 0; i < mDead.size(); ++i, ++it) {
    if (it == mDead.end()) {
      it = mDead.begin();
    }
    const Entry& entry = *FindEntry(*it);
    if (!entry.mRecord.mLeaving) {
      SendPing(entry, ++mSequence);
      return;
    }
  }
}

void Membership::Impl::TickCleanup()
{
  if (mNow < mNextCleanup) {
    return;
  }
  mNextCleanup = mNow + kCleanupInterval;
  const auto retention =
    std::chrono::duration_cast<std::chrono::milliseconds>(mSettings.mDeadRetention);
  const int64_t oldest = Millis(mClock.WallNow()) - retention.count();
  for (auto dead = mDead.begin(); dead != mDead.end();) {
    if (FindEntry(*dead)->mDeadAtMs > oldest) {
      ++dead;
      continue;
    }
    mQueue.Remove(*dead);
    mEntries.erase(*dead);
    dead = mDead.erase(dead);
  }
}

std::vector<uint64_t> Membership::Impl::RandomLiveMembers(size_t aCount, uint64_t aExcept)
{
  std::vector<uint64_t> selected;
  // A member may be drawn repeatedly. This number of draws usually suffices, even in a small
  // cluster.
  for (size_t draws = 4 * aCount; draws > 0 && selected.size() < aCount && !mLive.empty();
       --draws) {
    const uint64_t idHash = mLive[mRandom.Below(mLive.size())];
    if (idHash != aExcept &&
        std::find(selected.begin(), selected.end(), idHash) == selected.end()) {
      selected.push_back(idHash);
    }
  }
  return selected;
}

// --- Synchronization of the member list

namespace {

// Excludes suspicions, because they are temporary.
uint32_t DigestVersion(const MemberRecord& aRecord)
{
  const uint64_t state = aRecord.mIncarnation << 1U | (IsLive(aRecord) ? 0U : 1U);
  return static_cast<uint32_t>(HashCombine(static_cast<uint64_t>(aRecord.mStartMs), state));
}

} // namespace

// Creates a request with the digest of the next range of the list.
Message Membership::Impl::SyncRequest()
{
  mSyncSequence = ++mSequence;
  mSyncReceivedRecords = 0;
  Message message = NewMessage(MessageType::Sync, mSyncSequence);
  message.mLow = mSyncCursor;
  message.mHigh = UINT64_MAX;
  for (auto it = mEntries.lower_bound(mSyncCursor); it != mEntries.end(); ++it) {
    if (message.mDigest.size() == kSyncDigestEntries) {
      message.mHigh = it->first - 1;
      break;
    }
    message.mDigest.push_back({ it->first, DigestVersion(it->second.mRecord) });
  }
  mSyncHigh = message.mHigh;
  return message;
}

void Membership::Impl::TickSync()
{
  if (mLive.empty() || mNow < mNextSync) {
    return;
  }
  mNextSync = mNow + mSettings.mSyncInterval;
  const auto partner = RandomLiveMembers(1, mSelfIdHash);
  if (partner.empty() || !mSyncBudget.HasTokens(mNow)) {
    return;
  }
  mSyncBudget.Consume(Send(FindEntry(partner.front())->mRecord.mPeer, SyncRequest(), {}));
}

// Sends the records in as many datagrams as needed, the last of which is aLast.
void Membership::Impl::SendRecords(const Endpoint& aTo, Message aLast,
                                   const std::vector<uint64_t>& aIdHashes)
{
  constexpr size_t kArrayHeader = 4;
  Message message = NewMessage(aLast.mType, aLast.mSequence);
  const size_t empty = Encode(message, mCluster).size() + kArrayHeader;
  size_t size = empty;
  for (const uint64_t idHash : aIdHashes) {
    if (!AttachRecord(message, idHash, Form::Full, size)) {
      mSyncBudget.Consume(
        Send(aTo, std::exchange(message, NewMessage(aLast.mType, aLast.mSequence)), {}));
      size = empty;
      AttachRecord(message, idHash, Form::Full, size);
    }
  }
  const size_t lastSize = Encode(aLast, mCluster).size();
  if (size + lastSize > kMaxMembershipDatagram) {
    mSyncBudget.Consume(Send(aTo, std::move(message), {}));
  } else {
    aLast.mRecords = std::move(message.mRecords);
  }
  mSyncBudget.Consume(Send(aTo, std::move(aLast), {}));
}

void Membership::Impl::OnSync(const Endpoint& aFrom, const Message& aMessage)
{
  if (aMessage.mLow > aMessage.mHigh || !mSyncBudget.HasTokens(mNow)) {
    return;
  }
  std::map<uint64_t, uint32_t> remoteVersions;
  for (const DigestEntry& entry : aMessage.mDigest) {
    if (entry.mIdHash >= aMessage.mLow && entry.mIdHash <= aMessage.mHigh) {
      remoteVersions.emplace(entry.mIdHash, entry.mVersion);
    }
  }
  Message last = NewMessage(MessageType::SyncReply, aMessage.mSequence);
  last.mThrough = aMessage.mHigh;
  std::vector<uint64_t> idHashes;
  size_t bytes = 0;
  for (auto it = mEntries.lower_bound(aMessage.mLow);
       it != mEntries.end() && it->first <= aMessage.mHigh; ++it) {
    const auto remote = remoteVersions.find(it->first);
    const bool missing = remote == remoteVersions.end();
    const bool differs = !missing && remote->second != DigestVersion(it->second.mRecord);
    if (missing || differs) {
      bytes += EncodedSize(MakeUpdate(it->second, Form::Full));
      if (bytes > kMaxSyncReplyDatagrams * (kMaxMembershipDatagram - 2 * kMaxId)) {
        last.mThrough = it->first - 1;
        break;
      }
      idHashes.push_back(it->first);
    }
    if (differs) {
      last.mRequested.push_back(it->first);
    }
    if (!missing) {
      remoteVersions.erase(remote);
    }
  }
  for (const auto& [idHash, version] : remoteVersions) {
    if (idHash <= *last.mThrough) {
      last.mRequested.push_back(idHash);
    }
  }
  SendRecords(aFrom, std::move(last), idHashes);
}

void Membership::Impl::OnSyncReply(const Endpoint& aFrom, const Message& aMessage)
{
  if (mSyncSequence == 0 || aMessage.mSequence != mSyncSequence) {
    return;
  }
  mSyncReceivedRecords += aMessage.mRecords.size();
  if (!aMessage.mThrough || *aMessage.mThrough > mSyncHigh || *aMessage.mThrough < mSyncCursor) {
    return;
  }
  mSyncSequence = 0;
  const bool truncated = *aMessage.mThrough < mSyncHigh;
  mSyncCursor = *aMessage.mThrough + 1; // wraps to 0 after the last range
  if (truncated || mSyncReceivedRecords >= kSyncCatchUpRecords) {
    mNextSync = std::min(mNextSync, mNow + mSettings.mSyncCatchUpInterval);
  }
  if (!aMessage.mRequested.empty() && mSyncBudget.HasTokens(mNow)) {
    SendRecords(aFrom, NewMessage(MessageType::Gossip, ++mSequence), aMessage.mRequested);
  }
}

void Membership::Impl::Join(std::vector<Endpoint> aContacts)
{
  std::erase(aContacts, mSelf->mRecord.mPeer);
  mContacts = std::move(aContacts);
  mContactAttempts = kContactAttempts;
}

void Membership::Impl::TickJoin()
{
  if (mContacts.empty() || (mContactAttempts == 0 && !mLive.empty()) || mNow < mNextJoin) {
    return;
  }
  mNextJoin = mNow + mSettings.mJoinInterval;
  mContactAttempts = std::max(0, mContactAttempts - 1);
  std::set<Endpoint> known;
  for (const uint64_t idHash : mLive) {
    known.insert(FindEntry(idHash)->mRecord.mPeer);
  }
  std::vector<Endpoint> contacts;
  for (const Endpoint& contact : mContacts) {
    if (!known.contains(contact)) {
      contacts.push_back(contact);
    }
  }
  if (contacts.empty()) {
    mContactAttempts = 0;
    return;
  }
  const Message request = SyncRequest();
  const std::array<uint64_t, 1> first = { mSelfIdHash };
  for (size_t i = 0; i < kContactsPerAttempt && i < contacts.size(); ++i) {
    std::swap(contacts[i], contacts[i + mRandom.Below(contacts.size() - i)]);
    Send(contacts[i], request, first, Form::Full);
  }
}

// --- Own record and queries

void Membership::Impl::Leave()
{
  MemberRecord& self = mSelf->mRecord;
  if (!self.mLeaving) {
    self.mLeaving = true;
    self.mState = MemberState::Leaving;
    RaiseIncarnation();
  }
}

void Membership::Impl::UpdateSelf(const SelfUpdate& aUpdate)
{
  MemberRecord& self = mSelf->mRecord;
  const MemberRecord before = self;
  self.mAvailable = aUpdate.mAvailable.value_or(self.mAvailable);
  self.mRevision = aUpdate.mRevision.value_or(self.mRevision);
  if (self == before) {
    return;
  }
  ++self.mIncarnation;
  if (SameExceptRevision(before, self)) {
    QueueRevisionGossip(mSelfIdHash);
  } else {
    QueueGossip(mSelfIdHash);
  }
  LearnRevision(self.mRevision, self.mId);
}

std::vector<MemberRecord> Membership::Impl::Members() const
{
  std::vector<MemberRecord> members;
  members.reserve(Count());
  for (const auto& [idHash, entry] : mEntries) {
    if (IsLive(entry.mRecord)) {
      members.push_back(entry.mRecord);
    }
  }
  return members;
}

const MemberRecord* Membership::Impl::Find(std::string_view aId) const
{
  const auto found = mEntries.find(HashOfId(aId));
  return found == mEntries.end() || found->second.mRecord.mId != aId ? nullptr
                                                                     : &found->second.mRecord;
}

RevisionHolder Membership::Impl::HighestRevision() const
{
  RevisionHolder result{ mHighestRevision, std::nullopt };
  std::vector<const MemberRecord*> holders;
  for (const uint64_t idHash : mLive) {
    const MemberRecord& record = mEntries.at(idHash).mRecord;
    if (record.mRevision >= mHighestRevision && record.mState != MemberState::Suspect) {
      holders.push_back(&record);
    }
  }
  if (!holders.empty()) {
    result.mHolder = *holders[mRandom.Below(holders.size())];
    return result;
  }
  const MemberRecord* holder = Find(mHolder);
  if (holder != nullptr && IsLive(*holder) && holder != &mSelf->mRecord) {
    result.mHolder = *holder;
  }
  return result;
}

bool Membership::Impl::IsContactCandidate(size_t aCount) const
{
  constexpr uint64_t kCandidateSeed = 1;
  const MemberRecord& self = mSelf->mRecord;
  const auto candidateHash = [](const MemberRecord& aRecord) {
    return Hash64(aRecord.mId, kCandidateSeed);
  };
  if (self.mLeaving) {
    return false;
  }
  const uint64_t ownHash = candidateHash(self);
  size_t before = 0;
  for (const uint64_t idHash : mLive) {
    const MemberRecord& record = mEntries.at(idHash).mRecord;
    if (!record.mLeaving && record.mDataCentre == self.mDataCentre &&
        candidateHash(record) < ownHash) {
      ++before;
    }
  }
  return before < aCount;
}

MembershipStats Membership::Impl::Stats() const
{
  MembershipStats stats = mStats;
  stats.mHealthScore = mHealthScore;
  stats.mPendingGossip = mQueue.Size();
  return stats;
}

// --- Public interface

Membership::Membership(const Clock& aClock, Random& aRandom, MembershipSettings aSettings,
                       MemberRecord aSelf)
  : mImpl(std::make_unique<Impl>(aClock, aRandom, std::move(aSettings), std::move(aSelf)))
{
}

Membership::~Membership() = default;

std::vector<Datagram> Membership::Tick()
{
  return mImpl->Tick();
}

Result<std::vector<Datagram>> Membership::Receive(const Endpoint& aFrom,
                                                  std::span<const uint8_t> aBytes)
{
  return mImpl->Receive(aFrom, aBytes);
}

SteadyTime Membership::NextWake() const
{
  return mImpl->NextWake();
}

void Membership::Join(std::vector<Endpoint> aContacts)
{
  mImpl->Join(std::move(aContacts));
}

void Membership::Leave()
{
  mImpl->Leave();
}

void Membership::UpdateSelf(const SelfUpdate& aUpdate)
{
  mImpl->UpdateSelf(aUpdate);
}

const MemberRecord& Membership::Self() const
{
  return mImpl->Self();
}

std::vector<MemberRecord> Membership::Members() const
{
  return mImpl->Members();
}

size_t Membership::Count() const
{
  return mImpl->Count();
}

const MemberRecord* Membership::Find(std::string_view aId) const
{
  return mImpl->Find(aId);
}

std::vector<MemberEvent> Membership::TakeEvents()
{
  return mImpl->TakeEvents();
}

RevisionHolder Membership::HighestRevision() const
{
  return mImpl->HighestRevision();
}

bool Membership::IsContactCandidate(size_t aCount) const
{
  return mImpl->IsContactCandidate(aCount);
}

bool Membership::Superseded() const
{
  return mImpl->Superseded();
}

MembershipStats Membership::Stats() const
{
  return mImpl->Stats();
}

} // namespace balsammount
