// The store: a key-value service with compare-and-swap on a key, leases and watches.
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
  TimedOut,        // a read was not answered in time
  Unknown,         // a write that may have taken effect; read back to find out
  Conflict,        // the key has another mod revision; the failure carries the current entry
  Malformed,       // the store's answer cannot be understood
  TooLarge,        // the value exceeds the limit
  LeaseNotFound,   // the lease has expired or was revoked
};

std::error_code make_error_code(StoreError aError);

// Counts every change of the store; the mod revision of a key is the one of its last change.
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

// A failure of the store. With StoreError::Conflict, mCurrent is the entry that is there instead,
// or nothing when the key does not exist.
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
  std::optional<StoreEntry> mEntry; // nothing when the key does not exist
  Revision mRevision = 0;           // of the whole store at the read; watch from the next one
};

struct StoreLease
{
  LeaseId mId = kNoLease;
  std::chrono::seconds mTimeToLive{ 0 };
};

struct WatchEvent
{
  std::optional<std::string> mValue; // nothing when the key was deleted or its lease expired
  Revision mModRevision = 0;
  std::string mKey{};
};

// The first key after all keys that begin with the prefix. The prefix must hold a byte below 0xFF.
std::string PrefixEnd(std::string aPrefix);

struct StoreItem
{
  std::string mKey;
  StoreEntry mEntry;

  bool operator==(const StoreItem&) const = default;
};

// The entries under a prefix. Not a snapshot when there are many: an entry may be newer than
// mRevision, and a watch from the next revision reports it again.
struct StoreRange
{
  std::vector<StoreItem> mItems; // by key
  Revision mRevision = 0;
};

enum class Freshness
{
  Latest,
  MayBeStale, // cheaper, and may be seconds old; a watch from its revision catches up
};

using WatchCallback = std::function<void(const WatchEvent&)>;

// A watch goes on until it is cancelled or destroyed. No callback is made after that.
class StoreWatch
{
public:
  virtual ~StoreWatch() = default;
  virtual void Cancel() = 0;
  // The least time from one report to the next. What changes in between is reported together, which
  // saves calls where each report costs one. Has no effect where the watch is one long answer.
  virtual void SetMinReportInterval(std::chrono::milliseconds) {}
};

// Calls return at once; their callbacks are made later, exactly once, from the thread of the event
// loop. Every call has a timeout. Destroying the store drops the callbacks that are still due; its
// watches have to be destroyed first.
class Store
{
public:
  virtual ~Store() = default;

  // Fails with Unavailable, TimedOut or Malformed.
  virtual void Get(std::string aKey, StoreCallback<StoreRead> aCallback) = 0;

  // Fails like Get.
  virtual void Range(std::string aPrefix, Freshness aFreshness,
                     StoreCallback<StoreRange> aCallback) = 0;

  // Writes the value if the key's mod revision is aExpected (kAbsent: the key must not exist), and
  // returns the new mod revision. Fails with Unavailable, Unknown, Conflict, TooLarge or
  // LeaseNotFound.
  virtual void CompareAndSwap(std::string aKey, Revision aExpected, std::string aValue,
                              LeaseId aLease, StoreCallback<Revision> aCallback) = 0;

  // Deletes the key if its mod revision is aExpected, and returns the store's revision.
  virtual void Delete(std::string aKey, Revision aExpected, StoreCallback<Revision> aCallback) = 0;

  // A lease whose grant is Unknown expires by itself.
  virtual void GrantLease(std::chrono::seconds aTimeToLive,
                          StoreCallback<StoreLease> aCallback) = 0;
  // Returns the renewed time to live, counted from some moment of the call. Renewing twice does no
  // harm, so a call without an answer fails with TimedOut or Unavailable and may be repeated.
  virtual void KeepAlive(LeaseId aLease, StoreCallback<std::chrono::seconds> aCallback) = 0;
  // Deletes the keys that are attached to the lease.
  virtual void RevokeLease(LeaseId aLease, StoreCallback<void> aCallback) = 0;

  // Reports the changes of the key from revision aFrom on, in order and without repeats. A watch
  // that is cut resumes where it was. When the store no longer has the history in between, only the
  // latest state is reported.
  virtual std::unique_ptr<StoreWatch> Watch(std::string aKey, Revision aFrom,
                                            WatchCallback aCallback) = 0;

  // Reports the changes of every key with the prefix. When the store no longer has the history,
  // aOnHistoryLost is called once and the watch is over: the prefix has to be read again.
  virtual std::unique_ptr<StoreWatch> WatchPrefix(std::string aPrefix, Revision aFrom,
                                                  WatchCallback aCallback,
                                                  std::function<void()> aOnHistoryLost) = 0;
};

} // namespace balsammount

template <>
struct std::is_error_code_enum<balsammount::StoreError> : std::true_type
{
};
