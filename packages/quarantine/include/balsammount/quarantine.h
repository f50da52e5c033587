// Requests that crash backend servers: evidence, its exchange between nodes, and the verdict.
//
// Evidence is a set of deaths per fingerprint. Nodes merge sets, and the verdict is a function of
// the merged set, so the order of messages does not matter (as long as the table is not full).
//
// Rules against blaming a request that merely shared a server:
//
//  * One death makes suspects only.
//  * A second death counts only if the run in flight there started after the first death plus the
//    clock tolerance. A crashing request is sent again after it killed a server, while servers that
//    die together for another reason hold runs that all started before the first death.
//  * A completed run voids the deaths before it. Popular requests complete within milliseconds on
//    other servers and are cleared before a second, unrelated death.
//  * A fingerprint that this node has completed shortly before is not held here. Servers that die
//    within the clock tolerance, or one that dies again and again, leave no time for a completed
//    run in between, and a request that is held everywhere could never be cleared.
//  * When a second death leaves several candidates, at most one of them is guilty. All of them are
//    held for a short time with different ends, and only a third death quarantines one for the full
//    time. Candidates that are cleared later still count, so that the last one that waits is not
//    blamed by elimination.
//
// What remains: a single request that is in flight at two unrelated deaths, started after the first
// and completed nowhere in between, is quarantined until it is released or the time is over. A
// request that crashes servers only sometimes is cleared by each run that completes.
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

// Times are milliseconds of the wall clock since its epoch, because they are compared between
// nodes. 0 means never.
using WallMillis = int64_t;

// A run that was in flight when its server died.
struct CrashEvidence
{
  WallMillis mAt = 0;
  uint64_t mServer = 0;
  WallMillis mStarted = 0;   // at most mAt
  WallMillis mClearedAt = 0; // first completed run of the fingerprint after the death

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
  WallMillis mReleasedAt = 0;          // deaths up to this time are dropped
  std::vector<CrashEvidence> mCrashes; // ascending; at most kMaxDeaths, the latest

  bool operator==(const SuspectRecord&) const = default;
};

inline constexpr size_t kMaxCrashes = 4;
inline constexpr size_t kMaxRecordsPerMessage = 4096;
inline constexpr size_t kMaxQuarantineMessage = 256 * 1024; // bytes

// MessagePack: [version, [[server, at] ...], [[fingerprint, released, [[index of the death, ms from
// the start to the death, 0 or 1 + ms from the death to its voiding] ...]] ...]].
std::vector<uint8_t> EncodeSuspects(std::span<const SuspectRecord> aRecords);
Result<std::vector<SuspectRecord>> DecodeSuspects(std::span<const uint8_t> aBytes);

struct QuarantinePolicy
{
  Duration mQuarantineTime = std::chrono::minutes(10);
  Duration mHoldTime = std::chrono::seconds(10); // of several candidates; plus up to as much again
  Duration mEvidenceTtl = std::chrono::minutes(20); // life of a death; at least mQuarantine
  // Difference between the clocks of two nodes up to which the order of events is not trusted.
  Duration mClockTolerance = std::chrono::milliseconds(250);
  // A completed run speaks for the fingerprint for this long. A request that begins to crash
  // servers, because they were replaced, kills one more on each node that has completed it.
  Duration mKnownGoodTime = std::chrono::minutes(1);
  Duration mMaxFuture = std::chrono::minutes(1); // records later than this are ignored
  size_t mMaxRecords = 1024;                     // about 250 bytes each
  size_t mMaxInFlight = 4096;                    // further runs are not tracked
  size_t mMaxCompletions = 4096;                 // recently completed fingerprints, 16 bytes each
  uint32_t mMaxTransmissions = 30;               // by TakeGossip, per change of a record

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

// The evidence that one node holds. Not thread safe. IsQuarantined, OnDispatch and OnEnd cost one
// or two look-ups; OnEnd costs more when it clears a suspect.
class Quarantine
{
public:
  // aServer identifies the backend server beside this node.
  Quarantine(const Clock& aClock, uint64_t aServer, const QuarantinePolicy& aPolicy);

  bool IsQuarantined(Fingerprint aFingerprint) const;
  Duration RetryAfter(Fingerprint aFingerprint) const; // zero when not quarantined

  // Runs on the backend server beside this node. Request ids are unique among runs in flight.
  void OnDispatch(uint64_t aRequest, Fingerprint aFingerprint);
  void OnEnd(uint64_t aRequest, bool aCompleted); // aCompleted: the backend server responded
  // The backend server died, and not because it was told to stop. Returns the number of suspects.
  size_t OnServerCrash();

  // An operator's release. It voids every death up to now on all nodes that learn of it.
  void Release(Fingerprint aFingerprint);

  // Records to send to a peer, changed ones first, at most aMaxBytes; empty when there are none.
  std::vector<uint8_t> TakeGossip(size_t aMaxBytes);
  // Everything, for a node that has just started.
  std::vector<uint8_t> EncodeAll() const;
  // Returns the number of records that changed. Bytes with an error change nothing.
  Result<size_t> Merge(std::span<const uint8_t> aBytes);
  size_t MergeRecords(std::span<const SuspectRecord> aRecords);

  std::vector<SuspectView> List() const; // ordered by fingerprint
  size_t Size() const { return mEntries.size(); }

private:
  struct Entry
  {
    SuspectRecord mRecord;
    uint32_t mSent = 0;
    size_t mChainLength = 0; // deaths that count
    WallMillis mUntil = 0;
    bool mHeld = false; // short hold, one of several candidates
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
