#include "forwarder.h"

#include "balsammount/entry_floor.h"
#include "balsammount/event.h"

#include <algorithm>
#include <vector>

namespace balsammount {

namespace {

// Maximum number of upstreams tried for one request while their nodes refuse it before it reaches
// their backend servers. Such a refusal costs a round trip but no work.
constexpr size_t kMaxUpstreams = 4;
// The same after a refusal for lack of capacity: the other upstreams are likely to be full as well.
constexpr size_t kMaxOverloadedUpstreams = 2;

// Sub-calls of a retried request count as retries too, so retries of one service use up the budget
// of the services that it calls. Half of the fleet's ratio leaves room for two levels of calls.
constexpr double kFleetRatioShare = 0.5;
// Nodes use the slack unevenly. A third of it is reserved for nodes that have just started.
constexpr double kFleetSlackShare = 0.66;

} // namespace

struct Forwarder::ServiceState
{
  explicit ServiceState(const Clock& aClock)
    : mRetryLimiter(aClock, {})
    , mFloors({})
  {
  }
  RetryLimiter mRetryLimiter;
  EntryFloors mFloors;
};

class Forwarder::ForwardedCall final
  : public Call
  , public std::enable_shared_from_this<ForwardedCall>
{
public:
  ForwardedCall(Forwarder& aForwarder, CallContext aContext, HttpRequest aRequest,
                RequestBudget aBudget, CallResultCallback aCallback)
    : mForwarder(aForwarder)
    , mContext(std::move(aContext))
    , mRequest(std::move(aRequest))
    , mBudget(std::move(aBudget))
    , mCallback(std::move(aCallback))
  {
  }

  void Start()
  {
    const Config& config = *mForwarder.mConfig;
    const RankPolicy* rank = config.FindRank(mContext.mRank);
    const size_t rankIndex =
      rank ? static_cast<size_t>(rank - config.Ranks().data()) : config.Ranks().size();
    Upstreams& upstreams = mForwarder.mUpstreams;
    ServiceState& state = mForwarder.StateOf(mContext.mService);
    if (mContext.mIsRoot &&
        upstreams.ShouldShed(mContext.mService, rankIndex, mContext.mRequestHash) &&
        !state.mFloors.HasFloorCredit(rankIndex)) {
      // Sheds a request that the upstreams would refuse anyway. This is done only where the call
      // chain starts, because further downstream it would waste the work done so far.
      CallResult result =
        Refused(CallReason::Overload, std::move(mBudget), std::chrono::seconds(1));
      result.mShedLevel = upstreams.ShedLevel(mContext.mService);
      Finish(std::move(result));
      return;
    }
    state.mFloors.OnSent(rankIndex);
    state.mRetryLimiter.OnRequest();
    Attempt();
  }

  void Cancel() override
  {
    mCallback = nullptr;
    if (mAttempt) {
      mForwarder.mUpstreams.OnCancel(mUpstream, mForwarder.mClock.Now() - mAttemptStart);
      std::exchange(mAttempt, nullptr)->Cancel();
    }
  }

private:
  void Attempt()
  {
    const SteadyTime now = mForwarder.mClock.Now();
    if (now >= mContext.mDeadline) {
      Finish(Refused(CallReason::Deadline, std::move(mBudget)));
      return;
    }
    const auto chosen = mForwarder.mUpstreams.Choose(mContext.mService, mTried);
    if (!chosen) {
      Finish(mLastRefusal
               ? std::move(*mLastRefusal)
               : Refused(CallReason::Unavailable, std::move(mBudget), std::chrono::seconds(1)));
      return;
    }
    mUpstream = *chosen;
    mTried.push_back(mUpstream);
    const size_t attempts = mTried.size();
    mAttemptStart = now;
    mForwarder.mUpstreams.OnStart(mUpstream);
    // Keeps one retry here, so that a lost connection to the next hop does not lose all of them.
    const uint32_t passedOn = mBudget.Left() > 0 ? mBudget.Left() - 1 : 0;
    RequestBudget budget = mBudget.Split(passedOn);
    mWaiting = true;
    auto onResult = [self = shared_from_this()](CallResult aResult) {
      self->OnResult(std::move(aResult));
    };
    auto attempt =
      mForwarder.mUpstreams.IsSelf(mUpstream)
        ? mForwarder.mLocal.Handle(mContext, mRequest, std::move(budget), std::move(onResult))
        : mForwarder.mPeers.Forward(mForwarder.mUpstreams.NodeIdOf(mUpstream), mContext, mRequest,
                                    std::move(budget), now, std::move(onResult));
    // An attempt that ended at once may have been followed by further attempts.
    if (mWaiting && mTried.size() == attempts) {
      mAttempt = std::move(attempt);
    }
  }

  void OnResult(CallResult aResult)
  {
    mWaiting = false;
    mAttempt = nullptr;
    if (!mCallback) {
      return;
    }
    const SteadyTime now = mForwarder.mClock.Now();
    mForwarder.mUpstreams.OnEnd(mContext.mService, mUpstream, aResult, now - mAttemptStart);
    mBudget.Return(std::move(aResult.mBudget));
    if (CanTryNextUpstream(aResult, now)) {
      LogRetry(aResult, now);
      aResult.mBudget = {};
      mLastRefusal = std::move(aResult);
      Attempt();
      return;
    }
    const auto decision =
      TakeRetry(aResult.mOutcome, mContext.mIdempotent, mBudget,
                mForwarder.RetryLimiterOf(mContext.mService), mContext.mDeadline - now);
    if (decision != RetryDecision::Retry) {
      aResult.mBudget = std::move(mBudget);
      Finish(std::move(aResult));
      return;
    }
    LogRetry(aResult, now);
    mForwarder.mMetrics.OnRetry(mContext.mService);
    mLastRefusal = std::move(aResult);
    Attempt();
  }

  // An attempt that has reached no backend server does not count as a retry.
  bool CanTryNextUpstream(const CallResult& aResult, SteadyTime aNow)
  {
    if (aResult.mOutcome != AttemptOutcome::NotRun || aResult.mReachedServer ||
        aNow >= mContext.mDeadline) {
      return false;
    }
    const bool isFull =
      aResult.mReason != CallReason::Unavailable && aResult.mReason != CallReason::Draining;
    return mTried.size() < (isFull ? kMaxOverloadedUpstreams : kMaxUpstreams);
  }

  void LogRetry(const CallResult& aResult, SteadyTime aNow) const
  {
    Event("routing", "again")
      .Add("request", mContext.mRequestId)
      .Add("service", mContext.mService)
      .Add("node", mForwarder.mUpstreams.NodeIdOf(mUpstream))
      .Add("outcome", aResult.mOutcome == AttemptOutcome::Unknown ? "unknown" : "not-run")
      .Add("reason", ToString(aResult.mReason))
      .Add("reached_server", aResult.mReachedServer)
      .Add("attempt", mTried.size())
      .Add("elapsed_ms", aNow - mAttemptStart);
  }

  void Finish(CallResult aResult)
  {
    if (auto callback = std::exchange(mCallback, nullptr)) {
      // The shed level of a called service raises that of this node's own service.
      mForwarder.mOnShedLevel(mForwarder.mUpstreams.ShedLevel(mContext.mService));
      callback(std::move(aResult));
    }
  }

  Forwarder& mForwarder;
  CallContext mContext;
  HttpRequest mRequest;
  RequestBudget mBudget;
  CallResultCallback mCallback;
  std::vector<UpstreamId> mTried;
  std::optional<CallResult> mLastRefusal;
  std::shared_ptr<Call> mAttempt;
  UpstreamId mUpstream{};
  SteadyTime mAttemptStart{};
  bool mWaiting = false;
};

Forwarder::Forwarder(const Clock& aClock, const NodeSettings& aSettings, Upstreams& aUpstreams,
                     Peers& aPeers, CallHandler& aLocal, Metrics& aMetrics)
  : mClock(aClock)
  , mFleetRetryRatio(aSettings.mFleetRetryRatio)
  , mFleetRetrySlack(aSettings.mFleetRetrySlack)
  , mUpstreams(aUpstreams)
  , mPeers(aPeers)
  , mLocal(aLocal)
  , mMetrics(aMetrics)
  , mConfig(std::make_shared<const Config>())
  , mOnShedLevel([](uint32_t) {})
{
}

Forwarder::~Forwarder() = default;

std::shared_ptr<Call> Forwarder::Handle(CallContext aContext, HttpRequest aRequest,
                                        RequestBudget aBudget, CallResultCallback aCallback)
{
  auto call = std::make_shared<ForwardedCall>(*this, std::move(aContext), std::move(aRequest),
                                              std::move(aBudget), std::move(aCallback));
  call->Start();
  return call;
}

void Forwarder::SetShedLevelCallback(std::function<void(uint32_t)> aCallback)
{
  mOnShedLevel = std::move(aCallback);
}

void Forwarder::ApplyConfig(const std::shared_ptr<const Config>& aConfig)
{
  mConfig = aConfig;
  std::vector<double> floors;
  for (const RankPolicy& rank : aConfig->Ranks()) {
    floors.push_back(rank.mFloor);
  }
  for (const ServicePolicy& service : aConfig->Services()) {
    StateOf(service.mName).mFloors.SetFloors(floors);
  }
  ApplyRetryPolicies();
}

void Forwarder::SetFleetSize(size_t aNodes)
{
  if (aNodes != mFleetSize) {
    mFleetSize = std::max<size_t>(aNodes, 1);
    ApplyRetryPolicies();
  }
}

RetryLimiterPolicy Forwarder::MakeRetryLimiterPolicy(const ServicePolicy& aService) const
{
  RetryLimiterPolicy policy;
  if (mFleetRetryRatio <= 0) {
    policy.mRatio = aService.mRetries.mRatio;
    return policy;
  }
  policy.mRatio = mFleetRetryRatio * kFleetRatioShare;
  policy.mBurst =
    std::max(1.0, mFleetRetrySlack * kFleetSlackShare / static_cast<double>(mFleetSize));
  policy.mMinPerSecond = 0;
  return policy;
}

void Forwarder::ApplyRetryPolicies()
{
  for (const ServicePolicy& service : mConfig->Services()) {
    StateOf(service.mName).mRetryLimiter.SetPolicy(MakeRetryLimiterPolicy(service));
  }
}

Forwarder::ServiceState& Forwarder::StateOf(const std::string& aService)
{
  auto& state = mServices[aService];
  if (!state) {
    state = std::make_unique<ServiceState>(mClock);
  }
  return *state;
}

RetryLimiter& Forwarder::RetryLimiterOf(const std::string& aService)
{
  return StateOf(aService).mRetryLimiter;
}

} // namespace balsammount
