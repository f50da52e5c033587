#include "balsammount/departures.h"

#include <algorithm>

namespace balsammount {

void Departures::Remember(const NodeRecord& aRecord)
{
  const auto [found, isNew] = mByNode.try_emplace(aRecord.mNodeId);
  if (isNew || mOrder(found->second.mRecord, aRecord)) {
    found->second.mRecord = aRecord;
  }
  found->second.mAt = mClock.Now();
  if (mByNode.size() > mMaxCount) {
    mByNode.erase(
      std::min_element(mByNode.begin(), mByNode.end(), [](const auto& aLeft, const auto& aRight) {
        return aLeft.second.mAt < aRight.second.mAt;
      }));
  }
}

const NodeRecord* Departures::Find(const std::string& aNodeId) const
{
  const auto found = mByNode.find(aNodeId);
  const bool isKnown = found != mByNode.end() && mClock.Now() < found->second.mAt + mTime;
  return isKnown ? &found->second.mRecord : nullptr;
}

} // namespace balsammount
