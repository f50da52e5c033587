// The last departures that this node has learned of.
#pragma once

#include "balsammount/clock.h"
#include "balsammount/node_record.h"

#include <map>
#include <string>

namespace balsammount {

// Keeps the last departure of each node for a limited time. Not thread safe.
class Departures
{
public:
  using Order = bool (*)(const NodeRecord& aEarlier, const NodeRecord& aLater);

  Departures(const Clock& aClock, Order aOrder, Duration aTime, size_t aMaxCount)
    : mClock(aClock)
    , mOrder(aOrder)
    , mTime(aTime)
    , mMaxCount(aMaxCount)
  {
  }

  // The time starts again if the record is known already. Drops the oldest record if there are too
  // many.
  void Remember(const NodeRecord& aRecord);
  // Returns null if no record of the node has been remembered in that time.
  const NodeRecord* Find(const std::string& aNodeId) const;

private:
  struct Departure
  {
    NodeRecord mRecord;
    SteadyTime mAt{};
  };

  const Clock& mClock;
  Order mOrder;
  Duration mTime;
  size_t mMaxCount;
  std::map<std::string, Departure> mByNode;
};

} // namespace balsammount
