// The upstreams of the fleet. Maps the names of nodes, services and data centres to router ids.
#pragma once

#include "call_context.h"

#include "balsammount/config.h"
#include "balsammount/routing.h"

#include <map>
#include <optional>
#include <span>
#include <string>
#include <vector>

namespace balsammount {

// A node and its backend server, as known to other nodes.
struct UpstreamRecord
{
  std::string mNodeId;
  std::string mService;
  std::string mDataCentre;
  uint64_t mIncarnation = 0;
  bool mLeaving = false;
  std::optional<Duration> mWarmUpLeft{}; // as announced by the backend server

  bool operator==(const UpstreamRecord&) const = default;
};

class Upstreams
{
public:
  Upstreams(const Clock& aClock, Random& aRandom, const std::string& aSelf,
            const std::string& aDataCentre);

  void Upsert(const UpstreamRecord& aRecord);
  void Remove(const std::string& aNodeId);
  void ApplyConfig(const Config& aConfig);

  Result<UpstreamId> Choose(const std::string& aService, std::span<const UpstreamId> aExcluded);
  const std::string& NodeIdOf(UpstreamId aUpstream) const;
  bool IsSelf(UpstreamId aUpstream) const { return aUpstream == mSelf; }

  // Accounting of attempts: OnEnd or OnCancel follows every OnStart.
  void OnStart(UpstreamId aUpstream) { mRouter.OnStart(aUpstream); }
  void OnEnd(const std::string& aService, UpstreamId aUpstream, const CallResult& aResult,
             Duration aElapsed);
  void OnCancel(UpstreamId aUpstream, Duration aElapsed) { mRouter.OnCancel(aUpstream, aElapsed); }

  uint32_t ShedLevel(const std::string& aService);
  bool ShouldShed(const std::string& aService, size_t aRank, uint64_t aRequestHash);

  std::vector<std::string> Services() const;
  std::vector<UpstreamView> View(const std::string& aService) const;

private:
  ServiceId ServiceIdOf(const std::string& aService);
  DataCentreId DataCentreIdOf(const std::string& aDataCentre);

  UpstreamId mSelf;
  std::map<std::string, ServiceId> mServices;
  std::map<std::string, DataCentreId> mDataCentres;
  std::unordered_map<UpstreamId, std::string> mNodeIds;
  RoutingPolicy mPolicy;
  Router mRouter;
};

} // namespace balsammount
