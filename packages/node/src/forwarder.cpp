#include "forwarder.h"

#include "balsammount/entry_floor.h"
#include "balsammount/event.h"

#include <algorithm>
#include <vector>

namespace balsammount {

namespace {

// Upstreams that one request is offered to at most, when their nodes refuse it before their backend
// servers see it. Such a refusal costs a round trip and no work.
constexpr size_t kMaxOffers = 4;
// Of those, after refusals for lack of capacity: the others are likely as full.
constexpr size_t kMaxOverloadOffers = 2;

// The calls of a repeated run count as repeats as well, so retries at one service spend the budget
// of the services that it calls. Half of the stated ratio leaves room for two levels of calls.
constexpr double kShareOfFleetRatio = 0.5;
// Nodes spend the slack unevenly; a third of it is kept for those that have just started.
constexpr double kShareOfFleetSlack = 0.66;

} // namespace

struct Forwarder::ServiceState
{
  explicit ServiceState(const Clock& aClock)
    : mRatio(aClock, {})
    , mFloors({})
  {
  }
  RetryLimiter mRatio;
  EntryFloors mFloors;
};

class Forwarder::ForwardedCall final
  : public Call
  , public std::enable_shared_from_this<ForwardedCall>
{
public:
  ForwardedCall(Forwarder& aForwarder, CallContext aContext, HttpRequest aRequest,
                RequestBudget aBudget, AnswerCallback aCallback)
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
      // A request that the upstreams would refuse anyway is refused before it costs them anything.
      // Only where the chain starts: further down, the work done so far would be thrown away.
      Answer answer = Refused(CallReason::Overload, std::move(mBudget), std::chrono::seconds(1));
      answer.mShedLevel = upstreams.ShedLevel(mContext.mService);
      Finish(std::move(answer));
      return;
    }
    state.mFloors.OnSent(rankIndex);
    state.mRatio.OnRequest();
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
    // One retry stays here, so that a lost connection to the next hop does not lose them all.
    const uint32_t passedOn = mBudget.Left() > 0 ? mBudget.Left() - 1 : 0;
    RequestBudget budget = mBudget.Split(passedOn);
    mWaiting = true;
    auto onAnswer = [self = shared_from_this()](Answer aAnswer) {
      self->OnAnswer(std::move(aAnswer));
    };
    auto attempt =
      mForwarder.mUpstreams.IsSelf(mUpstream)
        ? mForwarder.mLocal.Handle(mContext, mRequest, std::move(budget), std::move(onAnswer))
        : mForwarder.mPeers.Forward(mForwarder.mUpstreams.NodeOf(mUpstream), mContext, mRequest,
                                    std::move(budget), now, std::move(onAnswer));
    // An attempt that was answered at once may have led to further ones.
    if (mWaiting && mTried.size() == attempts) {
      mAttempt = std::move(attempt);
    }
  }

  void OnAnswer(Answer aAnswer)
  {
    mWaiting = false;
    mAttempt = nullptr;
    if (!mCallback) {
      return;
    }
    const SteadyTime now = mForwarder.mClock.Now();
    mForwarder.mUpstreams.OnEnd(mContext.mService, mUpstream, aAnswer, now - mAttemptStart);
    mBudget.Return(std::move(aAnswer.mBudget));
    if (MayOfferAgain(aAnswer, now)) {
      LogRetry(aAnswer, now);
      aAnswer.mBudget = {};
      mLastRefusal = std::move(aAnswer);
      Attempt();
      return;
    }
    const auto reason = TakeRetry(aAnswer.mOutcome, mContext.mIdempotent, mBudget,
                                  mForwarder.RatioOf(mContext.mService), mContext.mDeadline - now);
    if (reason != RetryDecision::Retry) {
      aAnswer.mBudget = std::move(mBudget);
      Finish(std::move(aAnswer));
      return;
    }
    LogRetry(aAnswer, now);
    mForwarder.mMetrics.OnRetry(mContext.mService);
    mLastRefusal = std::move(aAnswer);
    Attempt();
  }

  // An offer that no backend server has seen is no retry.
  bool MayOfferAgain(const Answer& aAnswer, SteadyTime aNow)
  {
    if (aAnswer.mOutcome != AttemptOutcome::NotRun || aAnswer.mReachedServer ||
        aNow >= mContext.mDeadline) {
      return false;
    }
    const bool isFull =
      aAnswer.mReason != CallReason::Unavailable && aAnswer.mReason != CallReason::Draining;
    return mTried.size() < (isFull ? kMaxOverloadOffers : kMaxOffers);
  }

  void LogRetry(const Answer& aAnswer, SteadyTime aNow) const
  {
    Event("routing", "again")
      .Add("request", mContext.mRequestId)
      .Add("service", mContext.mService)
      .Add("node", mForwarder.mUpstreams.NodeOf(mUpstream))
      .Add("outcome", aAnswer.mOutcome == AttemptOutcome::Unknown ? "unknown" : "not-run")
      .Add("reason", ToString(aAnswer.mReason))
      .Add("reached_server", aAnswer.mReachedServer)
      .Add("attempt", mTried.size())
      .Add("elapsed_ms", aNow - mAttemptStart);
  }

  void Finish(Answer aAnswer)
  {
    if (auto callback = std::exchange(mCallback, nullptr)) {
      // The level of a service called from here raises the level of this node's own service.
      mForwarder.mOnLevel(mForwarder.mUpstreams.ShedLevel(mContext.mService));
      callback(std::move(aAnswer));
    }
  }

  Forwarder& mForwarder;
  CallContext mContext;
  HttpRequest mRequest;
  RequestBudget mBudget;
  AnswerCallback mCallback;
  std::vector<UpstreamId> mTried;
  std::optional<Answer> mLastRefusal;
  std::shared_ptr<Call> mAttempt;
  UpstreamId mUpstream{};
  SteadyTime mAttemptStart{};
  bool mWaiting = false;
};

Forwarder::Forwarder(const Clock& aClock, const NodeSettings& aSettings, Upstreams& aUpstreams,
                     Peers& aPeers, CallTarget& aLocal, Metrics& aMetrics)
  : mClock(aClock)
  , mFleetRetryRatio(aSettings.mFleetRetryRatio)
  , mFleetRetrySlack(aSettings.mFleetRetrySlack)
  , mUpstreams(aUpstreams)
  , mPeers(aPeers)
  , mLocal(aLocal)
  , mMetrics(aMetrics)
  , mConfig(std::make_shared<const Config>())
  , mOnLevel([](uint32_t) {})
{
}

Forwarder::~Forwarder() = default;

std::shared_ptr<Call> Forwarder::Handle(CallContext aContext, HttpRequest aRequest,
                                        RequestBudget aBudget, AnswerCallback aCallback)
{
  auto call = std::make_shared<ForwardedCall>(*this, std::move(aContext), std::move(aRequest),
                                              std::move(aBudget), std::move(aCallback));
  call->Start();
  return call;
}

void Forwarder::SetLevelCallback(std::function<void(uint32_t)> aCallback)
{
  mOnLevel = std::move(aCallback);
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
  ApplyRatios();
}

void Forwarder::SetFleetSize(size_t aNodes)
{
  if (aNodes != mFleetSize) {
    mFleetSize = std::max<size_t>(aNodes, 1);
    ApplyRatios();
  }
}

RetryLimiterPolicy Forwarder::RatioPolicy(const ServicePolicy& aService) const
{
  RetryLimiterPolicy policy;
  if (mFleetRetryRatio <= 0) {
    policy.mRatio = aService.mRetries.mRatio;
    return policy;
  }
  policy.mRatio = mFleetRetryRatio * kShareOfFleetRatio;
  policy.mBurst =
    std::max(1.0, mFleetRetrySlack * kShareOfFleetSlack / static_cast<double>(mFleetSize));
  policy.mMinPerSecond = 0;
  return policy;
}

void Forwarder::ApplyRatios()
{
  for (const ServicePolicy& service : mConfig->Services()) {
    StateOf(service.mName).mRatio.SetPolicy(RatioPolicy(service));
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

RetryLimiter& Forwarder::RatioOf(const std::string& aService)
{
  return StateOf(aService).mRatio;
}

} // namespace balsammount
