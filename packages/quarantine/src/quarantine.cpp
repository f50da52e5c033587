#include "balsammount/quarantine.h"

#include "balsammount/hash.h"

#include <algorithm>
#include <limits>
#include <map>
#include <optional>
#include <set>
#include <tuple>
#include <utility>

namespace balsammount {

namespace {

constexpr size_t kCacheWays = 4;

// Upper bounds of the encoding in bytes.
constexpr size_t kMessageBytes = 16;
constexpr size_t kRecordBytes = 20;
constexpr size_t kEvidenceBytes = 24;
constexpr size_t kCrashBytes = 19;

using CrashKey = std::pair<WallMillis, uint64_t>;

WallMillis Millis(Duration aTime)
{
  return std::chrono::duration_cast<std::chrono::milliseconds>(aTime).count();
}

CrashKey KeyOf(const CrashEvidence& aCrash)
{
  return { aCrash.mAt, aCrash.mServer };
}

bool SameRun(const CrashEvidence& aLeft, const CrashEvidence& aRight)
{
  return KeyOf(aLeft) == KeyOf(aRight) && aLeft.mStarted == aRight.mStarted;
}

// Returns the earlier time, where 0 means never.
WallMillis Earliest(WallMillis aLeft, WallMillis aRight)
{
  return aLeft == 0 || (aRight != 0 && aRight < aLeft) ? aRight : aLeft;
}

// Whether the run in aLater may be a retry of the one in aEarlier.
bool MayBeRetry(const CrashEvidence& aEarlier, const CrashEvidence& aLater, WallMillis aTolerance)
{
  return aLater.mStarted >= aEarlier.mAt + aTolerance;
}

struct Chain
{
  size_t mLength = 0;
  CrashKey mLastCrash;
};

// Returns the longest sequence of crashes in which each run started after the previous crash. The
// crashes are sorted by time, so taking the first one that fits is optimal.
Chain ChainOf(const SuspectRecord& aRecord, WallMillis aTolerance)
{
  Chain chain;
  const CrashEvidence* last = nullptr;
  for (const CrashEvidence& crash : aRecord.mCrashes) {
    if (crash.mClearedAt == 0 && (!last || MayBeRetry(*last, crash, aTolerance))) {
      last = &crash;
      ++chain.mLength;
      chain.mLastCrash = KeyOf(crash);
    }
  }
  return chain;
}

// Whether the fingerprint was a candidate at the time of aLater. Crashes that were cleared
// afterwards still count.
bool WasCandidate(const SuspectRecord& aRecord, const CrashEvidence& aLater, WallMillis aTolerance)
{
  return std::any_of(
    aRecord.mCrashes.begin(), aRecord.mCrashes.end(), [&](const CrashEvidence& aEarlier) {
      const bool uncleared = aEarlier.mClearedAt == 0 || aEarlier.mClearedAt > aLater.mAt;
      return uncleared && MayBeRetry(aEarlier, aLater, aTolerance);
    });
}

bool HasUnclearedCrash(const SuspectRecord& aRecord)
{
  return std::any_of(aRecord.mCrashes.begin(), aRecord.mCrashes.end(),
                     [](const CrashEvidence& aCrash) { return aCrash.mClearedAt == 0; });
}

size_t CacheSet(Fingerprint aFingerprint, size_t aSize)
{
  return HashCombine(static_cast<uint64_t>(aFingerprint), 0) % (aSize / kCacheWays) * kCacheWays;
}

} // namespace

Fingerprint MakeFingerprint(std::string_view aService, std::string_view aMethod,
                            std::string_view aPath, std::string_view aKey, std::string_view aBody)
{
  uint64_t hash = 0;
  for (const std::string_view part : { aService, aMethod, aPath, aKey, aBody }) {
    hash = HashCombine(hash, Hash64(part));
  }
  return Fingerprint{ hash };
}

Quarantine::Quarantine(const Clock& aClock, uint64_t aServer, const QuarantinePolicy& aPolicy)
  : mClock(aClock)
  , mServer(aServer)
  , mPolicy(aPolicy)
  , mCompletions(std::max<size_t>(1, aPolicy.mMaxCompletions / kCacheWays) * kCacheWays)
{
  mPolicy.mEvidenceTtl = std::max(mPolicy.mEvidenceTtl, mPolicy.mQuarantineTime);
}

WallMillis Quarantine::NowMillis() const
{
  return Millis(mClock.WallNow().time_since_epoch());
}

bool Quarantine::IsQuarantined(Fingerprint aFingerprint) const
{
  const auto found = mEntries.find(aFingerprint);
  return found != mEntries.end() && found->second.mUntil > NowMillis();
}

Duration Quarantine::RetryAfter(Fingerprint aFingerprint) const
{
  const auto found = mEntries.find(aFingerprint);
  if (found == mEntries.end()) {
    return Duration::zero();
  }
  return std::chrono::milliseconds(std::max<WallMillis>(0, found->second.mUntil - NowMillis()));
}

void Quarantine::OnDispatch(uint64_t aRequest, Fingerprint aFingerprint)
{
  if (mInFlight.size() < mPolicy.mMaxInFlight) {
    mInFlight[aRequest] = { aFingerprint, NowMillis() };
  }
}

void Quarantine::OnEnd(uint64_t aRequest, bool aCompleted)
{
  const auto run = mInFlight.find(aRequest);
  if (run == mInFlight.end()) {
    return;
  }
  const Fingerprint fingerprint = run->second.mFingerprint;
  mInFlight.erase(run);
  if (!aCompleted) {
    return;
  }
  const WallMillis now = NowMillis();
  RecordCompletion(fingerprint, now);
  const auto found = mEntries.find(fingerprint);
  if (found != mEntries.end() && ClearCrashes(found->second.mRecord, now)) {
    found->second.mSent = 0;
    Evaluate();
  }
}

size_t Quarantine::OnServerCrash()
{
  const WallMillis now = NowMillis();
  // Of several runs of one fingerprint, only the earliest counts, because it is least likely to be
  // a retry after an earlier crash.
  std::unordered_map<Fingerprint, WallMillis> started;
  for (const auto& [request, run] : mInFlight) {
    const auto [slot, added] = started.try_emplace(run.mFingerprint, run.mStarted);
    slot->second = std::min(slot->second, run.mStarted);
  }
  mInFlight.clear();
  Expire(now);
  for (const auto& [fingerprint, at] : started) {
    MergeRecord({ fingerprint, 0, { { now, mServer, std::min(at, now), 0 } } }, now);
  }
  Trim();
  Evaluate();
  return started.size();
}

void Quarantine::Release(Fingerprint aFingerprint)
{
  const WallMillis now = NowMillis();
  SuspectRecord record{ aFingerprint, now, {} };
  if (const auto found = mEntries.find(aFingerprint); found != mEntries.end()) {
    // A crash with a later time was reported by a node whose clock is ahead.
    for (const CrashEvidence& crash : found->second.mRecord.mCrashes) {
      record.mReleasedAt = std::max(record.mReleasedAt, crash.mAt);
    }
  }
  MergeRecord(record, now);
  Trim();
  Evaluate();
}

// Converts a record to its canonical form, which is the same on every node. Returns false if
// nothing is left.
bool Quarantine::Normalise(SuspectRecord& aRecord, WallMillis aNow) const
{
  const WallMillis oldest = aNow - Millis(mPolicy.mEvidenceTtl);
  if (aRecord.mReleasedAt <= oldest) {
    aRecord.mReleasedAt = 0;
  }
  auto& crashes = aRecord.mCrashes;
  std::erase_if(crashes, [&](const CrashEvidence& aCrash) {
    return aCrash.mAt <= std::max(oldest, aRecord.mReleasedAt);
  });
  std::sort(crashes.begin(), crashes.end());
  size_t kept = 0;
  for (const CrashEvidence& crash : crashes) {
    if (kept > 0 && SameRun(crashes[kept - 1], crash)) {
      crashes[kept - 1].mClearedAt = Earliest(crashes[kept - 1].mClearedAt, crash.mClearedAt);
    } else {
      crashes[kept++] = crash;
    }
  }
  crashes.resize(kept);
  if (kept > kMaxCrashes) {
    crashes.erase(crashes.begin(), crashes.end() - static_cast<ptrdiff_t>(kMaxCrashes));
  }
  return !crashes.empty() || aRecord.mReleasedAt != 0;
}

bool Quarantine::ClearCrashes(SuspectRecord& aRecord, WallMillis aCompletedAt) const
{
  bool changed = false;
  for (CrashEvidence& crash : aRecord.mCrashes) {
    const bool after = aCompletedAt >= crash.mAt + Millis(mPolicy.mClockTolerance);
    if (after && (crash.mClearedAt == 0 || aCompletedAt < crash.mClearedAt)) {
      crash.mClearedAt = aCompletedAt;
      changed = true;
    }
  }
  return changed;
}

bool Quarantine::MergeRecord(const SuspectRecord& aRecord, WallMillis aNow)
{
  const WallMillis latest = aNow + Millis(mPolicy.mMaxFuture);
  const bool future =
    aRecord.mReleasedAt > latest ||
    std::any_of(aRecord.mCrashes.begin(), aRecord.mCrashes.end(), [&](const CrashEvidence& aCrash) {
      return aCrash.mAt > latest || aCrash.mClearedAt > latest;
    });
  if (future) {
    return false;
  }
  const auto found = mEntries.find(aRecord.mFingerprint);
  SuspectRecord merged =
    found == mEntries.end() ? SuspectRecord{ aRecord.mFingerprint, 0, {} } : found->second.mRecord;
  merged.mReleasedAt = std::max(merged.mReleasedAt, aRecord.mReleasedAt);
  merged.mCrashes.insert(merged.mCrashes.end(), aRecord.mCrashes.begin(), aRecord.mCrashes.end());
  if (!Normalise(merged, aNow)) {
    return false;
  }
  if (const WallMillis completed = CompletedAt(aRecord.mFingerprint); completed != 0) {
    ClearCrashes(merged, completed);
  }
  if (found == mEntries.end()) {
    mEntries.emplace(aRecord.mFingerprint, Entry{ std::move(merged) });
    return true;
  }
  if (merged == found->second.mRecord) {
    return false;
  }
  found->second.mRecord = std::move(merged);
  found->second.mSent = 0;
  return true;
}

size_t Quarantine::MergeRecords(std::span<const SuspectRecord> aRecords)
{
  const WallMillis now = NowMillis();
  Expire(now);
  size_t changed = 0;
  for (const SuspectRecord& record : aRecords) {
    changed += MergeRecord(record, now) ? 1 : 0;
  }
  Trim();
  Evaluate();
  return changed;
}

Result<size_t> Quarantine::Merge(std::span<const uint8_t> aBytes)
{
  const auto records = DecodeSuspects(aBytes);
  if (!records) {
    return records.error();
  }
  return MergeRecords(*records);
}

bool Quarantine::Expire(WallMillis aNow)
{
  const size_t before = mEntries.size();
  for (auto entry = mEntries.begin(); entry != mEntries.end();) {
    entry = Normalise(entry->second.mRecord, aNow) ? std::next(entry) : mEntries.erase(entry);
  }
  return mEntries.size() != before;
}

void Quarantine::Evaluate()
{
  const WallMillis tolerance = Millis(mPolicy.mClockTolerance);
  std::map<CrashKey, size_t> candidates;
  for (const auto& [fingerprint, entry] : mEntries) {
    std::optional<CrashKey> counted;
    for (const CrashEvidence& crash : entry.mRecord.mCrashes) {
      if (counted != KeyOf(crash) && WasCandidate(entry.mRecord, crash, tolerance)) {
        counted = KeyOf(crash);
        ++candidates[*counted];
      }
    }
  }
  for (auto& [fingerprint, entry] : mEntries) {
    const Chain chain = ChainOf(entry.mRecord, tolerance);
    entry.mChainLength = chain.mLength;
    entry.mHeld = false;
    entry.mUntil = 0;
    if (chain.mLength < 2 || IsKnownGood(fingerprint, chain.mLastCrash.first)) {
      continue;
    }
    WallMillis time = Millis(mPolicy.mQuarantineTime);
    if (chain.mLength == 2 && candidates[chain.mLastCrash] > 1) {
      // Holds end at different times, so that the candidates do not share a server again.
      const auto hold = static_cast<uint64_t>(std::max<WallMillis>(1, Millis(mPolicy.mHoldTime)));
      time = static_cast<WallMillis>(hold +
                                     HashCombine(static_cast<uint64_t>(fingerprint), hold) % hold);
      entry.mHeld = true;
    }
    entry.mUntil = chain.mLastCrash.first + time;
  }
}

// Drops the least important records when there are too many: those with the fewest crashes that
// count (cleared ones have none), of these the oldest. Released records go last, because the
// evidence they suppress would return from other nodes.
void Quarantine::Trim()
{
  if (mEntries.size() <= mPolicy.mMaxRecords) {
    return;
  }
  using Key = std::tuple<bool, size_t, WallMillis, Fingerprint>;
  std::vector<Key> keys;
  keys.reserve(mEntries.size());
  for (const auto& [fingerprint, entry] : mEntries) {
    const SuspectRecord& record = entry.mRecord;
    keys.emplace_back(
      record.mReleasedAt != 0, ChainOf(record, Millis(mPolicy.mClockTolerance)).mLength,
      record.mCrashes.empty() ? record.mReleasedAt : record.mCrashes.back().mAt, fingerprint);
  }
  const size_t excess = mEntries.size() - mPolicy.mMaxRecords;
  std::nth_element(keys.begin(), keys.begin() + static_cast<ptrdiff_t>(excess), keys.end());
  for (size_t i = 0; i < excess; ++i) {
    mEntries.erase(std::get<Fingerprint>(keys[i]));
  }
}

WallMillis Quarantine::CompletedAt(Fingerprint aFingerprint) const
{
  const size_t set = CacheSet(aFingerprint, mCompletions.size());
  for (size_t i = set; i < set + kCacheWays; ++i) {
    if (mCompletions[i].mAt != 0 && mCompletions[i].mFingerprint == aFingerprint) {
      return mCompletions[i].mAt;
    }
  }
  return 0;
}

bool Quarantine::IsKnownGood(Fingerprint aFingerprint, WallMillis aCrash) const
{
  const WallMillis completed = CompletedAt(aFingerprint);
  return completed != 0 && completed + Millis(mPolicy.mKnownGoodTime) >= aCrash;
}

void Quarantine::RecordCompletion(Fingerprint aFingerprint, WallMillis aAt)
{
  const size_t set = CacheSet(aFingerprint, mCompletions.size());
  size_t slot = set;
  for (size_t i = set; i < set + kCacheWays; ++i) {
    if (mCompletions[i].mFingerprint == aFingerprint) {
      slot = i;
      break;
    }
    if (mCompletions[i].mAt < mCompletions[slot].mAt) {
      slot = i;
    }
  }
  mCompletions[slot] = { aFingerprint, aAt };
}

std::vector<uint8_t> Quarantine::TakeGossip(size_t aMaxBytes)
{
  if (Expire(NowMillis())) {
    Evaluate();
  }
  std::vector<Entry*> pending;
  for (auto& [fingerprint, entry] : mEntries) {
    if (entry.mSent < mPolicy.mMaxTransmissions) {
      pending.push_back(&entry);
    }
  }
  std::sort(pending.begin(), pending.end(), [](const Entry* aLeft, const Entry* aRight) {
    const auto key = [](const Entry& aEntry) {
      return std::make_tuple(aEntry.mSent, aEntry.mRecord.mReleasedAt == 0,
                             std::numeric_limits<size_t>::max() - aEntry.mChainLength,
                             aEntry.mRecord.mFingerprint);
    };
    return key(*aLeft) < key(*aRight);
  });
  size_t bytes = kMessageBytes;
  std::set<CrashKey> crashes;
  std::vector<SuspectRecord> records;
  for (Entry* entry : pending) {
    size_t size = kRecordBytes;
    for (const CrashEvidence& crash : entry->mRecord.mCrashes) {
      size += kEvidenceBytes + (crashes.contains(KeyOf(crash)) ? 0 : kCrashBytes);
    }
    if (bytes + size > aMaxBytes || records.size() == kMaxRecordsPerMessage) {
      break;
    }
    bytes += size;
    for (const CrashEvidence& crash : entry->mRecord.mCrashes) {
      crashes.insert(KeyOf(crash));
    }
    records.push_back(entry->mRecord);
    ++entry->mSent;
  }
  return records.empty() ? std::vector<uint8_t>{} : EncodeSuspects(records);
}

std::vector<uint8_t> Quarantine::EncodeAll() const
{
  std::vector<SuspectRecord> records;
  records.reserve(mEntries.size());
  for (const auto& [fingerprint, entry] : mEntries) {
    records.push_back(entry.mRecord);
  }
  return EncodeSuspects(records);
}

SuspectState Quarantine::StateOf(const Entry& aEntry, WallMillis aNow) const
{
  if (aEntry.mUntil > aNow) {
    return aEntry.mHeld ? SuspectState::Held : SuspectState::Quarantined;
  }
  if (HasUnclearedCrash(aEntry.mRecord)) {
    return SuspectState::Suspect;
  }
  return aEntry.mRecord.mReleasedAt != 0 ? SuspectState::Released : SuspectState::Cleared;
}

std::vector<SuspectView> Quarantine::List() const
{
  const WallMillis now = NowMillis();
  std::vector<SuspectView> views;
  views.reserve(mEntries.size());
  for (const auto& [fingerprint, entry] : mEntries) {
    views.push_back({ entry.mRecord, StateOf(entry, now), entry.mUntil });
  }
  std::sort(views.begin(), views.end(), [](const auto& aLeft, const auto& aRight) {
    return aLeft.mRecord.mFingerprint < aRight.mRecord.mFingerprint;
  });
  return views;
}

} // namespace balsammount
