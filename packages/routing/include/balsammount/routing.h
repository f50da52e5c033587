// Selects the upstream of a request, and decides by the shed levels that upstreams report whether
// to shed a request before it is sent.
//
// Not thread-safe. Choose, ShouldShed and the On... methods do not allocate memory.
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
  UnknownService = 1, // no upstream of the service was ever added
  NoUpstream,         // every upstream is leaving or was removed
  AllExcluded,        // every upstream has been tried already
};

std::error_code make_error_code(RoutingError aError);

struct DataCentreCost
{
  DataCentreId mDataCentre{};
  double mCost = 0; // one-way delay in ms plus a penalty in ms for packet loss

  bool operator==(const DataCentreCost&) const = default;
};

struct RoutingPolicy
{
  uint64_t mSelf = 0; // hash of this node's id; selects the node's subsets
  DataCentreId mDataCentre{};
  std::vector<DataCentreCost> mCosts; // unlisted data centres are used last
  double mCostTolerance = 0.2;        // costs within this fraction of each other count as equal
  std::vector<double> mRankWorths;    // by rank; at equal worth the lower rank is shed later

  size_t mLocalSubset = 24; // upstreams per service in this data centre
  size_t mRemoteSubset = 6; // upstreams per service in each other data centre

  Duration mInitialLatency = std::chrono::milliseconds(20); // assumed until a service has samples
  // An above-average latency without new samples decays within this time.
  Duration mLatencyDecayTime = std::chrono::seconds(10);
  Duration mSlowStart = std::chrono::seconds(10);
  double mSlowStartWeight = 0.1; // initial share of a warm upstream's requests

  // An upstream is avoided for this long after a refusal, up to 4 times as long after several.
  Duration mRefusalBackoff = std::chrono::milliseconds(200);
  double mOverloadThreshold = 1.0; // reported load at which an upstream is avoided
  Duration mLoadTtl = std::chrono::seconds(1);

  uint32_t mMaxConsecutiveFailures = 5; // this many eject an upstream
  double mMaxFailureRate = 0.5;         // recent failure rate that ejects, after 16 outcomes
  double mMaxEjectedShare = 0.3;        // of a service's subset; at least 1 if it has 2 or more
  Duration mEjectionTime = std::chrono::seconds(5); // first ejection; doubles with each further one
  Duration mMaxEjectionTime = std::chrono::minutes(2);
  // The doubling starts again this long after the end of the last ejection.
  Duration mEjectionResetTime = std::chrono::minutes(5);

  // Stale levels of upstreams that get no requests must not outweigh fresh ones. With 2 s, goodput
  // at three times the usual demand fell from 95% to 73% of capacity in a simulation.
  Duration mShedLevelTtl = std::chrono::milliseconds(300);

  bool operator==(const RoutingPolicy&) const = default;
};

struct UpstreamInfo
{
  UpstreamId mId{};
  ServiceId mService{};
  DataCentreId mDataCentre{};
  uint64_t mIncarnation = 0;
  std::optional<Duration> mWarmUp{}; // remaining warm-up time; empty when unknown

  bool operator==(const UpstreamInfo&) const = default;
};

struct ChooseHints
{
  std::span<const UpstreamId> mExcluded; // upstreams already tried, in any order
  bool mAllowProbe = true;               // false excludes upstreams on probation
};

// A response from the upstream's backend server.
struct UpstreamResponse
{
  Duration mLatency{};
  std::optional<float> mLoad; // reported by the upstream's node; 1 is its limit
  bool mServerError = false;  // the backend server returned a 5xx status
  // The server error follows from a failed call of the backend server to another service. Another
  // upstream would fail as well, so it does not count against this one.
  bool mCallFailed = false;
};

enum class UpstreamState
{
  Normal,
  SlowStart,
  Avoided, // refused, overloaded or failed recently
  Ejected,
  Probation, // ejection time is over; gets one request at a time until one succeeds
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

// Chooses from a subset of each service's upstreams. Rendezvous hashing selects the subset per data
// centre, so adding or removing one upstream replaces at most one member. Of two random members,
// the one with the lower product of requests in flight and recent latency is chosen. Members in
// other data centres are used only when all local ones are avoided, ejected or excluded. When every
// member is avoided, the nearest ones are used again, because a refusal in the same data centre
// costs less than one across a link.
//
// Upstreams are ejected for failures, not for latency. A slow upstream loses most comparisons but
// still gets a small share of requests, which reveals its recovery.
class Router
{
public:
  Router(const Clock& aClock, Random& aRandom, RoutingPolicy aPolicy);
  ~Router();
  Router(const Router&) = delete;
  Router& operator=(const Router&) = delete;

  void SetPolicy(RoutingPolicy aPolicy);

  // Adds or updates an upstream. A lower incarnation is ignored. A higher one clears the leaving
  // and ejected states and begins a slow start. Upstreams added within one slow-start time of the
  // router's construction count as warm, because then the router is new rather than the upstream.
  void UpsertUpstream(const UpstreamInfo& aInfo);
  void RemoveUpstream(UpstreamId aUpstream);
  // The upstream gets no new requests until it is added with a higher incarnation.
  void SetLeaving(UpstreamId aUpstream);

  Result<UpstreamId> Choose(ServiceId aService, const ChooseHints& aHints = {});

  // Each OnStart must be followed by exactly one of the five other methods of this group. Unknown
  // upstreams are ignored.
  void OnStart(UpstreamId aUpstream);
  void OnResponse(UpstreamId aUpstream, const UpstreamResponse& aResponse);
  void OnRefused(UpstreamId aUpstream); // refused before dispatch
  void OnFailure(UpstreamId aUpstream); // the connection was lost or made no progress
  // No response before the request's deadline. Counts as a failure only if the upstream has not
  // responded to any other request meanwhile. Ejecting one that is merely overloaded would overload
  // the others.
  void OnTimeout(UpstreamId aUpstream, Duration aElapsed);
  void OnCancel(UpstreamId aUpstream, Duration aElapsed); // the request was cancelled

  void OnShedLevel(ServiceId aService, UpstreamId aUpstream, uint32_t aLevel);

  // Returns the lower median of the levels that have not expired in the service's subset, or 0 if
  // there are none. shed_level.h defines the scale.
  uint32_t ShedLevel(ServiceId aService);
  bool ShouldShed(ServiceId aService, RankIndex aRank, uint64_t aRequestHash);

  // Returns the known upstreams of a service, ordered by id. Allocates memory.
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
