// Detects and quarantines requests that crash backend servers.
//
// The evidence is a set of crashes per request fingerprint. Nodes exchange and merge these sets,
// and the state of a fingerprint is a function of the merged sets, so the order of messages does
// not matter while the table is not full.
//
// These rules avoid quarantining a request that merely shared a server with the cause of a crash:
//
//  * One crash only makes a fingerprint a suspect.
//  * A second crash counts only if the run in flight then started after the first crash plus the
//    clock tolerance. A request that crashes a server is sent again afterwards, whereas servers
//    that fail together for another reason have runs in flight that all started before the first
//    crash.
//  * A completed run clears earlier crashes. Popular requests complete within milliseconds on other
//    servers and are cleared before a second, unrelated crash.
//  * A node does not hold a fingerprint of which it has recently completed a run. Servers that all
//    crash within the clock tolerance, or one that crashes repeatedly, leave no time for a
//    completed run in between, and a request that is held everywhere could never be cleared.
//  * If a second crash leaves several candidates, at most one of them is the cause. All of them are
//    held for a short time that ends at different moments, and only a third crash quarantines one
//    for the full time. Candidates that are cleared later still count, so that the last one held is
//    not quarantined by elimination.
//
// Known limits: A single request that is in flight at two unrelated crashes, started after the
// first one and did not complete in between, is quarantined until it is released or the time is
// over. A request that crashes servers only sometimes is cleared by each run that completes.
#pragma once

#include "balsammount/clock.h"
#include "balsammount/error.h"

#include <cstddef>
#include <cstdint>
#include <span>
#include <string_view>
#include <tuple>
#include <unordered_map>
#include <vector>

namespace balsammount {

enum class QuarantineError
{
  BadEncoding = 1,
  BadVersion,
  Malformed,
  TooLarge,
};

std::error_code make_error_code(QuarantineError aError);

enum class Fingerprint : uint64_t
{
};

Fingerprint MakeFingerprint(std::string_view aService, std::string_view aMethod,
                            std::string_view aPath, std::string_view aKey, std::string_view aBody);

// Milliseconds since the epoch of the wall clock, which nodes can compare. 0 means never.
using WallMillis = int64_t;

// A run that was in flight when its server crashed.
struct CrashEvidence
{
  WallMillis mAt = 0;
  uint64_t mServer = 0;
  WallMillis mStarted = 0;   // at most mAt
  WallMillis mClearedAt = 0; // first completed run of the fingerprint after the crash

  bool operator==(const CrashEvidence&) const = default;
  bool operator<(const CrashEvidence& aOther) const
  {
    return std::tie(mAt, mServer, mStarted, mClearedAt) <
           std::tie(aOther.mAt, aOther.mServer, aOther.mStarted, aOther.mClearedAt);
  }
};

struct SuspectRecord
{
  Fingerprint mFingerprint{};
  WallMillis mReleasedAt = 0;          // crashes up to this time are dropped
  std::vector<CrashEvidence> mCrashes; // ascending; the latest kMaxCrashes

  bool operator==(const SuspectRecord&) const = default;
};

inline constexpr size_t kMaxCrashes = 4;
inline constexpr size_t kMaxRecordsPerMessage = 4096;
inline constexpr size_t kMaxQuarantineMessage = 256 * 1024; // bytes

// MessagePack: [version, [[server, at] ...], [[fingerprint, released, [[index of the crash, ms from
// the start to the crash, 0 or 1 + ms from the crash until it was cleared] ...]] ...]].
std::vector<uint8_t> EncodeSuspects(std::span<const SuspectRecord> aRecords);
Result<std::vector<SuspectRecord>> DecodeSuspects(std::span<const uint8_t> aBytes);

struct QuarantinePolicy
{
  Duration mQuarantineTime = std::chrono::minutes(10);
  Duration mHoldTime = std::chrono::seconds(10);    // of several candidates; up to twice as long
  Duration mEvidenceTtl = std::chrono::minutes(20); // of a crash; at least mQuarantineTime
  // The order of events on two nodes is trusted only if their times differ by at least this.
  Duration mClockTolerance = std::chrono::milliseconds(250);
  // A completed run prevents a hold or quarantine on its node for this long. The cost is that a
  // request that starts to crash servers after they were replaced crashes one more beside each such
  // node.
  Duration mKnownGoodTime = std::chrono::minutes(1);
  Duration mMaxFuture = std::chrono::minutes(1); // records further ahead of the clock are ignored
  size_t mMaxRecords = 1024;                     // about 250 bytes each
  size_t mMaxInFlight = 4096;                    // further runs are not tracked
  size_t mMaxCompletions = 4096;                 // recently completed fingerprints, 16 bytes each
  uint32_t mMaxTransmissions = 30;               // by TakeGossip, for each change of a record

  bool operator==(const QuarantinePolicy&) const = default;
};

enum class SuspectState
{
  Cleared,
  Suspect,
  Held,
  Quarantined,
  Released,
};

struct SuspectView
{
  SuspectRecord mRecord;
  SuspectState mState = SuspectState::Cleared;
  WallMillis mUntil = 0; // end of the hold or quarantine

  bool operator==(const SuspectView&) const = default;
};

// The evidence known to one node. Not thread-safe. IsQuarantined, OnDispatch and OnEnd cost one or
// two hash lookups. OnEnd costs more when it clears a suspect.
class Quarantine
{
public:
  // aServer identifies the backend server beside this node.
  Quarantine(const Clock& aClock, uint64_t aServer, const QuarantinePolicy& aPolicy);

  bool IsQuarantined(Fingerprint aFingerprint) const;
  Duration RetryAfter(Fingerprint aFingerprint) const; // zero when not quarantined

  // Record the start and the end of a run on the backend server beside this node. Request ids must
  // be unique among the runs in flight.
  void OnDispatch(uint64_t aRequest, Fingerprint aFingerprint);
  void OnEnd(uint64_t aRequest, bool aCompleted); // aCompleted: the backend server responded
  // Records that the backend server ended without being told to stop. Returns the number of
  // fingerprints that were in flight.
  size_t OnServerCrash();

  // Releases a fingerprint for an operator. Nodes that learn of it drop all its crashes up to now.
  void Release(Fingerprint aFingerprint);

  // Encodes records for a peer, the least often sent first, in at most aMaxBytes. Empty when none
  // are pending.
  std::vector<uint8_t> TakeGossip(size_t aMaxBytes);
  // Encodes all records, for a node that has just started.
  std::vector<uint8_t> EncodeAll() const;
  // Returns the number of records that changed. On an error, nothing has changed.
  Result<size_t> Merge(std::span<const uint8_t> aBytes);
  size_t MergeRecords(std::span<const SuspectRecord> aRecords);

  std::vector<SuspectView> List() const; // ordered by fingerprint
  size_t Size() const { return mEntries.size(); }

private:
  struct Entry
  {
    SuspectRecord mRecord;
    uint32_t mSent = 0;
    size_t mChainLength = 0; // crashes that count
    WallMillis mUntil = 0;
    bool mHeld = false; // for a short time, as one of several candidates
  };
  struct Run
  {
    Fingerprint mFingerprint{};
    WallMillis mStarted = 0;
  };
  struct Completion
  {
    Fingerprint mFingerprint{};
    WallMillis mAt = 0;
  };

  WallMillis NowMillis() const;
  bool MergeRecord(const SuspectRecord& aRecord, WallMillis aNow);
  bool Normalise(SuspectRecord& aRecord, WallMillis aNow) const;
  bool ClearCrashes(SuspectRecord& aRecord, WallMillis aCompletedAt) const;
  WallMillis CompletedAt(Fingerprint aFingerprint) const;
  bool IsKnownGood(Fingerprint aFingerprint, WallMillis aCrash) const;
  void RecordCompletion(Fingerprint aFingerprint, WallMillis aAt);
  bool Expire(WallMillis aNow);
  void Evaluate();
  void Trim();
  SuspectState StateOf(const Entry& aEntry, WallMillis aNow) const;

  const Clock& mClock;
  uint64_t mServer;
  QuarantinePolicy mPolicy;
  std::unordered_map<Fingerprint, Entry> mEntries;
  std::unordered_map<uint64_t, Run> mInFlight;
  std::vector<Completion> mCompletions;
};

} // namespace balsammount

template <>
struct std::is_error_code_enum<balsammount::QuarantineError> : std::true_type
{
};
