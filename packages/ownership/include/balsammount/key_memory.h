// Records of idempotency keys at the owner of their shard, one memory per node and service.
#pragma once

#include "balsammount/clock.h"
#include "balsammount/ownership_error.h"

#include <array>
#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <unordered_map>
#include <utility>
#include <vector>

namespace balsammount {

using ShardId = uint32_t;
inline constexpr ShardId kShardCount = 64;

// The shard of a key. aShardCount differs from kShardCount in tests only.
ShardId ShardOf(std::string_view aService, std::string_view aCaller, std::string_view aKey,
                ShardId aShardCount = kShardCount);

// Identifies what a key was used for, so that its reuse for another request is refused.
uint64_t RequestFingerprint(std::string_view aMethod, std::string_view aPath,
                            std::string_view aBody);

// The creation time in a UUIDv7 (RFC 9562, 36 characters), nothing for any other key.
std::optional<WallTime> UuidV7Time(std::string_view aKey);

struct RecordedResponse
{
  int mStatus = 0;
  std::vector<std::pair<std::string, std::string>> mHeaders;
  std::string mBody;

  size_t Bytes() const;
  bool operator==(const RecordedResponse&) const = default;
};

struct KeyRequest
{
  std::string mCaller;
  std::string mKey;
  uint64_t mFingerprint = 0;
};

enum class KeyState : uint8_t
{
  Running,
  Completed,                // with its answer
  CompletedWithoutResponse, // the answer exceeded a bound and was not stored
  Unknown,
};

// A record as it is handed to the next owner. Running keys are handed over as unknown.
struct KeyRecord
{
  std::string mCaller;
  std::string mKey;
  uint64_t mFingerprint = 0;
  KeyState mState = KeyState::Unknown;
  std::shared_ptr<const RecordedResponse> mResponse; // only when completed
  std::chrono::milliseconds mRemaining{ 0 };         // until the record may be forgotten

  size_t Bytes() const;
};

// Set on a shard that was taken over without its records: only keys made after mTakeover are new.
struct ShardCutoff
{
  WallTime mTakeover;
  std::chrono::milliseconds mRemaining{ 0 };

  bool operator==(const ShardCutoff&) const = default;
};

struct KeyMemoryPolicy
{
  size_t mMaxRecords = 100'000;
  size_t mMaxBytes = 16 * 1024 * 1024;
  size_t mMaxResponseBytes = 64 * 1024;
  size_t mMaxKeyBytes = 512; // caller and key together
  size_t mMaxWaiters = 64;   // per key
  std::chrono::milliseconds mRetention = std::chrono::minutes(10);
  // Retention is measured this much longer, so that it also holds in true time when the clock is
  // up to 5% fast.
  double mClockMargin = 0.10;
  std::chrono::milliseconds mClockSkew = std::chrono::seconds(5);
  // Test only: false drops the rule that unproven keys are unknown after a takeover.
  bool mUnknownAfterTakeover = true;
  ShardId mShardCount = kShardCount;
};

enum class BeginDecision
{
  Execute,                  // recorded; claim the dispatch, then Complete, MarkUnknown or Abandon
  JoinRunning,              // the waiter is returned when the running request ends
  Replay,                   // mAnswer is the recorded answer
  CompletedWithoutResponse, // it ran, but its answer was too large to record
  Unknown,                  // it may have run
  Full,                     // not run: no room for a record or a waiter
  ShardClosed,              // not run: this node does not own the shard now
};

struct BeginResult
{
  BeginDecision mDecision = BeginDecision::Full;
  std::shared_ptr<const RecordedResponse> mResponse;
};

class KeyMemory
{
public:
  using WaiterId = uint64_t;

  KeyMemory(const Clock& aClock, std::string aService, KeyMemoryPolicy aPolicy = {});

  // aWaiter identifies a later sender of a running key in the result of Complete and the like.
  Result<BeginResult> Begin(const KeyRequest& aRequest, WaiterId aWaiter);

  // Ends of a running key. Each returns the waiters that joined.
  Result<std::vector<WaiterId>> Complete(const KeyRequest& aRequest, RecordedResponse aResponse);
  Result<std::vector<WaiterId>> MarkUnknown(const KeyRequest& aRequest);
  // Only when nothing was sent to a backend server: the key may run again, unless another owner has
  // meanwhile reported an outcome.
  Result<std::vector<WaiterId>> Abandon(const KeyRequest& aRequest);

  // Immediately before the write to the backend server, and only after Begin returned Execute.
  // False when the shard was closed since Begin: what the memory knew then may be incomplete.
  bool MarkDispatched(const KeyRequest& aRequest);

  // All shards are open at first. A closed shard begins no key, and what it began is no longer
  // dispatched, also after it is opened again. OwnershipCore opens what this node owns.
  void OpenShard(ShardId aShard) { mOpen[aShard] = true; }
  void CloseShard(ShardId aShard);

  void CancelWaiter(const KeyRequest& aRequest, WaiterId aWaiter);

  // From now on, for one retention time, keys of the shard that are not proven new are unknown.
  void SetCutoff(ShardId aShard);
  void SetCutoff(ShardId aShard, const ShardCutoff& aCutoff);
  std::optional<ShardCutoff> Cutoff(ShardId aShard) const;

  std::vector<KeyRecord> Export(ShardId aShard) const;
  // All or nothing. Fails with MemoryFull when the records do not fit.
  Result<void> Import(const std::vector<KeyRecord>& aRecords);

  // Dispatched keys that have not ended.
  size_t Running(ShardId aShard) const { return mRunning[aShard]; }
  size_t Records() const { return mRecords.size(); }
  size_t Bytes() const { return mBytes; }
  ShardId ShardCount() const { return mPolicy.mShardCount; }
  ShardId Shard(std::string_view aCaller, std::string_view aKey) const;
  const std::string& ServiceName() const { return mService; }

private:
  struct Record
  {
    ShardId mShard = 0;
    size_t mCallerBytes = 0;
    uint64_t mFingerprint = 0;
    KeyState mState = KeyState::Running;
    bool mDispatched = false;
    bool mOutcomeImported =
      false;             // another owner has reported an outcome while it was running here
    uint64_t mEpoch = 0; // of the shard, when it began
    std::shared_ptr<const RecordedResponse> mResponse;
    std::vector<WaiterId> mWaiters;
    SteadyTime mExpires = SteadyTime::max();
  };
  struct StoredCutoff
  {
    WallTime mTakeover;
    SteadyTime mUntil;
  };
  using RecordMap = std::unordered_map<std::string, Record>;

  Duration Retention() const;
  bool ProvenNew(ShardId aShard, std::string_view aKey) const;
  void EraseExpired();
  void SetExpiry(const std::string& aId, Record& aRecord, SteadyTime aTime);
  void SetResponse(Record& aRecord, std::shared_ptr<const RecordedResponse> aResponse);
  Result<std::vector<WaiterId>> Finish(const KeyRequest& aRequest, KeyState aState,
                                       std::shared_ptr<const RecordedResponse> aResponse);
  void Erase(RecordMap::iterator aRecord);

  const Clock& mClock;
  std::string mService;
  KeyMemoryPolicy mPolicy;
  RecordMap mRecords;
  std::multimap<SteadyTime, std::string> mExpiry;
  std::array<size_t, kShardCount> mRunning{};
  std::array<bool, kShardCount> mOpen;
  std::array<uint64_t, kShardCount> mEpochs{}; // counts how often the shard was closed
  std::array<std::optional<StoredCutoff>, kShardCount> mCutoffs;
  size_t mBytes = 0;
};

} // namespace balsammount
