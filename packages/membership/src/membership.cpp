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
constexpr size_t kMaxVerify = 1024;
constexpr size_t kSyncDigestEntries = 80; // about 1 KB
constexpr size_t kSyncReplyDatagrams = 4;
constexpr size_t kSyncManyRecords = 10; // differing in one chunk: go on with the next one soon
constexpr size_t kContactsPerTry = 3;
constexpr int kContactTries = 3;
constexpr Duration kCleanupInterval = std::chrono::seconds(10);
constexpr Duration kForwardInterval = std::chrono::seconds(5); // of claims about one member
constexpr Duration kRelayTimeout = std::chrono::milliseconds(400);
constexpr uint32_t kMaxPausePenalty = 3;

// A start further in the future is a fault and would make the id unusable until then.
constexpr int64_t kMaxFutureMs = 24 * 3600 * 1000LL;

uint64_t PositionOf(std::string_view aId)
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
    uint32_t mAccuser = 0;
    bool mSpreadFull = false; // to members that may not know the process yet
    int64_t mDeadAtMs = 0;
    SteadyTime mForwardedAt{}; // last claim about the member that was passed on to it
  };

  struct Probe
  {
    uint64_t mPosition = 0;
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

  // Time and own health.
  void NoteTime();
  void PostponeTimers(Duration aLate);
  void AddHealth(int aDelta);
  Duration Scaled(Duration aTime) const { return aTime * (1 + mHealth); }

  // Records.
  Entry* FindEntry(uint64_t aPosition);
  enum class Form
  {
    Short,
    Full,
  };
  RecordUpdate UpdateOf(const Entry& aEntry, Form aForm) const;
  void ApplyShort(const RecordUpdate& aUpdate);
  void Apply(const RecordUpdate& aUpdate);
  void ApplyToSelf(const RecordUpdate& aUpdate);
  void Insert(uint64_t aPosition, const RecordUpdate& aUpdate);
  void Replace(uint64_t aPosition, Entry& aEntry, const RecordUpdate& aUpdate);
  void ApplyNewer(uint64_t aPosition, Entry& aEntry, const RecordUpdate& aUpdate);
  void ApplyEqual(uint64_t aPosition, Entry& aEntry, const RecordUpdate& aUpdate);
  void Doubt(uint64_t aPosition, Entry& aEntry);
  void SetState(uint64_t aPosition, Entry& aEntry, MemberState aState);
  void StartSuspicion(uint64_t aPosition, Entry& aEntry, uint32_t aAccuser);
  void ConfirmSuspicion(uint64_t aPosition, Entry& aEntry, uint32_t aAccuser);
  void MarkDead(uint64_t aPosition, Entry& aEntry, int64_t aDeadAtMs);
  void AddLive(uint64_t aPosition);
  void RemoveLive(uint64_t aPosition);
  void ChangeSelf();
  void LearnRevision(uint64_t aRevision, const std::string& aHolder);
  void Emit(MemberEventKind aKind, const Entry& aEntry)
  {
    mEvents.push_back({ aKind, aEntry.mRecord });
  }
  SuspicionTimes TimesOfSuspicion() const;
  int32_t RetransmitLimit() const;
  void Spread(uint64_t aPosition, int32_t aSent = 0, Form aForm = Form::Short);
  void SpreadRevision(uint64_t aPosition);

  // Messages.
  Message NewMessage(MessageType aType, uint64_t aSequence) const;
  size_t Send(const Endpoint& aTo, Message aMessage, std::span<const uint64_t> aFirst,
              Form aForm = Form::Short);
  void SendTo(const Entry& aEntry, Message aMessage);
  bool Attach(Message& aMessage, uint64_t aPosition, Form aForm, size_t& aSize);
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
  void EndProbe();
  std::optional<uint64_t> NextProbeTarget();
  void TickRelays();
  void TickSuspicions();
  void TickGossip();
  void TickSync();
  void TickDeadProbe();
  void TickJoin();
  void TickCleanup();
  bool GossipPending() const { return !mLive.empty() && (!mQueue.Empty() || mRevisionSends > 0); }

  // Repair of the member list.
  Message SyncRequest();
  void SendRecords(const Endpoint& aTo, Message aLast, const std::vector<uint64_t>& aPositions);
  std::vector<uint64_t> PickLive(size_t aCount, uint64_t aExcept);

  const Clock& mClock;
  Random& mRandom;
  const MembershipSettings mSettings;
  const uint32_t mCluster;
  uint64_t mSelfPosition = 0;
  Entry* mSelf = nullptr;

  std::map<uint64_t, Entry> mEntries; // by the hash of the id; with this node
  std::vector<uint64_t> mLive;        // not dead, without this node
  std::set<uint64_t> mDead;
  std::map<uint64_t, Suspicion> mSuspicions;
  std::vector<MemberEvent> mEvents;
  GossipQueue mQueue;
  TokenBucket mGossipBudget;
  TokenBucket mSyncBudget;

  uint64_t mHighest = 0; // configuration revision
  std::string mHolder;
  int32_t mRevisionSends = 0;

  SteadyTime mNow;
  std::optional<SteadyTime> mExpectedWake;
  uint32_t mHealth = 0;
  uint64_t mSequence = 0;
  std::optional<Probe> mProbe;
  std::vector<uint64_t> mProbeOrder;
  size_t mProbeIndex = 0;
  std::deque<uint64_t> mVerify; // said to be dead by others
  bool mVerifyTurn = false;
  std::vector<Relay> mRelays;

  uint64_t mSyncCursor = 0;
  uint64_t mSyncHigh = 0;
  uint64_t mSyncSequence = 0; // 0: none outstanding
  size_t mSyncRecords = 0;

  std::vector<Endpoint> mContacts;
  int mContactTries = 0;

  SteadyTime mNextProbe;
  SteadyTime mNextGossip;
  SteadyTime mNextSync;
  SteadyTime mNextDeadProbe;
  SteadyTime mNextJoin;
  SteadyTime mNextCleanup;

  bool mSuperseded = false;
  MembershipStats mStats;
  std::vector<Datagram> mOut;
};

Membership::Impl::Impl(const Clock& aClock, Random& aRandom, MembershipSettings aSettings,
                       MemberRecord aSelf)
  : mClock(aClock)
  , mRandom(aRandom)
  , mSettings(std::move(aSettings))
  , mCluster(ClusterTag(mSettings.mCluster))
  , mSelfPosition(PositionOf(aSelf.mId))
  , mGossipBudget(mSettings.mGossipBytesPerSecond, mSettings.mGossipBurst)
  , mSyncBudget(mSettings.mSyncBytesPerSecond, mSettings.mSyncBurst)
  , mNow(aClock.Now())
{
  if (aSelf.mStartMs == 0) {
    aSelf.mStartMs = Millis(aClock.WallNow());
  }
  aSelf.mState = aSelf.mLeaving ? MemberState::Leaving : MemberState::Alive;
  mHighest = aSelf.mRevision;
  // Answers to an earlier process with the same endpoint must not match.
  mSequence = mRandom.Below(UINT32_MAX / 2);
  Entry entry;
  entry.mRecord = std::move(aSelf);
  mSelf = &mEntries.emplace(mSelfPosition, std::move(entry)).first->second;
  Spread(mSelfPosition, 0, Form::Full);
  // The first probe and chunk come at a random time, so that nodes that start together don't act
  // together.
  const auto spread = [&](Duration aInterval) {
    return mNow + Duration(static_cast<Duration::rep>(
                    mRandom.Below(static_cast<uint64_t>(aInterval.count()))));
  };
  mNextProbe = spread(mSettings.mProbePeriod);
  mNextGossip = mNow;
  mNextSync = spread(mSettings.mSyncInterval);
  mNextDeadProbe = spread(mSettings.mDeadProbeInterval);
  mNextJoin = mNow;
  mNextCleanup = spread(kCleanupInterval);
}

// --- Time and own health

void Membership::Impl::NoteTime()
{
  mNow = mClock.Now();
  if (mExpectedWake && mNow > *mExpectedWake + mSettings.mLateTolerance) {
    PostponeTimers(mNow - *mExpectedWake);
  }
}

// Acks that this process has not read yet, or could not ask for, must not count against others.
void Membership::Impl::PostponeTimers(Duration aLate)
{
  ++mStats.mLateTimers;
  const auto periods = static_cast<uint64_t>(aLate / mSettings.mProbePeriod);
  AddHealth(static_cast<int>(1 + std::min<uint64_t>(periods, kMaxPausePenalty - 1)));
  mProbe.reset();
  mRelays.clear();
  for (auto& [position, suspicion] : mSuspicions) {
    suspicion.Extend(aLate);
  }
  for (SteadyTime* timer :
       { &mNextProbe, &mNextGossip, &mNextSync, &mNextDeadProbe, &mNextJoin, &mNextCleanup }) {
    *timer = std::max(*timer, mNow);
  }
}

void Membership::Impl::AddHealth(int aDelta)
{
  const int health = static_cast<int>(mHealth) + aDelta;
  mHealth = static_cast<uint32_t>(std::clamp(health, 0, static_cast<int>(mSettings.mMaxHealth)));
}

SuspicionTimes Membership::Impl::TimesOfSuspicion() const
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
           others == 0 ? 0 : std::min(mSettings.mConfirmations, others - 1) };
}

int32_t Membership::Impl::RetransmitLimit() const
{
  return static_cast<int32_t>(
    std::ceil(mSettings.mRetransmitFactor * std::log10(static_cast<double>(Count()) + 1)));
}

// --- Records

Membership::Impl::Entry* Membership::Impl::FindEntry(uint64_t aPosition)
{
  const auto found = mEntries.find(aPosition);
  return found == mEntries.end() ? nullptr : &found->second;
}

RecordUpdate Membership::Impl::UpdateOf(const Entry& aEntry, Form aForm) const
{
  RecordUpdate update{ aEntry.mRecord, aEntry.mAccuser, aEntry.mDeadAtMs, std::nullopt };
  if (aForm == Form::Short) {
    update.mPosition = PositionOf(aEntry.mRecord.mId);
  }
  return update;
}

// A record that no member may know is spread in full until all its transmissions are done.
void Membership::Impl::Spread(uint64_t aPosition, int32_t aSent, Form aForm)
{
  Entry& entry = *FindEntry(aPosition);
  entry.mSpreadFull = aForm == Form::Full || (entry.mSpreadFull && mQueue.Contains(aPosition));
  mQueue.Push(aPosition, aSent);
}

void Membership::Impl::AddLive(uint64_t aPosition)
{
  mLive.push_back(aPosition);
  std::swap(mLive.back(), mLive[mRandom.Below(mLive.size())]);
  // A random place in the current round.
  mProbeOrder.push_back(aPosition);
  const size_t left = mProbeOrder.size() - std::min(mProbeIndex, mProbeOrder.size() - 1);
  std::swap(mProbeOrder.back(), mProbeOrder[mProbeOrder.size() - 1 - mRandom.Below(left)]);
}

void Membership::Impl::RemoveLive(uint64_t aPosition)
{
  const auto found = std::find(mLive.begin(), mLive.end(), aPosition);
  if (found != mLive.end()) {
    std::swap(*found, mLive.back());
    mLive.pop_back();
  }
}

void Membership::Impl::SetState(uint64_t aPosition, Entry& aEntry, MemberState aState)
{
  const bool wasLive = IsLive(aEntry.mRecord);
  aEntry.mRecord.mState = aState;
  const bool live = IsLive(aEntry.mRecord);
  if (aState != MemberState::Suspect) {
    mSuspicions.erase(aPosition);
  }
  if (wasLive && !live) {
    RemoveLive(aPosition);
    mDead.insert(aPosition);
  } else if (!wasLive && live) {
    mDead.erase(aPosition);
    AddLive(aPosition);
  }
}

// Completes the record from the known one. Unknown processes are left to the repair by digests.
void Membership::Impl::ApplyShort(const RecordUpdate& aUpdate)
{
  const Entry* entry = FindEntry(*aUpdate.mPosition);
  if (entry == nullptr || static_cast<uint32_t>(entry->mRecord.mStartMs) !=
                            static_cast<uint32_t>(aUpdate.mRecord.mStartMs)) {
    return;
  }
  const MemberRecord& given = aUpdate.mRecord;
  RecordUpdate update{ entry->mRecord, aUpdate.mAccuser, aUpdate.mDeadAtMs, std::nullopt };
  update.mRecord.mIncarnation = given.mIncarnation;
  update.mRecord.mState = given.mState;
  update.mRecord.mLeaving = given.mLeaving;
  update.mRecord.mAvailable = given.mAvailable;
  update.mRecord.mRevision = given.mRevision;
  Apply(update);
}

void Membership::Impl::Apply(const RecordUpdate& aUpdate)
{
  if (aUpdate.mPosition) {
    ApplyShort(aUpdate);
    return;
  }
  if (aUpdate.mRecord.mStartMs > Millis(mClock.WallNow()) + kMaxFutureMs) {
    ++mStats.mFutureStarts;
    return;
  }
  const uint64_t position = PositionOf(aUpdate.mRecord.mId);
  if (position == mSelfPosition) {
    ApplyToSelf(aUpdate);
    return;
  }
  Entry* entry = FindEntry(position);
  if (entry == nullptr) {
    Insert(position, aUpdate);
    return;
  }
  const MemberRecord& known = entry->mRecord;
  const MemberRecord& record = aUpdate.mRecord;
  if (record.mStartMs > known.mStartMs) {
    Replace(position, *entry, aUpdate);
  } else if (record.mStartMs == known.mStartMs && record.mIncarnation > known.mIncarnation) {
    ApplyNewer(position, *entry, aUpdate);
  } else if (record.mStartMs == known.mStartMs && record.mIncarnation == known.mIncarnation) {
    ApplyEqual(position, *entry, aUpdate);
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
    Spread(mSelfPosition, 0, Form::Full);
    return;
  }
  const bool newer = record.mStartMs > self.mStartMs ||
                     (record.mStartMs == self.mStartMs && record.mIncarnation > self.mIncarnation);
  if (newer && record.mPeer != self.mPeer) {
    mSuperseded = true;
    return;
  }
  if (newer) {
    // An earlier process on this endpoint whose wall clock was ahead.
    self.mStartMs = std::max(self.mStartMs, record.mStartMs) + 1;
    ChangeSelf();
    Spread(mSelfPosition, 0, Form::Full);
    return;
  }
  if (record.mIncarnation == self.mIncarnation &&
      (record.mState == MemberState::Suspect || record.mState == MemberState::Dead)) {
    ++mStats.mRefutations;
    AddHealth(1);
    ChangeSelf();
  }
}

void Membership::Impl::ChangeSelf()
{
  ++mSelf->mRecord.mIncarnation;
  Spread(mSelfPosition, mSelf->mRecord.mLeaving ? -RetransmitLimit() : 0);
}

void Membership::Impl::Insert(uint64_t aPosition, const RecordUpdate& aUpdate)
{
  const int64_t now = Millis(mClock.WallNow());
  const bool dead = !IsLive(aUpdate.mRecord);
  const auto memory = std::chrono::duration_cast<std::chrono::milliseconds>(mSettings.mDeadMemory);
  if (dead && aUpdate.mDeadAtMs + memory.count() <= now) {
    return;
  }
  if (dead ? mDead.size() >= mSettings.mMaxDead : mLive.size() >= mSettings.mMaxMembers) {
    ++mStats.mTableFull;
    return;
  }
  Entry& entry = mEntries[aPosition];
  entry.mRecord = aUpdate.mRecord;
  if (dead) {
    entry.mDeadAtMs = std::min(aUpdate.mDeadAtMs, now);
    mDead.insert(aPosition);
    return;
  }
  AddLive(aPosition);
  Spread(aPosition, 0, Form::Full);
  const bool suspect = entry.mRecord.mState == MemberState::Suspect;
  if (suspect) {
    entry.mRecord.mState = MemberState::Alive;
  }
  Emit(MemberEventKind::Joined, entry);
  if (suspect) {
    StartSuspicion(aPosition, entry, aUpdate.mAccuser);
  }
}

// The record of a later process with the same id.
void Membership::Impl::Replace(uint64_t aPosition, Entry& aEntry, const RecordUpdate& aUpdate)
{
  const bool wasLive = IsLive(aEntry.mRecord);
  const MemberState state = aUpdate.mRecord.mState;
  MemberRecord record = aUpdate.mRecord;
  record.mState = aEntry.mRecord.mState;
  aEntry.mRecord = std::move(record);
  aEntry.mForwardedAt = {};
  if (state == MemberState::Dead) {
    if (wasLive) {
      MarkDead(aPosition, aEntry, aUpdate.mDeadAtMs);
    } else {
      aEntry.mDeadAtMs = std::min(aUpdate.mDeadAtMs, Millis(mClock.WallNow()));
    }
    return;
  }
  SetState(aPosition, aEntry, state == MemberState::Suspect ? MemberState::Alive : state);
  Spread(aPosition, 0, Form::Full);
  Emit(MemberEventKind::Joined, aEntry);
  if (state == MemberState::Suspect) {
    StartSuspicion(aPosition, aEntry, aUpdate.mAccuser);
  }
}

// The same process with a higher incarnation.
void Membership::Impl::ApplyNewer(uint64_t aPosition, Entry& aEntry, const RecordUpdate& aUpdate)
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
    next = aEntry.mRecord.mLeaving ? MemberState::Leaving : MemberState::Alive;
  }
  SetState(aPosition, aEntry, next);
  if (before.mState == MemberState::Dead) {
    Emit(MemberEventKind::Joined, aEntry);
    Spread(aPosition);
  } else if (!SameAttributes(before, aEntry.mRecord)) {
    Emit(MemberEventKind::Changed, aEntry);
  }
  if (state == MemberState::Suspect) {
    StartSuspicion(aPosition, aEntry, aUpdate.mAccuser);
  } else if (state == MemberState::Dead) {
    Doubt(aPosition, aEntry);
  } else if (before.mState != MemberState::Dead && before.mRevision != aEntry.mRecord.mRevision &&
             SameExceptRevision(before, aEntry.mRecord)) {
    SpreadRevision(aPosition);
  } else {
    Spread(aPosition, aEntry.mRecord.mLeaving ? -RetransmitLimit() : 0);
  }
}

void Membership::Impl::ApplyEqual(uint64_t aPosition, Entry& aEntry, const RecordUpdate& aUpdate)
{
  const MemberState known = aEntry.mRecord.mState;
  const MemberState state = aUpdate.mRecord.mState;
  if (known == MemberState::Dead) {
    return;
  }
  if (state == MemberState::Suspect) {
    if (known == MemberState::Suspect) {
      ConfirmSuspicion(aPosition, aEntry, aUpdate.mAccuser);
    } else {
      StartSuspicion(aPosition, aEntry, aUpdate.mAccuser);
    }
  } else if (state == MemberState::Dead) {
    // The shortest suspicion must have passed here as well: after a short partition, suspicions and
    // deaths of the other side arrive together and before the refutations.
    const auto suspicion = mSuspicions.find(aPosition);
    if (suspicion == mSuspicions.end()) {
      Doubt(aPosition, aEntry);
      return;
    }
    suspicion->second.ConfirmFully();
    if (mNow >= suspicion->second.Deadline()) {
      MarkDead(aPosition, aEntry, aUpdate.mDeadAtMs);
    }
  }
}

// Another member says that a member is dead that this node knows as alive: probes it soon and
// passes the claim on to it.
void Membership::Impl::Doubt(uint64_t aPosition, Entry& aEntry)
{
  if (aEntry.mForwardedAt != SteadyTime{} && mNow < aEntry.mForwardedAt + kForwardInterval) {
    return;
  }
  aEntry.mForwardedAt = mNow;
  if (mVerify.size() < kMaxVerify &&
      std::find(mVerify.begin(), mVerify.end(), aPosition) == mVerify.end()) {
    mVerify.push_back(aPosition);
  }
  Message ping = NewMessage(MessageType::Ping, ++mSequence);
  ping.mTarget = aEntry.mRecord.mId;
  RecordUpdate claim = UpdateOf(aEntry, Form::Short);
  claim.mRecord.mState = MemberState::Dead;
  claim.mDeadAtMs = Millis(mClock.WallNow());
  ping.mRecords.push_back(std::move(claim));
  Send(aEntry.mRecord.mPeer, std::move(ping), {});
}

void Membership::Impl::StartSuspicion(uint64_t aPosition, Entry& aEntry, uint32_t aAccuser)
{
  SetState(aPosition, aEntry, MemberState::Suspect);
  aEntry.mAccuser = aAccuser;
  mSuspicions.insert_or_assign(aPosition, Suspicion(mNow, TimesOfSuspicion(), aAccuser));
  Spread(aPosition, 1); // after refutations
  Emit(MemberEventKind::Suspect, aEntry);
}

void Membership::Impl::ConfirmSuspicion(uint64_t aPosition, Entry& aEntry, uint32_t aAccuser)
{
  const auto suspicion = mSuspicions.find(aPosition);
  if (suspicion != mSuspicions.end() && suspicion->second.Confirm(aAccuser)) {
    aEntry.mAccuser = aAccuser;
    Spread(aPosition, RetransmitLimit() / 2);
  }
}

void Membership::Impl::MarkDead(uint64_t aPosition, Entry& aEntry, int64_t aDeadAtMs)
{
  SetState(aPosition, aEntry, MemberState::Dead);
  aEntry.mDeadAtMs = std::min(aDeadAtMs, Millis(mClock.WallNow()));
  Spread(aPosition);
  Emit(aEntry.mRecord.mLeaving ? MemberEventKind::Left : MemberEventKind::Dead, aEntry);
}

void Membership::Impl::SpreadRevision(uint64_t aPosition)
{
  const auto transmits = static_cast<int32_t>(mSettings.mRevisionTransmits);
  Spread(aPosition, std::max(0, RetransmitLimit() - transmits));
}

void Membership::Impl::LearnRevision(uint64_t aRevision, const std::string& aHolder)
{
  if (aRevision > mHighest) {
    mHighest = aRevision;
    mHolder = aHolder;
    mRevisionSends = 2 * RetransmitLimit();
  } else if (aRevision == mHighest && !aHolder.empty()) {
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
  message.mRevision = mHighest;
  if (mHighest != 0) {
    message.mHolder = self.mRevision == mHighest ? self.mId : mHolder;
  }
  return message;
}

bool Membership::Impl::Attach(Message& aMessage, uint64_t aPosition, Form aForm, size_t& aSize)
{
  const Entry* entry = FindEntry(aPosition);
  if (entry == nullptr) {
    return true;
  }
  const bool attached =
    std::any_of(aMessage.mRecords.begin(), aMessage.mRecords.end(), [&](const auto& aUpdate) {
      return aUpdate.mPosition ? *aUpdate.mPosition == aPosition
                               : aUpdate.mRecord.mId == entry->mRecord.mId;
    });
  if (attached) {
    return true;
  }
  RecordUpdate update = UpdateOf(*entry, entry->mSpreadFull ? Form::Full : aForm);
  const size_t size = EncodedSize(update);
  if (aSize + size > kMaxMembershipDatagram) {
    return false;
  }
  aSize += size;
  aMessage.mRecords.push_back(std::move(update));
  return true;
}

// Fills the datagram with the records in aFirst and then with waiting ones.
size_t Membership::Impl::Send(const Endpoint& aTo, Message aMessage,
                              std::span<const uint64_t> aFirst, Form aForm)
{
  constexpr size_t kArrayHeader = 4;
  size_t size = Encode(aMessage, mCluster).size() + kArrayHeader;
  for (const uint64_t position : aFirst) {
    Attach(aMessage, position, aForm, size);
  }
  if (aMessage.mType != MessageType::SyncReply) {
    mQueue.Take(RetransmitLimit(),
                [&](uint64_t aPosition) { return Attach(aMessage, aPosition, Form::Short, size); });
  }
  mOut.push_back({ aTo, Encode(aMessage, mCluster) });
  return mOut.back().mBytes.size();
}

// A member that is thought suspect or dead is told so first, so that it can refute.
void Membership::Impl::SendTo(const Entry& aEntry, Message aMessage)
{
  const bool accused = aEntry.mRecord.mState == MemberState::Suspect || !IsLive(aEntry.mRecord);
  const std::array<uint64_t, 2> first = { PositionOf(aEntry.mRecord.mId), mSelfPosition };
  Send(aEntry.mRecord.mPeer, std::move(aMessage),
       accused ? std::span<const uint64_t>(first) : std::span<const uint64_t>());
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
  NoteTime();
  LearnRevision(message->mRevision, message->mHolder);
  for (const RecordUpdate& update : message->mRecords) {
    Apply(update);
  }
  Handle(aFrom, *message);
  mExpectedWake = std::max(NextWake(), mNow);
  return std::exchange(mOut, {});
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
  // The sender hears this node's own record first when it made or passed on a claim about it, and
  // the sender's when the sender is thought suspect or dead.
  std::vector<uint64_t> first;
  const bool told =
    std::any_of(aMessage.mRecords.begin(), aMessage.mRecords.end(),
                [&](const auto& aUpdate) { return aUpdate.mPosition == mSelfPosition; });
  if (told) {
    first.push_back(mSelfPosition);
  }
  const uint64_t sender = PositionOf(aMessage.mFrom);
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
    AddHealth(-1);
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
  NoteTime();
  TickSuspicions();
  TickProbe();
  TickRelays();
  TickJoin();
  TickSync();
  TickDeadProbe();
  TickCleanup();
  TickGossip();
  mExpectedWake = std::max(NextWake(), mNow);
  return std::exchange(mOut, {});
}

SteadyTime Membership::Impl::NextWake() const
{
  SteadyTime wake = mNextCleanup;
  const auto consider = [&](SteadyTime aTime) { wake = std::min(wake, aTime); };
  if (!mLive.empty()) {
    consider(mNextProbe);
    consider(mNextSync);
  }
  if (mProbe && !mProbe->mIndirect) {
    consider(mProbe->mIndirectAt);
  }
  for (const Relay& relay : mRelays) {
    consider(relay.mDeadline);
  }
  for (const auto& [position, suspicion] : mSuspicions) {
    consider(suspicion.Deadline());
  }
  if (GossipPending()) {
    consider(mNextGossip);
  }
  if (!mDead.empty()) {
    consider(mNextDeadProbe);
  }
  if (!mContacts.empty() && (mContactTries > 0 || mLive.empty())) {
    consider(mNextJoin);
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
  EndProbe();
  StartProbe();
  mNextProbe = mNow + Scaled(mSettings.mProbePeriod);
}

std::optional<uint64_t> Membership::Impl::NextProbeTarget()
{
  mVerifyTurn = !mVerifyTurn;
  while (mVerifyTurn && !mVerify.empty()) {
    const uint64_t position = mVerify.front();
    mVerify.pop_front();
    const Entry* entry = FindEntry(position);
    if (entry != nullptr && IsLive(entry->mRecord)) {
      return position;
    }
  }
  for (int round = 0; round < 2; ++round) {
    while (mProbeIndex < mProbeOrder.size()) {
      const uint64_t position = mProbeOrder[mProbeIndex++];
      const Entry* entry = FindEntry(position);
      if (entry != nullptr && IsLive(entry->mRecord)) {
        return position;
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
  mProbe = Probe{ *target, ++mSequence, mNow + Scaled(mSettings.mProbeTimeout), false, 0, 0 };
  SendPing(*FindEntry(*target), mProbe->mSequence);
}

// Repeats the direct ping as well: a single lost datagram is the most frequent cause.
void Membership::Impl::ProbeIndirectly()
{
  mProbe->mIndirect = true;
  const Entry* target = FindEntry(mProbe->mPosition);
  if (target == nullptr) {
    return;
  }
  SendPing(*target, mProbe->mSequence);
  for (const uint64_t position : PickLive(mSettings.mIndirectProbes, mProbe->mPosition)) {
    Message request = NewMessage(MessageType::PingRequest, mProbe->mSequence);
    request.mTarget = target->mRecord.mId;
    request.mTargetEndpoint = target->mRecord.mPeer;
    SendTo(*FindEntry(position), std::move(request));
    ++mProbe->mNacksExpected;
  }
}

void Membership::Impl::EndProbe()
{
  if (!mProbe) {
    return;
  }
  const Probe probe = *std::exchange(mProbe, std::nullopt);
  ++mStats.mFailedProbes;
  // Helpers that don't answer either point at this node's own connection.
  const auto missed =
    static_cast<int>(probe.mNacksExpected - std::min(probe.mNacks, probe.mNacksExpected));
  AddHealth(probe.mNacksExpected == 0 ? 1 : missed);
  Entry* entry = FindEntry(probe.mPosition);
  if (entry == nullptr || !IsLive(entry->mRecord)) {
    return;
  }
  const auto accuser = static_cast<uint32_t>(mSelfPosition);
  if (entry->mRecord.mState == MemberState::Suspect) {
    ConfirmSuspicion(probe.mPosition, *entry, accuser);
  } else {
    StartSuspicion(probe.mPosition, *entry, accuser);
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
  for (const auto& [position, suspicion] : mSuspicions) {
    if (mNow >= suspicion.Deadline()) {
      expired.push_back(position);
    }
  }
  for (const uint64_t position : expired) {
    MarkDead(position, *FindEntry(position), Millis(mClock.WallNow()));
  }
}

void Membership::Impl::TickGossip()
{
  if (!GossipPending() || mNow < mNextGossip) {
    return;
  }
  mNextGossip = mNow + mSettings.mGossipInterval;
  if (!mGossipBudget.Ready(mNow)) {
    return;
  }
  for (const uint64_t position : PickLive(mSettings.mGossipFanout, mSelfPosition)) {
    if (!GossipPending()) {
      break;
    }
    const Entry& entry = *FindEntry(position);
    mGossipBudget.Spend(
      Send(entry.mRecord.mPeer, NewMessage(MessageType::Gossip, ++mSequence), {}));
    mRevisionSends = std::max(0, mRevisionSends - 1);
  }
}

// Dead members are probed now and then, so that the sides of a partition find each other again.
void Membership::Impl::TickDeadProbe()
{
  if (mDead.empty() || mNow < mNextDeadProbe) {
    return;
  }
  mNextDeadProbe = mNow + mSettings.mDeadProbeInterval;
  auto place = mDead.lower_bound(mRandom.Next());
  for (size_t i = 0; i < mDead.size(); ++i, ++place) {
    if (place == mDead.end()) {
      place = mDead.begin();
    }
    const Entry& entry = *FindEntry(*place);
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
  const auto memory = std::chrono::duration_cast<std::chrono::milliseconds>(mSettings.mDeadMemory);
  const int64_t oldest = Millis(mClock.WallNow()) - memory.count();
  for (auto dead = mDead.begin(); dead != mDead.end();) {
    if (FindEntry(*dead)->mDeadAtMs > oldest) {
      ++dead;
      continue;
    }
    mQueue.Drop(*dead);
    mEntries.erase(*dead);
    dead = mDead.erase(dead);
  }
}

std::vector<uint64_t> Membership::Impl::PickLive(size_t aCount, uint64_t aExcept)
{
  std::vector<uint64_t> picked;
  // Enough draws to find the members of a small fleet.
  for (size_t draws = 4 * aCount; draws > 0 && picked.size() < aCount && !mLive.empty(); --draws) {
    const uint64_t position = mLive[mRandom.Below(mLive.size())];
    if (position != aExcept && std::find(picked.begin(), picked.end(), position) == picked.end()) {
      picked.push_back(position);
    }
  }
  return picked;
}

// --- Repair of the member list

namespace {

// Suspicions pass and are not compared.
uint32_t VersionOf(const MemberRecord& aRecord)
{
  const uint64_t state = aRecord.mIncarnation << 1U | (IsLive(aRecord) ? 0U : 1U);
  return static_cast<uint32_t>(HashCombine(static_cast<uint64_t>(aRecord.mStartMs), state));
}

} // namespace

// A digest of the next part of the list.
Message Membership::Impl::SyncRequest()
{
  mSyncSequence = ++mSequence;
  mSyncRecords = 0;
  Message message = NewMessage(MessageType::Sync, mSyncSequence);
  message.mLow = mSyncCursor;
  message.mHigh = UINT64_MAX;
  for (auto place = mEntries.lower_bound(mSyncCursor); place != mEntries.end(); ++place) {
    if (message.mDigest.size() == kSyncDigestEntries) {
      message.mHigh = place->first - 1;
      break;
    }
    message.mDigest.push_back({ place->first, VersionOf(place->second.mRecord) });
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
  const auto partner = PickLive(1, mSelfPosition);
  if (partner.empty() || !mSyncBudget.Ready(mNow)) {
    return;
  }
  mSyncBudget.Spend(Send(FindEntry(partner.front())->mRecord.mPeer, SyncRequest(), {}));
}

// Sends the records, the last datagram as aLast.
void Membership::Impl::SendRecords(const Endpoint& aTo, Message aLast,
                                   const std::vector<uint64_t>& aPositions)
{
  constexpr size_t kArrayHeader = 4;
  Message message = NewMessage(aLast.mType, aLast.mSequence);
  const size_t empty = Encode(message, mCluster).size() + kArrayHeader;
  size_t size = empty;
  for (const uint64_t position : aPositions) {
    if (!Attach(message, position, Form::Full, size)) {
      mSyncBudget.Spend(
        Send(aTo, std::exchange(message, NewMessage(aLast.mType, aLast.mSequence)), {}));
      size = empty;
      Attach(message, position, Form::Full, size);
    }
  }
  const size_t lastSize = Encode(aLast, mCluster).size();
  if (size + lastSize > kMaxMembershipDatagram) {
    mSyncBudget.Spend(Send(aTo, std::move(message), {}));
  } else {
    aLast.mRecords = std::move(message.mRecords);
  }
  mSyncBudget.Spend(Send(aTo, std::move(aLast), {}));
}

void Membership::Impl::OnSync(const Endpoint& aFrom, const Message& aMessage)
{
  if (aMessage.mLow > aMessage.mHigh || !mSyncBudget.Ready(mNow)) {
    return;
  }
  std::map<uint64_t, uint32_t> theirs;
  for (const DigestEntry& entry : aMessage.mDigest) {
    if (entry.mPosition >= aMessage.mLow && entry.mPosition <= aMessage.mHigh) {
      theirs.emplace(entry.mPosition, entry.mVersion);
    }
  }
  Message last = NewMessage(MessageType::SyncReply, aMessage.mSequence);
  last.mThrough = aMessage.mHigh;
  std::vector<uint64_t> positions;
  size_t bytes = 0;
  for (auto place = mEntries.lower_bound(aMessage.mLow);
       place != mEntries.end() && place->first <= aMessage.mHigh; ++place) {
    const auto their = theirs.find(place->first);
    const bool missing = their == theirs.end();
    const bool differs = !missing && their->second != VersionOf(place->second.mRecord);
    if (missing || differs) {
      bytes += EncodedSize(UpdateOf(place->second, Form::Full));
      if (bytes > kSyncReplyDatagrams * (kMaxMembershipDatagram - 2 * kMaxId)) {
        last.mThrough = place->first - 1;
        break;
      }
      positions.push_back(place->first);
    }
    if (differs) {
      last.mWanted.push_back(place->first);
    }
    if (!missing) {
      theirs.erase(their);
    }
  }
  for (const auto& [position, version] : theirs) {
    if (position <= *last.mThrough) {
      last.mWanted.push_back(position);
    }
  }
  SendRecords(aFrom, std::move(last), positions);
}

void Membership::Impl::OnSyncReply(const Endpoint& aFrom, const Message& aMessage)
{
  if (mSyncSequence == 0 || aMessage.mSequence != mSyncSequence) {
    return;
  }
  mSyncRecords += aMessage.mRecords.size();
  if (!aMessage.mThrough || *aMessage.mThrough > mSyncHigh || *aMessage.mThrough < mSyncCursor) {
    return;
  }
  mSyncSequence = 0;
  const bool truncated = *aMessage.mThrough < mSyncHigh;
  mSyncCursor = *aMessage.mThrough + 1; // goes back to 0 after the end
  if (truncated || mSyncRecords >= kSyncManyRecords) {
    mNextSync = std::min(mNextSync, mNow + mSettings.mSyncCatchUp);
  }
  if (!aMessage.mWanted.empty() && mSyncBudget.Ready(mNow)) {
    SendRecords(aFrom, NewMessage(MessageType::Gossip, ++mSequence), aMessage.mWanted);
  }
}

void Membership::Impl::Join(std::vector<Endpoint> aContacts)
{
  std::erase(aContacts, mSelf->mRecord.mPeer);
  mContacts = std::move(aContacts);
  mContactTries = kContactTries;
}

void Membership::Impl::TickJoin()
{
  if (mContacts.empty() || (mContactTries == 0 && !mLive.empty()) || mNow < mNextJoin) {
    return;
  }
  mNextJoin = mNow + mSettings.mJoinInterval;
  mContactTries = std::max(0, mContactTries - 1);
  std::set<Endpoint> known;
  for (const uint64_t position : mLive) {
    known.insert(FindEntry(position)->mRecord.mPeer);
  }
  std::vector<Endpoint> contacts;
  for (const Endpoint& contact : mContacts) {
    if (!known.contains(contact)) {
      contacts.push_back(contact);
    }
  }
  if (contacts.empty()) {
    mContactTries = 0;
    return;
  }
  const Message request = SyncRequest();
  const std::array<uint64_t, 1> first = { mSelfPosition };
  for (size_t i = 0; i < kContactsPerTry && i < contacts.size(); ++i) {
    std::swap(contacts[i], contacts[i + mRandom.Below(contacts.size() - i)]);
    Send(contacts[i], request, first, Form::Full);
  }
}

// --- Own record and views

void Membership::Impl::Leave()
{
  MemberRecord& self = mSelf->mRecord;
  if (!self.mLeaving) {
    self.mLeaving = true;
    self.mState = MemberState::Leaving;
    ChangeSelf();
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
    SpreadRevision(mSelfPosition);
  } else {
    Spread(mSelfPosition);
  }
  LearnRevision(self.mRevision, self.mId);
}

std::vector<MemberRecord> Membership::Impl::Members() const
{
  std::vector<MemberRecord> members;
  members.reserve(Count());
  for (const auto& [position, entry] : mEntries) {
    if (IsLive(entry.mRecord)) {
      members.push_back(entry.mRecord);
    }
  }
  return members;
}

const MemberRecord* Membership::Impl::Find(std::string_view aId) const
{
  const auto found = mEntries.find(PositionOf(aId));
  return found == mEntries.end() || found->second.mRecord.mId != aId ? nullptr
                                                                     : &found->second.mRecord;
}

RevisionHolder Membership::Impl::HighestRevision() const
{
  RevisionHolder result{ mHighest, std::nullopt };
  std::vector<const MemberRecord*> holders;
  for (const uint64_t position : mLive) {
    const MemberRecord& record = mEntries.at(position).mRecord;
    if (record.mRevision >= mHighest && record.mState != MemberState::Suspect) {
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
  constexpr uint64_t kRankSeed = 1;
  const MemberRecord& self = mSelf->mRecord;
  const auto rank = [](const MemberRecord& aRecord) { return Hash64(aRecord.mId, kRankSeed); };
  if (self.mLeaving) {
    return false;
  }
  const uint64_t own = rank(self);
  size_t before = 0;
  for (const uint64_t position : mLive) {
    const MemberRecord& record = mEntries.at(position).mRecord;
    if (!record.mLeaving && record.mDataCentre == self.mDataCentre && rank(record) < own) {
      ++before;
    }
  }
  return before < aCount;
}

MembershipStats Membership::Impl::Stats() const
{
  MembershipStats stats = mStats;
  stats.mHealth = mHealth;
  stats.mPendingGossip = mQueue.Size();
  return stats;
}

// --- Public face

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
