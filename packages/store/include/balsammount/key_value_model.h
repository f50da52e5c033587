// In-memory key-value model with revisions, leases and history, for test doubles of the store.
#pragma once

#include "balsammount/clock.h"
#include "balsammount/store.h"

#include <map>
#include <vector>

namespace balsammount {

struct ModelEntry
{
  std::string mValue;
  Revision mCreateRevision = 0;
  Revision mModRevision = 0;
  int64_t mVersion = 0; // writes since the key was created
  LeaseId mLease = kNoLease;
};

struct ModelEvent
{
  std::string mKey;
  std::optional<ModelEntry> mEntry; // nullopt if the key was deleted
  Revision mRevision = 0;
};

class KeyValueModel
{
public:
  explicit KeyValueModel(const Clock& aClock)
    : mClock(aClock)
  {
  }

  Revision CurrentRevision() const { return mRevision; }
  const ModelEntry* Find(const std::string& aKey) const;
  // Returns the entries with aKey <= key < aEnd.
  std::vector<std::pair<std::string, ModelEntry>> Range(const std::string& aKey,
                                                        const std::string& aEnd) const;
  // Returns kAbsent if the key does not exist.
  Revision ModRevision(const std::string& aKey) const;

  // Returns false and changes nothing if the lease does not exist.
  bool Put(const std::string& aKey, std::string aValue, LeaseId aLease);
  // Returns false and keeps the revision if the key does not exist.
  bool Delete(const std::string& aKey);

  LeaseId Grant(std::chrono::seconds aTimeToLive, LeaseId aRequestedId = kNoLease);
  // Returns the time to live, or nullopt if the lease does not exist.
  std::optional<std::chrono::seconds> KeepAlive(LeaseId aLease);
  bool Revoke(LeaseId aLease);
  // Revokes the leases whose time to live has passed.
  void ExpireLeases();
  void ExpireAllLeases();
  bool HasLease(LeaseId aLease) const { return mLeases.contains(aLease); }
  size_t LeaseCount() const { return mLeases.size(); }

  // Returns the changes from revision aFrom on, or nullopt if revision aFrom was compacted.
  std::optional<std::vector<ModelEvent>> EventsFrom(Revision aFrom) const;
  Revision CompactRevision() const { return mCompactRevision; }
  // Drops the history up to and including aRevision.
  void Compact(Revision aRevision);

  // The contents at one time.
  struct Copy;
  Copy TakeCopy() const;
  // Returns to the contents of the copy, as a store does that is started again from a backup. The
  // revisions and leases after it are forgotten and given out again. Leases have their full time to
  // live.
  enum class History
  {
    Lost,
    AsInCopy,
  };
  void Restore(const Copy& aCopy, History aHistory = History::Lost);

private:
  struct Lease
  {
    std::chrono::seconds mTimeToLive;
    SteadyTime mExpiry;
  };

  void Append(const std::string& aKey, std::optional<ModelEntry> aEntry);
  void DeleteLeaseKeys(LeaseId aLease);

  const Clock& mClock;
  Revision mRevision = 1;
  Revision mCompactRevision = 0;
  LeaseId mLastLease = 1000;
  std::map<std::string, ModelEntry> mEntries;
  std::map<LeaseId, Lease> mLeases;
  std::vector<ModelEvent> mHistory;
};

struct KeyValueModel::Copy
{
  Revision mRevision = 1;
  LeaseId mLastLease = 0;
  std::map<std::string, ModelEntry> mEntries;
  std::map<LeaseId, Lease> mLeases;
  std::vector<ModelEvent> mHistory;
  Revision mCompactRevision = 0;
};

} // namespace balsammount
