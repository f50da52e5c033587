// Fetches a newer configuration from the nodes that state that they have it.
#pragma once

#include "config_service.h"
#include "peers.h"

#include "balsammount/clock.h"

#include <cstdint>
#include <map>
#include <optional>
#include <string>

namespace balsammount {

// Time limit of one fetch.
constexpr Duration kConfigFetchTimeout = std::chrono::milliseconds(1000);

// One fetch at a time is enough as a rule. A node that does not answer soon must not keep others
// from being asked, nor must a version that is older than one that is known by now.
class ConfigFetcher
{
public:
  ConfigFetcher(const Clock& aClock, Peers& aPeers, ConfigService& aConfig);
  // Ignores the answers to the fetches that are under way.
  void Stop() { mStopped = true; }

  // Handles the statement of a node that it has the revision.
  void OnStated(std::string aNodeId, uint64_t aRevision);
  // Asks the next node if the fetches under way have got no answer soon. To be called regularly.
  void TryNextSource();
  bool IsFetching() const { return !mFetches.empty(); }

private:
  struct Source
  {
    std::string mNodeId;
    uint64_t mRevision = 0;
  };
  void Fetch(const Source& aSource);

  const Clock& mClock;
  Peers& mPeers;
  ConfigService& mConfig;
  std::map<std::string, uint64_t> mFetches; // revision stated, by node that is being asked
  SteadyTime mLastFetch{};
  std::optional<Source> mNextSource; // the newest one that is not being asked
  bool mStopped = false;
};

} // namespace balsammount
