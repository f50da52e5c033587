// Interface of the store, a key-value service with compare-and-swap, leases and watches.
#pragma once

#include "balsammount/error.h"

#include <chrono>
#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace balsammount {

enum class StoreError
{
  Unavailable = 1, // the call had no effect
  TimedOut,        // no response to a read in time
  Unknown,         // the write may have taken effect; a read can tell
  Conflict,        // the key has a different mod revision; see StoreFailure::mCurrent
  Malformed,       // the response cannot be parsed
  TooLarge,        // the value exceeds the limit
  LeaseNotFound,   // the lease has expired or was revoked
};

std::error_code make_error_code(StoreError aError);

// Number that increases with every change of the store. The mod revision of a key is that of its
// last change.
using Revision = int64_t;
using LeaseId = int64_t;

constexpr Revision kAbsent = 0; // expected mod revision of a key that must not exist
constexpr LeaseId kNoLease = 0;
constexpr size_t kMaxStoreValueBytes = 1024 * 1024;

struct StoreEntry
{
  std::string mValue;
  Revision mModRevision = kAbsent;
  LeaseId mLease = kNoLease;

  bool operator==(const StoreEntry&) const = default;
};

// With StoreError::Conflict, mCurrent is the current entry of the key, or nullopt if the key does
// not exist.
struct StoreFailure : Failure
{
  StoreFailure() = default;
  StoreFailure(std::error_code aCode, std::string aDetail,
               std::optional<StoreEntry> aCurrent = std::nullopt)
    : Failure{ aCode, std::move(aDetail) }
    , mCurrent(std::move(aCurrent))
  {
  }

  std::optional<StoreEntry> mCurrent;
};

template <class T>
using StoreResult = boost::system::result<T, StoreFailure>;

template <class T>
using StoreCallback = std::function<void(StoreResult<T>)>;

struct StoreRead
{
  std::optional<StoreEntry> mEntry; // nullopt if the key does not exist
  Revision mRevision = 0; // of the store at the time of the read; a watch starts from the next one
};

struct StoreLease
{
  LeaseId mId = kNoLease;
  std::chrono::seconds mTimeToLive{ 0 };
};

struct WatchEvent
{
  std::optional<std::string> mValue; // nullopt if the key was deleted or its lease expired
  Revision mModRevision = 0;
  std::string mKey{};
};

// Returns the first key after all keys with the prefix. The prefix must contain a byte below 0xFF.
std::string PrefixEnd(std::string aPrefix);

struct StoreItem
{
  std::string mKey;
  StoreEntry mEntry;

  bool operator==(const StoreItem&) const = default;
};

// The entries with a prefix. A large range is not a snapshot: an entry may be newer than mRevision,
// and a watch from the next revision reports it again.
struct StoreRange
{
  std::vector<StoreItem> mItems; // ordered by key
  Revision mRevision = 0;
};

enum class Freshness
{
  Latest,
  MayBeStale, // cheaper, but possibly seconds old; a watch from its revision catches up
};

using WatchCallback = std::function<void(const WatchEvent&)>;

// A watch lasts until it is cancelled or destroyed. No callback is made after that.
class StoreWatch
{
public:
  virtual ~StoreWatch() = default;
  virtual void Cancel() = 0;
  // Sets the minimum time between two reports. Changes in between are reported together, which
  // saves calls to a store where each report costs one. Has no effect on a watch whose reports
  // arrive in one streamed response.
  virtual void SetMinReportInterval(std::chrono::milliseconds) {}
  // Asks the store for changes that have not been reported, in case it has lost the request of the
  // watch. If the store answers, reports them and passes aOnChecked the revision up to which all
  // changes have been reported. Has no effect on a streamed watch, which ends when it is lost.
  virtual void CheckNow(const std::function<void(Revision)>& /*aOnChecked*/) {}
};

// Calls do not block. Each callback is called exactly once, later, on the thread of the event loop.
// Every call has a timeout. Destroying the store drops the outstanding callbacks; its watches must
// be destroyed first.
class Store
{
public:
  virtual ~Store() = default;

  // Fails with Unavailable, TimedOut or Malformed.
  virtual void Get(std::string aKey, StoreCallback<StoreRead> aCallback) = 0;

  // Fails with the same errors as Get.
  virtual void Range(std::string aPrefix, Freshness aFreshness,
                     StoreCallback<StoreRange> aCallback) = 0;

  // Writes the value if the mod revision of the key is aExpected; kAbsent means that the key must
  // not exist. Returns the new mod revision. Fails with Unavailable, Unknown, Conflict, TooLarge or
  // LeaseNotFound.
  virtual void CompareAndSwap(std::string aKey, Revision aExpected, std::string aValue,
                              LeaseId aLease, StoreCallback<Revision> aCallback) = 0;

  // Deletes the key if its mod revision is aExpected. Returns the revision of the store.
  virtual void Delete(std::string aKey, Revision aExpected, StoreCallback<Revision> aCallback) = 0;

  // If the result is Unknown, the lease may exist; it then expires without keep-alives.
  virtual void GrantLease(std::chrono::seconds aTimeToLive,
                          StoreCallback<StoreLease> aCallback) = 0;
  // Renews the lease and returns its time to live, which starts at some time during the call.
  // Renewal is idempotent, so a call without a response fails with TimedOut or Unavailable and may
  // be retried.
  virtual void KeepAlive(LeaseId aLease, StoreCallback<std::chrono::seconds> aCallback) = 0;
  // Ends the lease and deletes the keys that are attached to it.
  virtual void RevokeLease(LeaseId aLease, StoreCallback<void> aCallback) = 0;

  // Reports the changes of the key from revision aFrom on, in order and without duplicates. After a
  // lost connection the watch resumes at the last reported revision. If the store has compacted the
  // changes since then, it reports only the latest state.
  virtual std::unique_ptr<StoreWatch> Watch(std::string aKey, Revision aFrom,
                                            WatchCallback aCallback) = 0;

  // Reports the changes of all keys with the prefix. If the store has compacted unreported changes,
  // or may have returned from an older copy and given out revisions again, aOnHistoryLost is called
  // once and the watch ends; the prefix must be read again.
  virtual std::unique_ptr<StoreWatch> WatchPrefix(std::string aPrefix, Revision aFrom,
                                                  WatchCallback aCallback,
                                                  std::function<void()> aOnHistoryLost) = 0;
};

} // namespace balsammount

template <>
struct std::is_error_code_enum<balsammount::StoreError> : std::true_type
{
};
