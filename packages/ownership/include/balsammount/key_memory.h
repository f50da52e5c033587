// The owner's records of idempotency keys. Each node has one key memory per service.
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

// Returns the shard of a key. Only tests use another aShardCount.
ShardId ShardOf(std::string_view aService, std::string_view aCaller, std::string_view aKey,
                ShardId aShardCount = kShardCount);

// Identifies the request that a key was used for, so that its reuse for another one is rejected.
uint64_t RequestFingerprint(std::string_view aMethod, std::string_view aPath,
                            std::string_view aBody);

// Returns the creation time in a UUIDv7 (RFC 9562, 36 characters), nullopt for any other key.
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
  Completed,
  CompletedWithoutResponse, // the response exceeded a size limit and was not stored
  Unknown,                  // the key may have been executed
};

// A record in a handover to the next owner. Running keys are exported as unknown.
struct KeyRecord
{
  std::string mCaller;
  std::string mKey;
  uint64_t mFingerprint = 0;
  KeyState mState = KeyState::Unknown;
  std::shared_ptr<const RecordedResponse> mResponse; // null unless mState is Completed
  std::chrono::milliseconds mRemaining{ 0 };         // until the record expires

  size_t Bytes() const;
};

// Applies to a shard that was taken over without its records: only keys that were created after
// mTakeover are certain to be new.
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
  // Fraction by which the retention is extended, so that a clock that is up to 5% fast does not end
  // it early.
  double mClockMargin = 0.10;
  std::chrono::milliseconds mClockSkew = std::chrono::seconds(5); // between any two clocks
  // For tests only: if false, keys that are not proven new are executed after a takeover.
  bool mUnknownAfterTakeover = true;
  ShardId mShardCount = kShardCount;
};

enum class BeginDecision
{
  Execute,                  // recorded; claim the dispatch, then Complete, MarkUnknown or Abandon
  JoinRunning,              // the waiter is returned when the running request ends
  Replay,                   // mResponse is the recorded response
  CompletedWithoutResponse, // executed, but the response was too large to record
  Unknown,                  // may have been executed
  Full,                     // not executed: no room for a record or a waiter
  ShardClosed,              // not executed: this node does not own the shard now
};

struct BeginResult
{
  BeginDecision mDecision = BeginDecision::Full;
  std::shared_ptr<const RecordedResponse> mResponse;
};

// Not thread safe.
class KeyMemory
{
public:
  using WaiterId = uint64_t;

  KeyMemory(const Clock& aClock, std::string aService, KeyMemoryPolicy aPolicy = {});

  // If the key is already running, aWaiter joins it: the method that ends the key returns it.
  Result<BeginResult> Begin(const KeyRequest& aRequest, WaiterId aWaiter);

  // Each of these ends a running key and returns the waiters that joined it.
  Result<std::vector<WaiterId>> Complete(const KeyRequest& aRequest, RecordedResponse aResponse);
  Result<std::vector<WaiterId>> MarkUnknown(const KeyRequest& aRequest);
  // Only for a key that was not sent to a backend server. The key may be executed again, unless an
  // outcome from another owner was imported meanwhile.
  Result<std::vector<WaiterId>> Abandon(const KeyRequest& aRequest);

  // Must be called immediately before the write to the backend server, after Begin returned
  // Execute. Returns false if the shard was closed since Begin, because the decision may then be
  // based on incomplete records.
  bool MarkDispatched(const KeyRequest& aRequest);

  // All shards are open initially; OwnershipCore keeps only the owned shards open. A closed shard
  // begins no key, and keys that it began before are not dispatched even after it is reopened.
  void OpenShard(ShardId aShard) { mOpen[aShard] = true; }
  void CloseShard(ShardId aShard);

  void CancelWaiter(const KeyRequest& aRequest, WaiterId aWaiter);

  // For one retention time from now, Begin returns Unknown for keys of the shard that have no
  // record and are not proven new.
  void SetCutoff(ShardId aShard);
  void SetCutoff(ShardId aShard, const ShardCutoff& aCutoff);
  std::optional<ShardCutoff> Cutoff(ShardId aShard) const;

  std::vector<KeyRecord> Export(ShardId aShard) const;
  // Imports all records or none. Fails with MemoryFull if they do not fit.
  Result<void> Import(const std::vector<KeyRecord>& aRecords);

  // Number of dispatched keys that have not ended.
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
    bool mOutcomeImported = false; // from another owner, after the dispatch here
    uint64_t mEpoch = 0;           // of the shard when the key began
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
  std::array<uint64_t, kShardCount> mEpochs{}; // number of times that the shard was closed
  std::array<std::optional<StoredCutoff>, kShardCount> mCutoffs;
  size_t mBytes = 0;
};

} // namespace balsammount
