#include "upstreams.h"

#include "balsammount/hash.h"

namespace balsammount {

namespace {

std::optional<float> LoadOf(const CallResult& aResult)
{
  return aResult.mLoadPercent > 0 ? std::optional(static_cast<float>(aResult.mLoadPercent) / 100)
                                  : std::nullopt;
}

UpstreamId UpstreamIdOf(const std::string& aNodeId)
{
  return static_cast<UpstreamId>(Hash64(aNodeId));
}

} // namespace

Upstreams::Upstreams(const Clock& aClock, Random& aRandom, const std::string& aSelf,
                     const std::string& aDataCentre)
  : mSelf(UpstreamIdOf(aSelf))
  , mPolicy([&] {
    RoutingPolicy policy;
    policy.mSelf = Hash64(aSelf);
    policy.mDataCentre = DataCentreIdOf(aDataCentre);
    return policy;
  }())
  , mRouter(aClock, aRandom, mPolicy)
{
}

ServiceId Upstreams::ServiceIdOf(const std::string& aService)
{
  return mServices.try_emplace(aService, static_cast<ServiceId>(mServices.size())).first->second;
}

DataCentreId Upstreams::DataCentreIdOf(const std::string& aDataCentre)
{
  return mDataCentres.try_emplace(aDataCentre, static_cast<DataCentreId>(mDataCentres.size()))
    .first->second;
}

void Upstreams::Upsert(const UpstreamRecord& aRecord)
{
  const UpstreamId id = UpstreamIdOf(aRecord.mNodeId);
  mNodeIds[id] = aRecord.mNodeId;
  mRouter.UpsertUpstream({ id, ServiceIdOf(aRecord.mService), DataCentreIdOf(aRecord.mDataCentre),
                           aRecord.mIncarnation, aRecord.mWarmUpLeft });
  if (aRecord.mLeaving) {
    mRouter.SetLeaving(id);
  }
}

void Upstreams::Remove(const std::string& aNodeId)
{
  // Keeps the name, because requests in flight still refer to it.
  mRouter.RemoveUpstream(UpstreamIdOf(aNodeId));
}

void Upstreams::ApplyConfig(const Config& aConfig)
{
  mPolicy.mRankWorths.clear();
  for (const RankPolicy& rank : aConfig.Ranks()) {
    mPolicy.mRankWorths.push_back(rank.mWorth);
  }
  mRouter.SetPolicy(mPolicy);
}

Result<UpstreamId> Upstreams::Choose(const std::string& aService,
                                     std::span<const UpstreamId> aExcluded)
{
  return mRouter.Choose(ServiceIdOf(aService), { aExcluded, true });
}

const std::string& Upstreams::NodeIdOf(UpstreamId aUpstream) const
{
  return mNodeIds.at(aUpstream);
}

void Upstreams::OnEnd(const std::string& aService, UpstreamId aUpstream, const CallResult& aResult,
                      Duration aElapsed)
{
  switch (aResult.mOutcome) {
    case AttemptOutcome::Complete:
      mRouter.OnResponse(aUpstream, { aElapsed, LoadOf(aResult), aResult.mResponse.mStatus >= 500,
                                      aResult.mCallFailed });
      break;
    case AttemptOutcome::Unknown:
      if (aResult.mReason == CallReason::Deadline) {
        mRouter.OnTimeout(aUpstream, aElapsed);
      } else {
        mRouter.OnFailure(aUpstream);
      }
      return;
    case AttemptOutcome::NotRunEverywhere:
      // Every upstream would refuse this request, so the refusal says nothing about this one.
      mRouter.OnCancel(aUpstream, aElapsed);
      break;
    case AttemptOutcome::NotRun:
      // The request was late, but this upstream has spare capacity. Avoiding it would increase the
      // load on the others and make more requests late.
      if (IsDeadlineRefusal(aResult)) {
        mRouter.OnCancel(aUpstream, Duration::zero());
        break;
      }
      mRouter.OnRefused(aUpstream);
      break;
  }
  if (aResult.mLeaving) {
    mRouter.SetLeaving(aUpstream);
  }
  mRouter.OnShedLevel(ServiceIdOf(aService), aUpstream, aResult.mShedLevel);
}

uint32_t Upstreams::ShedLevel(const std::string& aService)
{
  return mRouter.ShedLevel(ServiceIdOf(aService));
}

bool Upstreams::ShouldShed(const std::string& aService, size_t aRank, uint64_t aRequestHash)
{
  return mRouter.ShouldShed(ServiceIdOf(aService), static_cast<RankIndex>(aRank), aRequestHash);
}

std::vector<std::string> Upstreams::Services() const
{
  std::vector<std::string> names;
  for (const auto& [name, number] : mServices) {
    names.push_back(name);
  }
  return names;
}

std::vector<UpstreamView> Upstreams::View(const std::string& aService) const
{
  const auto found = mServices.find(aService);
  return found == mServices.end() ? std::vector<UpstreamView>{} : mRouter.Upstreams(found->second);
}

} // namespace balsammount
