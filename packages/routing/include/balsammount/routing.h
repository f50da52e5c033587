// Selection of an upstream for a request, and shedding at the entry by the levels that the
// upstreams report.
//
// Not thread safe. Choose, ShouldShed and the On... methods allocate nothing.
#pragma once

#include "balsammount/clock.h"
#include "balsammount/error.h"
#include "balsammount/random.h"

#include <cstddef>
#include <cstdint>
#include <memory>
#include <optional>
#include <span>
#include <unordered_map>
#include <vector>

namespace balsammount {

enum class UpstreamId : uint64_t
{
};
enum class ServiceId : uint32_t
{
};
enum class DataCentreId : uint16_t
{
};
enum class RankIndex : uint32_t
{
};

enum class RoutingError
{
  UnknownService = 1, // no upstream of the service was ever announced
  NoUpstream,         // every upstream has left
  AllExcluded,        // every upstream was tried already
};

std::error_code make_error_code(RoutingError aError);

struct DataCentreCost
{
  DataCentreId mDataCentre{};
  double mCost = 0; // one-way delay in ms, plus what the loss of the link is worth in ms

  bool operator==(const DataCentreCost&) const = default;
};

struct RoutingPolicy
{
  uint64_t mSelf = 0; // hash of this node's id; places the node's subsets
  DataCentreId mDataCentre{};
  std::vector<DataCentreCost> mCosts; // data centres that are not listed come last
  double mCostTolerance = 0.2;        // costs within this share of each other count as equal
  std::vector<double> mRankWorths;    // by rank; of equal worths the lower rank is shed later

  size_t mLocalSubset = 24; // upstreams of a service in this data centre
  size_t mRemoteSubset = 6; // upstreams of a service in each other data centre

  Duration mInitialLatency = std::chrono::milliseconds(20); // of a service without a measurement
  Duration mLatencyDecayTime =
    std::chrono::seconds(10); // high latency without new samples is forgotten
  Duration mSlowStart = std::chrono::seconds(10);
  double mSlowStartWeight = 0.1; // share of a normal upstream's requests at the start

  Duration mRefusalBackoff =
    std::chrono::milliseconds(200); // avoided after a refusal; up to 4 times
  double mOverloadThreshold = 1.0;  // reported load that makes others preferred
  Duration mLoadTtl = std::chrono::seconds(1);

  uint32_t mMaxConsecutiveFailures = 5; // failures in a row that eject
  double mMaxFailureRate = 0.5;         // recent share of failures that ejects, after 16 responses
  double mMaxEjectedShare = 0.3;        // share of a service's upstreams; one of two to four may go
  Duration mEjectionTime = std::chrono::seconds(5); // first ejection; doubles each time
  Duration mMaxEjectionTime = std::chrono::minutes(2);
  Duration mEjectionResetTime = std::chrono::minutes(5); // good behaviour that resets the doubling

  // Levels of upstreams that get no requests must not outvote fresh ones: with 2 s, goodput at
  // three times the demand fell from 95% to 73% of capacity in the experiment hanul-demand-3.
  Duration mShedLevelTtl = std::chrono::milliseconds(300);

  bool operator==(const RoutingPolicy&) const = default;
};

struct UpstreamInfo
{
  UpstreamId mId{};
  ServiceId mService{};
  DataCentreId mDataCentre{};
  uint64_t mIncarnation = 0;
  std::optional<Duration> mWarmUp{}; // it is slow for this long from now; nothing: not known

  bool operator==(const UpstreamInfo&) const = default;
};

struct ChooseHints
{
  std::span<const UpstreamId> mExcluded; // upstreams tried already, in any order
  bool mAllowProbe = true;               // false keeps the request from an upstream on probation
};

// A response of the upstream's backend server.
struct UpstreamResponse
{
  Duration mLatency{};
  std::optional<float> mLoad; // as reported by the upstream's node: 1 when at its limit
  bool mServerError = false;  // the backend server reports a fault of its own (5xx)
};

enum class UpstreamState
{
  Normal,
  SlowStart,
  Avoided, // refused, overloaded or failed recently
  Ejected,
  Probation, // an ejection has ended; gets single requests until one succeeds
  Leaving,
};

struct UpstreamView
{
  UpstreamInfo mInfo;
  UpstreamState mState = UpstreamState::Normal;
  bool mInSubset = false;
  uint32_t mInFlight = 0;
  Duration mLatency{};

  bool operator==(const UpstreamView&) const = default;
};

// Chooses among a stable subset of each service's upstreams, picked by rendezvous hashing per data
// centre, so that a change of the fleet changes at most one member per change. Two random members
// are compared by requests in flight times recent latency. Members of other data centres are used
// only when all local ones are avoided, ejected or excluded. When every member is avoided, the
// nearest are used again: a refusal in the same data centre is cheaper than one across a link.
//
// Ejection is by failures, not by latency: a slow upstream loses the comparison and keeps a small
// share by which its recovery is noticed.
class Router
{
public:
  Router(const Clock& aClock, Random& aRandom, RoutingPolicy aPolicy);
  ~Router();
  Router(const Router&) = delete;
  Router& operator=(const Router&) = delete;

  void SetPolicy(RoutingPolicy aPolicy);

  // Adds or updates an upstream. A lower incarnation is ignored; a higher one ends leaving and
  // ejection and starts slowly. Upstreams that are learned within one slow-start time after the
  // router's construction are taken as warm: then the router is new, not they.
  void UpsertUpstream(const UpstreamInfo& aInfo);
  void RemoveUpstream(UpstreamId aUpstream);
  // Final for the incarnation: the upstream gets no new request from now on.
  void SetLeaving(UpstreamId aUpstream);

  Result<UpstreamId> Choose(ServiceId aService, const ChooseHints& aHints = {});

  // Every OnStart is followed by exactly one of the five others. Unknown upstreams are ignored.
  void OnStart(UpstreamId aUpstream);
  void OnResponse(UpstreamId aUpstream, const UpstreamResponse& aResponse);
  void OnRefused(UpstreamId aUpstream); // not-run
  void OnFailure(UpstreamId aUpstream); // connection lost, no progress
  // No answer before the request's deadline. A failure only of an upstream that has answered
  // nothing else meanwhile: an overloaded one must not be ejected, which would overload the others.
  void OnTimeout(UpstreamId aUpstream, Duration aElapsed);
  void OnCancel(UpstreamId aUpstream, Duration aElapsed); // the caller went away

  void OnShedLevel(ServiceId aService, UpstreamId aUpstream, uint32_t aLevel);

  // The lower median of the fresh levels of the service's subset; 0 when there is none. The scale
  // is that of shed_level.h.
  uint32_t ShedLevel(ServiceId aService);
  bool ShouldShed(ServiceId aService, RankIndex aRank, uint64_t aRequestHash);

  // Known upstreams of a service, ordered by id. Allocates.
  std::vector<UpstreamView> Upstreams(ServiceId aService) const;

private:
  struct Upstream;
  struct Tier;
  struct ServiceState;
  struct Filter;

  Upstream* Find(UpstreamId aUpstream);
  void Rebuild(ServiceState& aService);
  void EnforceEjectionLimit(ServiceState& aService);
  size_t EjectionLimit(const ServiceState& aService) const;
  void Eject(Upstream& aUpstream, SteadyTime aNow);
  void EndRequest(Upstream& aUpstream);
  void EraseIfUnused(UpstreamId aUpstream);
  void CountFailure(Upstream& aUpstream, SteadyTime aNow);
  void CountSuccess(Upstream& aUpstream, SteadyTime aNow);
  void AddLatency(Upstream& aUpstream, Duration aLatency, SteadyTime aNow);
  bool IsAvoided(const Upstream& aUpstream, SteadyTime aNow) const;
  double Weight(const Upstream& aUpstream, SteadyTime aNow) const;
  double Score(const Upstream& aUpstream, SteadyTime aNow) const;
  double Latency(const Upstream& aUpstream, SteadyTime aNow) const;
  bool IsCandidate(const Upstream& aUpstream, const Filter& aFilter) const;
  Upstream* ChooseFromTier(const Tier& aTier, const Filter& aFilter);
  Upstream* LowerScore(Upstream* aLeft, Upstream* aRight, SteadyTime aNow) const;
  double CostOf(DataCentreId aDataCentre) const;
  uint32_t RanksBelow(RankIndex aRank) const;

  const Clock& mClock;
  Random& mRandom;
  RoutingPolicy mPolicy;
  std::vector<uint32_t> mRanksBelow;
  SteadyTime mCreated;
  std::unordered_map<UpstreamId, std::unique_ptr<Upstream>> mUpstreams;
  std::unordered_map<ServiceId, std::unique_ptr<ServiceState>> mServices;
};

} // namespace balsammount

template <>
struct std::is_error_code_enum<balsammount::RoutingError> : std::true_type
{
};
