#include "balsammount/key_value_model.h"

namespace balsammount {

const ModelEntry* KeyValueModel::Find(const std::string& aKey) const
{
  const auto found = mEntries.find(aKey);
  return found == mEntries.end() ? nullptr : &found->second;
}

std::vector<std::pair<std::string, ModelEntry>> KeyValueModel::Range(const std::string& aKey,
                                                                     const std::string& aEnd) const
{
  return { mEntries.lower_bound(aKey), mEntries.lower_bound(std::max(aKey, aEnd)) };
}

Revision KeyValueModel::ModRevision(const std::string& aKey) const
{
  const ModelEntry* entry = Find(aKey);
  return entry ? entry->mModRevision : kAbsent;
}

void KeyValueModel::Append(const std::string& aKey, std::optional<ModelEntry> aEntry)
{
  mHistory.push_back({ aKey, std::move(aEntry), mRevision });
}

bool KeyValueModel::Put(const std::string& aKey, std::string aValue, LeaseId aLease)
{
  if (aLease != kNoLease && !mLeases.contains(aLease)) {
    return false;
  }
  ++mRevision;
  ModelEntry& entry = mEntries[aKey];
  entry.mValue = std::move(aValue);
  entry.mCreateRevision = entry.mVersion == 0 ? mRevision : entry.mCreateRevision;
  entry.mModRevision = mRevision;
  entry.mLease = aLease;
  ++entry.mVersion;
  Append(aKey, entry);
  return true;
}

bool KeyValueModel::Delete(const std::string& aKey)
{
  if (mEntries.erase(aKey) == 0) {
    return false;
  }
  ++mRevision;
  Append(aKey, std::nullopt);
  return true;
}

LeaseId KeyValueModel::Grant(std::chrono::seconds aTimeToLive, LeaseId aRequestedId)
{
  const LeaseId lease = aRequestedId == kNoLease ? ++mLastLease : aRequestedId;
  mLeases[lease] = { aTimeToLive, mClock.Now() + aTimeToLive };
  return lease;
}

std::optional<std::chrono::seconds> KeyValueModel::KeepAlive(LeaseId aLease)
{
  const auto found = mLeases.find(aLease);
  if (found == mLeases.end()) {
    return std::nullopt;
  }
  found->second.mExpiry = mClock.Now() + found->second.mTimeToLive;
  return found->second.mTimeToLive;
}

bool KeyValueModel::Revoke(LeaseId aLease)
{
  if (mLeases.erase(aLease) == 0) {
    return false;
  }
  DeleteLeaseKeys(aLease);
  return true;
}

void KeyValueModel::DeleteLeaseKeys(LeaseId aLease)
{
  std::vector<std::string> keys;
  for (const auto& [key, entry] : mEntries) {
    if (entry.mLease == aLease) {
      keys.push_back(key);
    }
  }
  for (const std::string& key : keys) {
    Delete(key);
  }
}

void KeyValueModel::ExpireLeases()
{
  std::vector<LeaseId> expired;
  for (const auto& [lease, state] : mLeases) {
    if (state.mExpiry <= mClock.Now()) {
      expired.push_back(lease);
    }
  }
  for (const LeaseId lease : expired) {
    Revoke(lease);
  }
}

void KeyValueModel::ExpireAllLeases()
{
  while (!mLeases.empty()) {
    Revoke(mLeases.begin()->first);
  }
}

std::optional<std::vector<ModelEvent>> KeyValueModel::EventsFrom(Revision aFrom) const
{
  if (aFrom <= mCompactRevision) {
    return std::nullopt;
  }
  std::vector<ModelEvent> events;
  for (const ModelEvent& event : mHistory) {
    if (event.mRevision >= aFrom) {
      events.push_back(event);
    }
  }
  return events;
}

void KeyValueModel::Compact(Revision aRevision)
{
  mCompactRevision = std::max(mCompactRevision, aRevision);
  std::erase_if(mHistory,
                [this](const ModelEvent& aEvent) { return aEvent.mRevision <= mCompactRevision; });
}

KeyValueModel::Copy KeyValueModel::TakeCopy() const
{
  return { mRevision, mLastLease, mEntries, mLeases, mHistory, mCompactRevision };
}

void KeyValueModel::Restore(const Copy& aCopy, History aHistory)
{
  mRevision = aCopy.mRevision;
  mLastLease = aCopy.mLastLease;
  mEntries = aCopy.mEntries;
  mLeases = aCopy.mLeases;
  for (auto& [id, lease] : mLeases) {
    lease.mExpiry = mClock.Now() + lease.mTimeToLive;
  }
  mHistory = aCopy.mHistory;
  mCompactRevision = aCopy.mCompactRevision;
  if (aHistory == History::Lost) {
    Compact(mRevision);
  }
}

} // namespace balsammount
