#include "balsammount/key_memory.h"

#include "balsammount/hash.h"

#include <algorithm>

namespace balsammount {

namespace {

using std::chrono::milliseconds;

// Estimated bytes of a map node, an expiry entry and the fields of a record, rounded up.
constexpr size_t kRecordOverhead = 320;
constexpr size_t kHeaderOverhead = 64;

// The prefix with the caller's length makes the id of each pair unique.
std::string RecordId(std::string_view aCaller, std::string_view aKey)
{
  std::string id = std::to_string(aCaller.size());
  id.reserve(id.size() + 1 + aCaller.size() + aKey.size());
  id += ':';
  id += aCaller;
  id += aKey;
  return id;
}

size_t ResponseBytes(const std::shared_ptr<const RecordedResponse>& aResponse)
{
  return aResponse ? aResponse->Bytes() : 0;
}

int HexDigit(char aDigit)
{
  if (aDigit >= '0' && aDigit <= '9') {
    return aDigit - '0';
  }
  const char lower = static_cast<char>(aDigit | 0x20);
  return lower >= 'a' && lower <= 'f' ? lower - 'a' + 10 : -1;
}

} // namespace

ShardId ShardOf(std::string_view aService, std::string_view aCaller, std::string_view aKey,
                ShardId aShardCount)
{
  // Hashes each part separately: concatenation would give ("ab", "c") and ("a", "bc") one hash.
  const uint64_t hash = HashCombine(HashCombine(Hash64(aService), Hash64(aCaller)), Hash64(aKey));
  return static_cast<ShardId>(hash % aShardCount);
}

uint64_t RequestFingerprint(std::string_view aMethod, std::string_view aPath,
                            std::string_view aBody)
{
  return HashCombine(HashCombine(Hash64(aMethod), Hash64(aPath)), Hash64(aBody));
}

std::optional<WallTime> UuidV7Time(std::string_view aKey)
{
  if (aKey.size() != 36) {
    return std::nullopt;
  }
  uint64_t time = 0;
  for (size_t i = 0; i < aKey.size(); ++i) {
    const bool dash = i == 8 || i == 13 || i == 18 || i == 23;
    const int digit = HexDigit(aKey[i]);
    if (dash ? aKey[i] != '-' : digit < 0) {
      return std::nullopt;
    }
    // The first 12 digits are the milliseconds since the epoch.
    if (i < 13 && !dash) {
      time = time << 4U | static_cast<uint64_t>(digit);
    }
  }
  const int variant = HexDigit(aKey[19]);
  if (aKey[14] != '7' || variant < 8 || variant > 11) {
    return std::nullopt;
  }
  return WallTime(milliseconds(time));
}

size_t RecordedResponse::Bytes() const
{
  size_t bytes = mBody.size();
  for (const auto& [name, value] : mHeaders) {
    bytes += name.size() + value.size() + kHeaderOverhead;
  }
  return bytes;
}

size_t KeyRecord::Bytes() const
{
  return kRecordOverhead + mCaller.size() + mKey.size() + ResponseBytes(mResponse);
}

KeyMemory::KeyMemory(const Clock& aClock, std::string aService, KeyMemoryPolicy aPolicy)
  : mClock(aClock)
  , mService(std::move(aService))
  , mPolicy(aPolicy)
{
  mPolicy.mShardCount = std::clamp<ShardId>(mPolicy.mShardCount, 1, kShardCount);
  mOpen.fill(true);
}

ShardId KeyMemory::Shard(std::string_view aCaller, std::string_view aKey) const
{
  return ShardOf(mService, aCaller, aKey, mPolicy.mShardCount);
}

Duration KeyMemory::Retention() const
{
  const auto nominal = std::chrono::duration_cast<Duration>(mPolicy.mRetention);
  return Duration(
    static_cast<int64_t>(static_cast<double>(nominal.count()) * (1.0 + mPolicy.mClockMargin)));
}

Result<BeginResult> KeyMemory::Begin(const KeyRequest& aRequest, WaiterId aWaiter)
{
  EraseExpired();
  if (aRequest.mCaller.size() + aRequest.mKey.size() > mPolicy.mMaxKeyBytes) {
    return Failure{ OwnershipError::KeyTooLong, {} };
  }
  const std::string id = RecordId(aRequest.mCaller, aRequest.mKey);
  if (auto found = mRecords.find(id); found != mRecords.end()) {
    Record& record = found->second;
    if (record.mFingerprint != aRequest.mFingerprint) {
      return Failure{ OwnershipError::FingerprintMismatch, aRequest.mKey };
    }
    switch (record.mState) {
      case KeyState::Running:
        if (record.mWaiters.size() >= mPolicy.mMaxWaiters) {
          return BeginResult{ BeginDecision::Full, nullptr };
        }
        record.mWaiters.push_back(aWaiter);
        return BeginResult{ BeginDecision::JoinRunning, nullptr };
      case KeyState::Completed:
        return BeginResult{ BeginDecision::Replay, record.mResponse };
      case KeyState::CompletedWithoutResponse:
        return BeginResult{ BeginDecision::CompletedWithoutResponse, nullptr };
      case KeyState::Unknown:
        return BeginResult{ BeginDecision::Unknown, nullptr };
    }
  }
  const ShardId shard = Shard(aRequest.mCaller, aRequest.mKey);
  if (!mOpen[shard]) {
    return BeginResult{ BeginDecision::ShardClosed, nullptr };
  }
  if (mPolicy.mUnknownAfterTakeover && !ProvenNew(shard, aRequest.mKey)) {
    return BeginResult{ BeginDecision::Unknown, nullptr };
  }
  const size_t bytes = kRecordOverhead + id.size();
  if (mRecords.size() >= mPolicy.mMaxRecords || mBytes + bytes > mPolicy.mMaxBytes) {
    return BeginResult{ BeginDecision::Full, nullptr };
  }
  Record record;
  record.mShard = shard;
  record.mCallerBytes = aRequest.mCaller.size();
  record.mFingerprint = aRequest.mFingerprint;
  record.mEpoch = mEpochs[shard];
  mRecords.emplace(id, std::move(record));
  mBytes += bytes;
  return BeginResult{ BeginDecision::Execute, nullptr };
}

bool KeyMemory::MarkDispatched(const KeyRequest& aRequest)
{
  auto found = mRecords.find(RecordId(aRequest.mCaller, aRequest.mKey));
  if (found == mRecords.end()) {
    return false;
  }
  Record& record = found->second;
  if (record.mState != KeyState::Running || record.mDispatched || !mOpen[record.mShard] ||
      record.mEpoch != mEpochs[record.mShard]) {
    return false;
  }
  record.mDispatched = true;
  ++mRunning[record.mShard];
  return true;
}

void KeyMemory::CloseShard(ShardId aShard)
{
  if (std::exchange(mOpen[aShard], false)) {
    ++mEpochs[aShard];
  }
}

bool KeyMemory::ProvenNew(ShardId aShard, std::string_view aKey) const
{
  const auto& cutoff = mCutoffs[aShard];
  if (!cutoff || cutoff->mUntil <= mClock.Now()) {
    return true;
  }
  const auto time = UuidV7Time(aKey);
  // A time in the future comes from a clock beyond the maximum skew, so it proves nothing.
  return time && *time > cutoff->mTakeover + mPolicy.mClockSkew &&
         *time <= mClock.WallNow() + mPolicy.mClockSkew;
}

Result<std::vector<KeyMemory::WaiterId>> KeyMemory::Complete(const KeyRequest& aRequest,
                                                             RecordedResponse aResponse)
{
  EraseExpired();
  const size_t bytes = aResponse.Bytes();
  if (bytes > mPolicy.mMaxResponseBytes || mBytes + bytes > mPolicy.mMaxBytes) {
    return Finish(aRequest, KeyState::CompletedWithoutResponse, nullptr);
  }
  return Finish(aRequest, KeyState::Completed,
                std::make_shared<const RecordedResponse>(std::move(aResponse)));
}

Result<std::vector<KeyMemory::WaiterId>> KeyMemory::MarkUnknown(const KeyRequest& aRequest)
{
  return Finish(aRequest, KeyState::Unknown, nullptr);
}

Result<std::vector<KeyMemory::WaiterId>> KeyMemory::Finish(
  const KeyRequest& aRequest, KeyState aState, std::shared_ptr<const RecordedResponse> aResponse)
{
  auto found = mRecords.find(RecordId(aRequest.mCaller, aRequest.mKey));
  if (found == mRecords.end() || found->second.mState != KeyState::Running) {
    return Failure{ OwnershipError::UnknownKey, aRequest.mKey };
  }
  Record& record = found->second;
  mRunning[record.mShard] -= record.mDispatched ? 1 : 0;
  record.mState = aState;
  SetResponse(record, std::move(aResponse));
  SetExpiry(found->first, record, mClock.Now() + Retention());
  return std::exchange(record.mWaiters, {});
}

Result<std::vector<KeyMemory::WaiterId>> KeyMemory::Abandon(const KeyRequest& aRequest)
{
  auto found = mRecords.find(RecordId(aRequest.mCaller, aRequest.mKey));
  if (found == mRecords.end()) {
    return Failure{ OwnershipError::UnknownKey, aRequest.mKey };
  }
  Record& record = found->second;
  if (record.mState != KeyState::Running) {
    // Keeps an outcome that was imported before the dispatch.
    return std::exchange(record.mWaiters, {});
  }
  if (record.mOutcomeImported) {
    return MarkUnknown(aRequest);
  }
  auto waiters = std::move(record.mWaiters);
  mRunning[record.mShard] -= record.mDispatched ? 1 : 0;
  Erase(found);
  return waiters;
}

void KeyMemory::CancelWaiter(const KeyRequest& aRequest, WaiterId aWaiter)
{
  if (auto found = mRecords.find(RecordId(aRequest.mCaller, aRequest.mKey));
      found != mRecords.end()) {
    std::erase(found->second.mWaiters, aWaiter);
  }
}

void KeyMemory::SetCutoff(ShardId aShard)
{
  SetCutoff(aShard, { mClock.WallNow(), std::chrono::ceil<milliseconds>(Retention()) });
}

void KeyMemory::SetCutoff(ShardId aShard, const ShardCutoff& aCutoff)
{
  const SteadyTime until = mClock.Now() + aCutoff.mRemaining;
  auto& cutoff = mCutoffs[aShard];
  if (cutoff && cutoff->mUntil > mClock.Now()) {
    cutoff->mTakeover = std::max(cutoff->mTakeover, aCutoff.mTakeover);
    cutoff->mUntil = std::max(cutoff->mUntil, until);
  } else {
    cutoff = { aCutoff.mTakeover, until };
  }
}

std::optional<ShardCutoff> KeyMemory::Cutoff(ShardId aShard) const
{
  const auto& cutoff = mCutoffs[aShard];
  if (!cutoff || cutoff->mUntil <= mClock.Now()) {
    return std::nullopt;
  }
  return ShardCutoff{ cutoff->mTakeover,
                      std::chrono::ceil<milliseconds>(cutoff->mUntil - mClock.Now()) };
}

std::vector<KeyRecord> KeyMemory::Export(ShardId aShard) const
{
  std::vector<KeyRecord> records;
  const SteadyTime now = mClock.Now();
  for (const auto& [id, record] : mRecords) {
    const bool running = record.mState == KeyState::Running;
    // Keys that are not dispatched yet never will be: the shard is closed during a handover.
    if (record.mShard != aShard || (running ? !record.mDispatched : record.mExpires <= now)) {
      continue;
    }
    const std::string_view text = std::string_view(id).substr(id.find(':') + 1);
    const Duration remaining = running ? Retention() : record.mExpires - now;
    records.push_back({ std::string(text.substr(0, record.mCallerBytes)),
                        std::string(text.substr(record.mCallerBytes)), record.mFingerprint,
                        running ? KeyState::Unknown : record.mState, record.mResponse,
                        std::chrono::ceil<milliseconds>(remaining) });
  }
  return records;
}

Result<void> KeyMemory::Import(const std::vector<KeyRecord>& aRecords)
{
  EraseExpired();
  size_t count = 0;
  size_t bytes = 0;
  for (const KeyRecord& record : aRecords) {
    if (record.mCaller.size() + record.mKey.size() > mPolicy.mMaxKeyBytes) {
      return Failure{ OwnershipError::KeyTooLong, {} };
    }
    count += mRecords.contains(RecordId(record.mCaller, record.mKey)) ? 0 : 1;
    bytes += record.Bytes();
  }
  if (mRecords.size() + count > mPolicy.mMaxRecords || mBytes + bytes > mPolicy.mMaxBytes) {
    return Failure{ OwnershipError::MemoryFull, {} };
  }
  for (const KeyRecord& record : aRecords) {
    std::string id = RecordId(record.mCaller, record.mKey);
    auto [place, inserted] = mRecords.try_emplace(std::move(id));
    Record& stored = place->second;
    if (inserted) {
      stored.mShard = Shard(record.mCaller, record.mKey);
      stored.mCallerBytes = record.mCaller.size();
      stored.mFingerprint = record.mFingerprint;
      stored.mState = KeyState::Unknown;
      mBytes += kRecordOverhead + place->first.size();
    } else if (stored.mState == KeyState::Running && stored.mDispatched) {
      stored.mOutcomeImported = true;
      continue;
    } else if (stored.mState == KeyState::Running) {
      stored.mState = KeyState::Unknown;
      stored.mExpires = mClock.Now();
    }
    // A record with an outcome replaces one without.
    if (stored.mState == KeyState::Unknown && record.mState != KeyState::Running) {
      stored.mState = record.mState == KeyState::Completed && !record.mResponse
                        ? KeyState::CompletedWithoutResponse
                        : record.mState;
      SetResponse(stored, stored.mState == KeyState::Completed ? record.mResponse : nullptr);
    }
    const SteadyTime expires = mClock.Now() + record.mRemaining;
    if (inserted || expires > stored.mExpires) {
      SetExpiry(place->first, stored, expires);
    }
  }
  return {};
}

void KeyMemory::SetResponse(Record& aRecord, std::shared_ptr<const RecordedResponse> aResponse)
{
  mBytes -= ResponseBytes(aRecord.mResponse);
  aRecord.mResponse = std::move(aResponse);
  mBytes += ResponseBytes(aRecord.mResponse);
}

void KeyMemory::SetExpiry(const std::string& aId, Record& aRecord, SteadyTime aTime)
{
  aRecord.mExpires = aTime;
  mExpiry.emplace(aTime, aId);
}

// Entries of records whose expiry was extended since are skipped.
void KeyMemory::EraseExpired()
{
  const SteadyTime now = mClock.Now();
  while (!mExpiry.empty() && mExpiry.begin()->first <= now) {
    const auto entry = mExpiry.extract(mExpiry.begin());
    auto found = mRecords.find(entry.mapped());
    if (found != mRecords.end() && found->second.mState != KeyState::Running &&
        found->second.mExpires <= now) {
      Erase(found);
    }
  }
}

void KeyMemory::Erase(RecordMap::iterator aRecord)
{
  mBytes -= kRecordOverhead + aRecord->first.size() + ResponseBytes(aRecord->second.mResponse);
  mRecords.erase(aRecord);
}

} // namespace balsammount
