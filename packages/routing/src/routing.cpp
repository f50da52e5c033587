#include "balsammount/routing.h"

#include "balsammount/hash.h"
#include "balsammount/shed_level.h"

#include <algorithm>
#include <array>
#include <cmath>
#include <limits>
#include <tuple>
#include <utility>

namespace balsammount {

namespace {

// Smoothing factors of the moving averages of latency. The average rises faster than it falls, so
// that an upstream that slows down loses requests quickly and one fast response does not bring them
// back.
constexpr double kLatencyRiseAlpha = 0.25;
constexpr double kLatencyFallAlpha = 0.1;
constexpr double kServiceLatencyAlpha = 0.05;
// Fraction of the service's latency that a stale, higher upstream latency decays to. Below 1, so
// that the upstream wins a comparison and gets a new sample even when nothing is in flight.
constexpr double kStaleLatencyFactor = 0.9;

constexpr double kFailureRateAlpha = 1.0 / 16;
constexpr uint32_t kMinOutcomes = 16;
// An upstream whose requests all fail scores 5 times its latency.
constexpr double kFailurePenalty = 4;

constexpr uint32_t kMaxBackoffDoublings = 2;
// Two failures in a row are rarely a coincidence. The backoff leaves time for a few other requests
// to show whether the upstream still fails.
constexpr uint32_t kAvoidAfterFailures = 2;
constexpr Duration kFailureBackoff = std::chrono::seconds(1);

// Random members to try before the whole tier is scanned.
constexpr int kRandomDraws = 6;
// From the second retry on, the data centres of the upstreams already tried are avoided.
constexpr size_t kMaxTriedDataCentres = 4;
constexpr size_t kTriedBeforeSecondRetry = 2;

double Nanos(Duration aTime)
{
  return static_cast<double>(aTime.count());
}

} // namespace

struct Router::Upstream
{
  UpstreamInfo mInfo;
  ServiceState* mService = nullptr;
  uint64_t mRendezvousHash = 0; // lowest values form the subset
  bool mLeaving = false;
  bool mRemoved = false; // kept until its requests end
  bool mInSubset = false;

  uint32_t mInFlight = 0;
  double mLatency = 0; // ns; 0 without a sample
  SteadyTime mLatencySampledAt{};
  SteadyTime mLastResponseAt = SteadyTime::min();
  SteadyTime mWarmAt = SteadyTime::min();

  SteadyTime mAvoidUntil = SteadyTime::min();
  uint32_t mConsecutiveRefusals = 0;
  float mLoad = 0;
  SteadyTime mLoadAt = SteadyTime::min();

  uint32_t mConsecutiveFailures = 0;
  uint32_t mOutcomes = 0;
  double mFailureRate = 0;
  bool mEjected = false;
  uint32_t mEjections = 0;
  SteadyTime mEjectedUntil{};

  uint32_t mShedLevel = 0;
  SteadyTime mShedLevelUntil = SteadyTime::min();

  bool OnProbation(SteadyTime aNow) const { return mEjected && aNow >= mEjectedUntil; }
};

struct Router::Tier
{
  double mCost = 0;
  std::vector<Upstream*> mMembers;
};

struct Router::ServiceState
{
  ServiceId mId{};
  std::vector<Upstream*> mAll;
  std::vector<Tier> mTiers;
  size_t mSubsetSize = 0;
  double mLatency = 0; // ns; 0 without a sample

  uint32_t mShedLevel = 0;
  bool mShedLevelCached = false;
  SteadyTime mShedLevelUntil = SteadyTime::min();
  std::vector<uint32_t> mShedLevelBuffer; // buffer with capacity for the whole subset
};

// Selects the upstreams that one pass of Choose considers.
struct Router::Filter
{
  SteadyTime mNow;
  const ChooseHints& mHints;
  std::span<const DataCentreId> mExcludedDataCentres;
  bool mAllowAvoided = false;
  bool mAllowEjected = false;
};

std::error_code make_error_code(RoutingError aError)
{
  static constexpr std::array<const char*, 4> kMessages = { "success", "unknown service",
                                                            "no upstream",
                                                            "every upstream was tried" };
  static const EnumCategory sCategory("balsammount.routing", kMessages);
  return { static_cast<int>(aError), sCategory };
}

Router::Router(const Clock& aClock, Random& aRandom, RoutingPolicy aPolicy)
  : mClock(aClock)
  , mRandom(aRandom)
  , mCreated(aClock.Now())
{
  SetPolicy(std::move(aPolicy));
}

Router::~Router() = default;

void Router::SetPolicy(RoutingPolicy aPolicy)
{
  mPolicy = std::move(aPolicy);
  const auto& worths = mPolicy.mRankWorths;
  mRanksBelow.assign(worths.size(), 0);
  for (size_t rank = 0; rank < worths.size(); ++rank) {
    for (size_t other = 0; other < worths.size(); ++other) {
      const bool below =
        worths[other] < worths[rank] || (worths[other] == worths[rank] && other > rank);
      mRanksBelow[rank] += below ? 1 : 0;
    }
  }
  for (auto& [id, upstream] : mUpstreams) {
    upstream->mRendezvousHash = HashCombine(mPolicy.mSelf, static_cast<uint64_t>(id));
  }
  for (auto& [id, service] : mServices) {
    Rebuild(*service);
  }
}

Router::Upstream* Router::Find(UpstreamId aUpstream)
{
  const auto found = mUpstreams.find(aUpstream);
  return found == mUpstreams.end() ? nullptr : found->second.get();
}

double Router::CostOf(DataCentreId aDataCentre) const
{
  if (aDataCentre == mPolicy.mDataCentre) {
    return -1;
  }
  for (const DataCentreCost& cost : mPolicy.mCosts) {
    if (cost.mDataCentre == aDataCentre) {
      return std::max(0.0, cost.mCost);
    }
  }
  return std::numeric_limits<double>::infinity();
}

void Router::UpsertUpstream(const UpstreamInfo& aInfo)
{
  const SteadyTime now = mClock.Now();
  auto& entry = mUpstreams[aInfo.mId];
  if (entry && aInfo.mIncarnation < entry->mInfo.mIncarnation) {
    return;
  }
  if (entry && aInfo == entry->mInfo && !entry->mRemoved) {
    return;
  }
  const bool cold = entry || now - mCreated >= mPolicy.mSlowStart;
  const bool restarted = !entry || aInfo.mIncarnation > entry->mInfo.mIncarnation;
  if (!entry) {
    entry = std::make_unique<Upstream>();
  }
  if (ServiceState* old = entry->mService; old && old->mId != aInfo.mService) {
    std::erase(old->mAll, entry.get());
    Rebuild(*old);
    entry->mService = nullptr;
  }
  auto& service = mServices[aInfo.mService];
  if (!service) {
    service = std::make_unique<ServiceState>();
    service->mId = aInfo.mService;
  }
  if (restarted) {
    Upstream fresh;
    fresh.mService = entry->mService;
    fresh.mInFlight = entry->mInFlight;
    fresh.mRemoved = entry->mRemoved;
    fresh.mWarmAt = now + aInfo.mWarmUp.value_or(cold ? mPolicy.mSlowStart : Duration::zero());
    *entry = fresh;
  }
  entry->mInfo = aInfo;
  entry->mRendezvousHash = HashCombine(mPolicy.mSelf, static_cast<uint64_t>(aInfo.mId));
  if (!entry->mService || entry->mRemoved) {
    service->mAll.push_back(entry.get());
  }
  entry->mService = service.get();
  entry->mRemoved = false;
  Rebuild(*service);
}

void Router::RemoveUpstream(UpstreamId aUpstream)
{
  Upstream* upstream = Find(aUpstream);
  if (!upstream || upstream->mRemoved) {
    return;
  }
  upstream->mRemoved = true;
  std::erase(upstream->mService->mAll, upstream);
  Rebuild(*upstream->mService);
  EraseIfUnused(aUpstream);
}

void Router::EraseIfUnused(UpstreamId aUpstream)
{
  const Upstream* upstream = Find(aUpstream);
  if (upstream && upstream->mRemoved && upstream->mInFlight == 0) {
    mUpstreams.erase(aUpstream);
  }
}

void Router::SetLeaving(UpstreamId aUpstream)
{
  Upstream* upstream = Find(aUpstream);
  if (upstream && !upstream->mLeaving) {
    upstream->mLeaving = true;
    Rebuild(*upstream->mService);
  }
}

void Router::Rebuild(ServiceState& aService)
{
  std::vector<Upstream*> active;
  active.reserve(aService.mAll.size());
  for (Upstream* upstream : aService.mAll) {
    upstream->mInSubset = false;
    if (!upstream->mLeaving) {
      active.push_back(upstream);
    }
  }
  const auto order = [this](const Upstream* aUpstream) {
    return std::make_tuple(CostOf(aUpstream->mInfo.mDataCentre), aUpstream->mInfo.mDataCentre,
                           aUpstream->mRendezvousHash, aUpstream->mInfo.mId);
  };
  std::sort(active.begin(), active.end(),
            [&](const auto* aLeft, const auto* aRight) { return order(aLeft) < order(aRight); });

  aService.mTiers.clear();
  aService.mSubsetSize = 0;
  for (size_t begin = 0; begin < active.size();) {
    const DataCentreId dataCentre = active[begin]->mInfo.mDataCentre;
    size_t end = begin;
    while (end < active.size() && active[end]->mInfo.mDataCentre == dataCentre) {
      ++end;
    }
    const bool local = dataCentre == mPolicy.mDataCentre;
    const size_t size = std::min(
      end - begin, std::max<size_t>(1, local ? mPolicy.mLocalSubset : mPolicy.mRemoteSubset));
    const double cost = CostOf(dataCentre);
    const bool joins = !aService.mTiers.empty() && aService.mTiers.back().mCost >= 0 &&
                       cost <= aService.mTiers.back().mCost * (1 + mPolicy.mCostTolerance);
    if (!joins) {
      aService.mTiers.push_back({ cost, {} });
    }
    auto& members = aService.mTiers.back().mMembers;
    members.insert(members.end(), active.begin() + static_cast<ptrdiff_t>(begin),
                   active.begin() + static_cast<ptrdiff_t>(begin + size));
    aService.mSubsetSize += size;
    begin = end;
  }
  for (const Tier& tier : aService.mTiers) {
    for (Upstream* upstream : tier.mMembers) {
      upstream->mInSubset = true;
    }
  }
  aService.mShedLevelBuffer.reserve(aService.mSubsetSize);
  aService.mShedLevelCached = false;
  EnforceEjectionLimit(aService);
}

size_t Router::EjectionLimit(const ServiceState& aService) const
{
  if (aService.mSubsetSize < 2) {
    return 0;
  }
  const double share = mPolicy.mMaxEjectedShare * static_cast<double>(aService.mSubsetSize);
  return std::min(aService.mSubsetSize - 1, std::max<size_t>(1, static_cast<size_t>(share)));
}

// Ends ejections above the limit, which falls when the subset shrinks. Those that expire soonest
// end first.
void Router::EnforceEjectionLimit(ServiceState& aService)
{
  for (;;) {
    size_t ejected = 0;
    Upstream* first = nullptr;
    for (const Tier& tier : aService.mTiers) {
      for (Upstream* upstream : tier.mMembers) {
        if (upstream->mEjected) {
          ++ejected;
          first = first && first->mEjectedUntil <= upstream->mEjectedUntil ? first : upstream;
        }
      }
    }
    if (ejected <= EjectionLimit(aService)) {
      return;
    }
    first->mEjected = false;
  }
}

void Router::Eject(Upstream& aUpstream, SteadyTime aNow)
{
  if (aNow - aUpstream.mEjectedUntil > mPolicy.mEjectionResetTime) {
    aUpstream.mEjections = 0;
  }
  Duration time = mPolicy.mEjectionTime;
  for (uint32_t i = 0; i < aUpstream.mEjections && time < mPolicy.mMaxEjectionTime; ++i) {
    time *= 2;
  }
  // Jitter, so that nodes that ejected an upstream together do not probe it together. The longest
  // ejection includes it.
  constexpr double kJitter = 0.2;
  const auto longest =
    std::chrono::duration_cast<Duration>(mPolicy.mMaxEjectionTime / (1 + kJitter));
  time = std::min(time, longest);
  time += std::chrono::duration_cast<Duration>(time * (kJitter * mRandom.Uniform()));
  aUpstream.mEjected = true;
  aUpstream.mEjectedUntil = aNow + time;
  aUpstream.mEjections = std::min<uint32_t>(aUpstream.mEjections + 1, 32);
  aUpstream.mConsecutiveFailures = 0;
  aUpstream.mOutcomes = 0;
  aUpstream.mFailureRate = 0;
}

bool Router::IsAvoided(const Upstream& aUpstream, SteadyTime aNow) const
{
  if (aNow < aUpstream.mAvoidUntil) {
    return true;
  }
  return aUpstream.mLoad >= mPolicy.mOverloadThreshold &&
         aUpstream.mLoadAt + mPolicy.mLoadTtl > aNow;
}

double Router::Weight(const Upstream& aUpstream, SteadyTime aNow) const
{
  if (aNow >= aUpstream.mWarmAt || mPolicy.mSlowStart <= Duration::zero()) {
    return 1;
  }
  const double left = Nanos(aUpstream.mWarmAt - aNow) / Nanos(mPolicy.mSlowStart);
  return std::max(mPolicy.mSlowStartWeight, 1 - left);
}

double Router::Latency(const Upstream& aUpstream, SteadyTime aNow) const
{
  const double typical = aUpstream.mService->mLatency > 0 ? aUpstream.mService->mLatency
                                                          : Nanos(mPolicy.mInitialLatency);
  if (aUpstream.mLatency <= 0) {
    return typical;
  }
  if (aUpstream.mLatency <= typical) {
    return aUpstream.mLatency;
  }
  const double age =
    Nanos(aNow - aUpstream.mLatencySampledAt) / std::max(1.0, Nanos(mPolicy.mLatencyDecayTime));
  const double target = kStaleLatencyFactor * typical;
  return target + (aUpstream.mLatency - target) * std::max(0.0, 1 - age);
}

double Router::Score(const Upstream& aUpstream, SteadyTime aNow) const
{
  return (static_cast<double>(aUpstream.mInFlight) / Weight(aUpstream, aNow) + 1) *
         Latency(aUpstream, aNow) * (1 + kFailurePenalty * aUpstream.mFailureRate);
}

bool Router::IsCandidate(const Upstream& aUpstream, const Filter& aFilter) const
{
  const auto& excluded = aFilter.mHints.mExcluded;
  if (std::find(excluded.begin(), excluded.end(), aUpstream.mInfo.mId) != excluded.end()) {
    return false;
  }
  if (std::find(aFilter.mExcludedDataCentres.begin(), aFilter.mExcludedDataCentres.end(),
                aUpstream.mInfo.mDataCentre) != aFilter.mExcludedDataCentres.end()) {
    return false;
  }
  if (aUpstream.mEjected && !aFilter.mAllowEjected) {
    // An upstream on probation gets one request at a time.
    if (!aFilter.mHints.mAllowProbe || !aUpstream.OnProbation(aFilter.mNow) ||
        aUpstream.mInFlight > 0) {
      return false;
    }
  }
  return aFilter.mAllowAvoided || !IsAvoided(aUpstream, aFilter.mNow);
}

Router::Upstream* Router::LowerScore(Upstream* aLeft, Upstream* aRight, SteadyTime aNow) const
{
  return Score(*aRight, aNow) < Score(*aLeft, aNow) ? aRight : aLeft;
}

Router::Upstream* Router::ChooseFromTier(const Tier& aTier, const Filter& aFilter)
{
  // An upstream in slow start or on probation is accepted in only a share of the draws.
  const auto accepted = [&](const Upstream& aUpstream) {
    const double weight =
      aUpstream.mEjected ? mPolicy.mSlowStartWeight : Weight(aUpstream, aFilter.mNow);
    return weight >= 1 || mRandom.Uniform() < weight;
  };
  const auto& members = aTier.mMembers;
  Upstream* first = nullptr;
  for (int draw = 0; draw < kRandomDraws; ++draw) {
    Upstream* sampled = members[mRandom.Below(members.size())];
    if (sampled == first || !IsCandidate(*sampled, aFilter) || !accepted(*sampled)) {
      continue;
    }
    if (first) {
      return LowerScore(first, sampled, aFilter.mNow);
    }
    first = sampled;
  }
  // Few members are candidates, so two of them are selected by reservoir sampling over the whole
  // tier, from a random start.
  Upstream* one = nullptr;
  Upstream* two = nullptr;
  Upstream* fallback = nullptr;
  uint64_t seen = 0;
  const size_t start = mRandom.Below(members.size());
  for (size_t i = 0; i < members.size(); ++i) {
    Upstream* member = members[(start + i) % members.size()];
    if (!IsCandidate(*member, aFilter)) {
      continue;
    }
    if (!accepted(*member)) {
      // A cold upstream must not absorb the load that its overloaded neighbours refuse.
      if (aFilter.mAllowAvoided || member->mInFlight == 0) {
        fallback = fallback ? LowerScore(fallback, member, aFilter.mNow) : member;
      }
      continue;
    }
    ++seen;
    if (!one) {
      one = member;
    } else if (!two) {
      two = member;
    } else if (const uint64_t slot = mRandom.Below(seen); slot < 2) {
      (slot == 0 ? one : two) = member;
    }
  }
  if (!one) {
    return fallback;
  }
  return two ? LowerScore(one, two, aFilter.mNow) : one;
}

Result<UpstreamId> Router::Choose(ServiceId aService, const ChooseHints& aHints)
{
  const auto found = mServices.find(aService);
  if (found == mServices.end()) {
    return Failure{ RoutingError::UnknownService, {} };
  }
  const ServiceState& service = *found->second;
  if (service.mSubsetSize == 0) {
    return Failure{ RoutingError::NoUpstream, {} };
  }

  std::array<DataCentreId, kMaxTriedDataCentres> triedDataCentres{};
  size_t triedCount = 0;
  if (aHints.mExcluded.size() >= kTriedBeforeSecondRetry) {
    for (const UpstreamId id : aHints.mExcluded) {
      if (const Upstream* tried = Find(id); tried && triedCount < triedDataCentres.size()) {
        triedDataCentres[triedCount++] = tried->mInfo.mDataCentre;
      }
    }
  }

  Filter filter{ mClock.Now(), aHints, { triedDataCentres.data(), triedCount }, false, false };
  const auto search = [&]() -> Upstream* {
    for (const Tier& tier : service.mTiers) {
      if (Upstream* chosen = ChooseFromTier(tier, filter)) {
        return chosen;
      }
    }
    return nullptr;
  };
  // In order of preference: an upstream in an untried data centre if that is required, any other
  // that is neither avoided nor ejected, an avoided one, an ejected one.
  Upstream* chosen = triedCount > 0 ? search() : nullptr;
  filter.mExcludedDataCentres = {};
  if (!chosen) {
    chosen = search();
  }
  if (!chosen) {
    filter.mAllowAvoided = true;
    chosen = search();
  }
  if (!chosen) {
    filter.mAllowEjected = true;
    chosen = search();
  }
  if (!chosen) {
    return Failure{ RoutingError::AllExcluded, {} };
  }
  return chosen->mInfo.mId;
}

void Router::OnStart(UpstreamId aUpstream)
{
  if (Upstream* upstream = Find(aUpstream)) {
    ++upstream->mInFlight;
  }
}

void Router::EndRequest(Upstream& aUpstream)
{
  aUpstream.mInFlight -= aUpstream.mInFlight > 0 ? 1 : 0;
}

void Router::AddLatency(Upstream& aUpstream, Duration aLatency, SteadyTime aNow)
{
  const double sample = std::max(1.0, Nanos(aLatency));
  ServiceState& service = *aUpstream.mService;
  const double current = aUpstream.mLatency > 0 ? Latency(aUpstream, aNow) : sample;
  aUpstream.mLatency =
    current + (sample > current ? kLatencyRiseAlpha : kLatencyFallAlpha) * (sample - current);
  aUpstream.mLatencySampledAt = aNow;
  service.mLatency = service.mLatency > 0
                       ? service.mLatency + kServiceLatencyAlpha * (sample - service.mLatency)
                       : sample;
}

void Router::CountSuccess(Upstream& aUpstream, SteadyTime aNow)
{
  aUpstream.mConsecutiveFailures = 0;
  aUpstream.mConsecutiveRefusals = 0;
  aUpstream.mAvoidUntil = SteadyTime::min();
  aUpstream.mFailureRate -= kFailureRateAlpha * aUpstream.mFailureRate;
  aUpstream.mOutcomes = std::min(aUpstream.mOutcomes + 1, kMinOutcomes);
  if (aUpstream.OnProbation(aNow)) {
    aUpstream.mEjected = false;
    aUpstream.mWarmAt = aNow + mPolicy.mSlowStart;
  }
}

void Router::CountFailure(Upstream& aUpstream, SteadyTime aNow)
{
  ++aUpstream.mConsecutiveFailures;
  aUpstream.mFailureRate += kFailureRateAlpha * (1 - aUpstream.mFailureRate);
  aUpstream.mOutcomes = std::min(aUpstream.mOutcomes + 1, kMinOutcomes);
  if (aUpstream.mConsecutiveFailures >= kAvoidAfterFailures) {
    aUpstream.mAvoidUntil = std::max(aUpstream.mAvoidUntil, aNow + kFailureBackoff);
  }
  if (aUpstream.mRemoved || aUpstream.mLeaving || !aUpstream.mInSubset) {
    return;
  }
  if (aUpstream.mEjected) {
    // Requests that started before the ejection may still fail. Only a failed probe counts.
    if (aUpstream.OnProbation(aNow)) {
      Eject(aUpstream, aNow);
    }
    return;
  }
  const bool often =
    aUpstream.mOutcomes >= kMinOutcomes && aUpstream.mFailureRate >= mPolicy.mMaxFailureRate;
  if (aUpstream.mConsecutiveFailures < mPolicy.mMaxConsecutiveFailures && !often) {
    return;
  }
  size_t ejected = 0;
  for (const Tier& tier : aUpstream.mService->mTiers) {
    ejected += static_cast<size_t>(std::count_if(tier.mMembers.begin(), tier.mMembers.end(),
                                                 [](const auto* aOne) { return aOne->mEjected; }));
  }
  if (ejected < EjectionLimit(*aUpstream.mService)) {
    Eject(aUpstream, aNow);
  }
}

void Router::OnResponse(UpstreamId aUpstream, const UpstreamResponse& aResponse)
{
  Upstream* upstream = Find(aUpstream);
  if (!upstream) {
    return;
  }
  const SteadyTime now = mClock.Now();
  EndRequest(*upstream);
  upstream->mLastResponseAt = now;
  if (aResponse.mLoad) {
    upstream->mLoad = *aResponse.mLoad;
    upstream->mLoadAt = now;
  }
  if (aResponse.mServerError && aResponse.mCallFailed) {
    // Avoiding the upstream would send its load to other data centres, where it fails as well.
  } else if (aResponse.mServerError) {
    // The latency is ignored, because a server that fails immediately must not look fast.
    CountFailure(*upstream, now);
  } else {
    AddLatency(*upstream, aResponse.mLatency, now);
    CountSuccess(*upstream, now);
  }
  EraseIfUnused(aUpstream);
}

void Router::OnRefused(UpstreamId aUpstream)
{
  Upstream* upstream = Find(aUpstream);
  if (!upstream) {
    return;
  }
  EndRequest(*upstream);
  const uint32_t doublings = std::min(upstream->mConsecutiveRefusals, kMaxBackoffDoublings);
  upstream->mAvoidUntil =
    std::max(upstream->mAvoidUntil, mClock.Now() + mPolicy.mRefusalBackoff * (1U << doublings));
  upstream->mConsecutiveRefusals =
    std::min(upstream->mConsecutiveRefusals + 1, kMaxBackoffDoublings);
  EraseIfUnused(aUpstream);
}

void Router::OnFailure(UpstreamId aUpstream)
{
  if (Upstream* upstream = Find(aUpstream)) {
    EndRequest(*upstream);
    CountFailure(*upstream, mClock.Now());
    EraseIfUnused(aUpstream);
  }
}

void Router::OnTimeout(UpstreamId aUpstream, Duration aElapsed)
{
  const Upstream* upstream = Find(aUpstream);
  if (upstream && upstream->mLastResponseAt > mClock.Now() - aElapsed) {
    OnCancel(aUpstream, aElapsed);
  } else {
    OnFailure(aUpstream);
  }
}

void Router::OnCancel(UpstreamId aUpstream, Duration aElapsed)
{
  if (Upstream* upstream = Find(aUpstream)) {
    EndRequest(*upstream);
    // The elapsed time is a lower bound of the latency.
    const SteadyTime now = mClock.Now();
    if (Nanos(aElapsed) > Latency(*upstream, now)) {
      AddLatency(*upstream, aElapsed, now);
    }
    EraseIfUnused(aUpstream);
  }
}

void Router::OnShedLevel(ServiceId aService, UpstreamId aUpstream, uint32_t aLevel)
{
  Upstream* upstream = Find(aUpstream);
  if (!upstream || upstream->mInfo.mService != aService) {
    return;
  }
  const SteadyTime now = mClock.Now();
  if (upstream->mShedLevel != aLevel || upstream->mShedLevelUntil <= now) {
    upstream->mService->mShedLevelCached = false;
  }
  upstream->mShedLevel = aLevel;
  upstream->mShedLevelUntil = now + mPolicy.mShedLevelTtl;
}

uint32_t Router::ShedLevel(ServiceId aService)
{
  const auto found = mServices.find(aService);
  if (found == mServices.end()) {
    return 0;
  }
  ServiceState& service = *found->second;
  const SteadyTime now = mClock.Now();
  if (service.mShedLevelCached && now < service.mShedLevelUntil) {
    return service.mShedLevel;
  }
  auto& levels = service.mShedLevelBuffer;
  levels.clear();
  service.mShedLevelUntil = SteadyTime::max();
  for (const Tier& tier : service.mTiers) {
    for (const Upstream* upstream : tier.mMembers) {
      if (upstream->mShedLevelUntil > now) {
        levels.push_back(upstream->mShedLevel);
        service.mShedLevelUntil = std::min(service.mShedLevelUntil, upstream->mShedLevelUntil);
      }
    }
  }
  service.mShedLevelCached = true;
  service.mShedLevel = 0;
  if (!levels.empty()) {
    const auto middle = levels.begin() + static_cast<ptrdiff_t>((levels.size() - 1) / 2);
    std::nth_element(levels.begin(), middle, levels.end());
    service.mShedLevel = *middle;
  }
  return service.mShedLevel;
}

uint32_t Router::RanksBelow(RankIndex aRank) const
{
  const auto rank = static_cast<size_t>(aRank);
  return rank < mRanksBelow.size() ? mRanksBelow[rank] : 0;
}

bool Router::ShouldShed(ServiceId aService, RankIndex aRank, uint64_t aRequestHash)
{
  const uint32_t level = ShedLevel(aService);
  return IsShed(level, RanksBelow(aRank), aRequestHash);
}

std::vector<UpstreamView> Router::Upstreams(ServiceId aService) const
{
  std::vector<UpstreamView> views;
  const auto found = mServices.find(aService);
  if (found == mServices.end()) {
    return views;
  }
  const SteadyTime now = mClock.Now();
  views.reserve(found->second->mAll.size());
  for (const Upstream* upstream : found->second->mAll) {
    UpstreamState state = UpstreamState::Normal;
    if (upstream->mLeaving) {
      state = UpstreamState::Leaving;
    } else if (upstream->mEjected) {
      state = upstream->OnProbation(now) ? UpstreamState::Probation : UpstreamState::Ejected;
    } else if (IsAvoided(*upstream, now)) {
      state = UpstreamState::Avoided;
    } else if (now < upstream->mWarmAt) {
      state = UpstreamState::SlowStart;
    }
    views.push_back({ upstream->mInfo, state, upstream->mInSubset, upstream->mInFlight,
                      Duration(static_cast<int64_t>(Latency(*upstream, now))) });
  }
  std::sort(views.begin(), views.end(), [](const auto& aLeft, const auto& aRight) {
    return aLeft.mInfo.mId < aRight.mInfo.mId;
  });
  return views;
}

} // namespace balsammount
