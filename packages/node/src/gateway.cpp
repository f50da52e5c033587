#include "gateway.h"

#include "balsammount/event.h"
#include "balsammount/hash.h"
#include "balsammount/quarantine.h"

#include <algorithm>
#include <charconv>
#include <cstdio>

namespace balsammount {

using namespace std::chrono_literals;

namespace {

// Ample for usual keys: a UUID has 36 characters.
constexpr size_t kMaxKeyBytes = 255;

// Shortest Retry-After for a refused request that may succeed a little later. The jitter, a share
// of the delay, spreads the retries of callers that were refused together.
constexpr Duration kMinRetryAfter = 100ms;
constexpr double kRetryAfterJitter = 0.5;
// Returns zero if the deadline header is absent and nullopt if it is malformed.
std::optional<std::chrono::milliseconds> ReadDeadline(const Headers& aHeaders,
                                                      const HeaderNames& aNames)
{
  const std::string_view text = aHeaders.Find(aNames.mDeadline);
  if (text.empty()) {
    return 0ms;
  }
  uint32_t value = 0;
  const auto [end, error] = std::from_chars(text.data(), text.data() + text.size(), value);
  if (error != std::errc() || end != text.data() + text.size() || value == 0) {
    return std::nullopt;
  }
  return std::chrono::milliseconds(value);
}

bool IsSuccess(const CallResult& aResult)
{
  return aResult.mOutcome == AttemptOutcome::Complete && aResult.mResponse.mStatus < 500;
}

uint64_t IdentityHash(const CallContext& aContext)
{
  return HashCombine(aContext.mCallerHash, aContext.mFingerprint);
}

} // namespace

Gateway::Gateway(const Clock& aClock, Random& aRandom, const NodeSettings& aSettings,
                 RecentOverload& aOverload, const HeaderNames& aNames, Executor& aExecutor,
                 CallHandler& aCallHandler, Metrics& aMetrics)
  : mClock(aClock)
  , mRandom(aRandom)
  , mSettings(aSettings)
  , mBackendAddress(aSettings.mBackend.address().to_string())
  , mOverload(aOverload)
  , mNames(aNames)
  , mExecutor(aExecutor)
  , mCallHandler(aCallHandler)
  , mMetrics(aMetrics)
  , mCallerBudget(aClock, {})
  , mThrottles(aClock, {})
  , mRefusals(aClock)
  , mIdPrefix(aRandom.Next())
{
}

void Gateway::ApplyConfig(const std::shared_ptr<const Config>& aConfig, uint64_t aRevision)
{
  mConfig = aConfig;
  mRevision = aRevision;
  const auto isRemoved = [&](const std::string& aRoute) {
    return std::ranges::find(aConfig->Routes(), aRoute, &RoutePolicy::mName) ==
           aConfig->Routes().end();
  };
  std::erase_if(mSplits, [&](const auto& aSplit) { return isRemoved(aSplit.first); });
  mThrottles.RemoveIf(isRemoved);
}

void Gateway::Reject(Exchange& aExchange, unsigned aStatus, std::string_view aText)
{
  HttpResponse response;
  response.mStatus = aStatus;
  response.mHeaders.Set("Content-Type", "text/plain");
  if (!mNames.mOutcome.empty()) {
    response.mHeaders.Set(mNames.mOutcome, "not-run");
  }
  response.mBody = std::string(aText) + "\n";
  Event("entry", "rejected")
    .Add("request", aExchange.Request().mHeaders.Find(mNames.mRequestId))
    .Add("host", aExchange.Request().mHeaders.Find("Host"))
    .Add("path", aExchange.Request().mTarget)
    .Add("status", aStatus)
    .Add("reason", aText)
    .Add("config_revision", mRevision);
  aExchange.Respond(std::move(response));
}

void Gateway::HandleCaller(const std::shared_ptr<Exchange>& aExchange)
{
  AfterCheck(aExchange, &Gateway::HandleCheckedCaller);
}

void Gateway::HandleEgress(const std::shared_ptr<Exchange>& aExchange)
{
  AfterCheck(aExchange, &Gateway::HandleCheckedEgress);
}

void Gateway::AfterCheck(const std::shared_ptr<Exchange>& aExchange, Handler aHandler)
{
  const SteadyTime arrived = mClock.Now();
  if (!mConfigCheck || !mConfigCheck->MustWait()) {
    (this->*aHandler)(aExchange, arrived);
    return;
  }
  ++mPending;
  auto endWait = [this, waits = std::make_shared<bool>(true)] {
    const bool waited = std::exchange(*waits, false);
    mPending -= waited ? 1 : 0;
    return waited;
  };
  aExchange->OnCancel(endWait);
  mConfigCheck->WhenChecked([this, aExchange, aHandler, arrived, endWait] {
    if (endWait()) {
      (this->*aHandler)(aExchange, arrived);
    }
  });
}

void Gateway::HandleCheckedCaller(const std::shared_ptr<Exchange>& aExchange, SteadyTime aArrived)
{
  if (UsesRoutes()) {
    HandleRouted(aExchange, aArrived);
    return;
  }
  std::string_view caller = aExchange->Request().mHeaders.Find("Balsam-Caller");
  HandleEntry(aExchange, caller.empty() ? aExchange->RemoteAddress() : caller, aArrived);
}

void Gateway::HandleCheckedEgress(const std::shared_ptr<Exchange>& aExchange, SteadyTime aArrived)
{
  if (UsesRoutes()) {
    HandleRouted(aExchange, aArrived);
    return;
  }
  const std::string parentId(aExchange->Request().mHeaders.Find(mNames.mRequestId));
  if (parentId.empty()) {
    // A call that belongs to no request of the backend server starts a call chain.
    HandleEntry(aExchange, "service:" + mSettings.mService, aArrived);
    return;
  }
  const auto parent = mExecutor.FindInFlight(parentId);
  if (!parent) {
    aExchange->Respond(CallerResponse(Refused(CallReason::ParentGone, {}), mNames));
    return;
  }
  HandleSubCall(aExchange, parent, aArrived);
}

std::optional<std::chrono::milliseconds> Gateway::CallerTimeout(
  Exchange& aExchange, std::chrono::milliseconds aMaxTimeout)
{
  const auto deadline = ReadDeadline(aExchange.Request().mHeaders, mNames);
  if (!deadline) {
    Reject(aExchange, 400,
           mNames.mDeadline + ": a whole number of milliseconds above 0 is expected");
    return std::nullopt;
  }
  return *deadline > 0ms ? std::min(*deadline, aMaxTimeout) : aMaxTimeout;
}

bool Gateway::IsWithinLimits(Exchange& aExchange, const ServicePolicy& aService)
{
  const HttpRequest& request = aExchange.Request();
  if (request.mHeaders.Find("Idempotency-Key").size() > kMaxKeyBytes) {
    Reject(aExchange, 400, "Idempotency-Key: at most 255 bytes are allowed");
    return false;
  }
  if (request.mBody.size() > aService.mMaxBodyBytes) {
    aExchange.Respond(CallerResponse(Refused(CallReason::TooLarge, {}), mNames));
    return false;
  }
  return true;
}

std::optional<CallContext> Gateway::EntryContext(Exchange& aExchange, std::string_view aCaller,
                                                 SteadyTime aArrived)
{
  const HttpRequest& request = aExchange.Request();
  if (!mConfig) {
    aExchange.Respond(CallerResponse(Refused(CallReason::ConfigMissing, {}, 1s), mNames));
    return std::nullopt;
  }
  const auto found = Classify(*mConfig, request.mMethod, request.mTarget);
  if (!found) {
    const bool unknown = found.error().mCode == ConfigError::UnknownService;
    Reject(aExchange, unknown ? 404 : 400, Describe(found.error()));
    return std::nullopt;
  }
  const auto timeout = CallerTimeout(aExchange, found->mService->mDefaultDeadline);
  if (!timeout) {
    return std::nullopt;
  }
  if (!IsWithinLimits(aExchange, *found->mService)) {
    return std::nullopt;
  }
  CallContext context;
  context.mIsRoot = true;
  context.mRequestId = NewRequestId();
  context.mService = found->mService->mName;
  context.mRank = found->mRank->mName;
  context.mIdempotent = found->mIdempotent;
  context.mKey = request.mHeaders.Find("Idempotency-Key");
  context.mCallerHash = Hash64(aCaller);
  SetDeadline(context, aArrived + *timeout);
  context.mFingerprint = FingerprintOf(context.mService, context.mKey, request);
  context.mRequestHash = IdentityHash(context);
  return context;
}

void Gateway::HandleEntry(const std::shared_ptr<Exchange>& aExchange, std::string_view aCaller,
                          SteadyTime aArrived)
{
  auto context = EntryContext(*aExchange, aCaller, aArrived);
  if (!context || RefuseIfStopping(*aExchange, *context)) {
    return;
  }
  const uint64_t identity = context->mRequestHash;
  auto send = mCallerBudget.Open(identity);
  if (!send) {
    mMetrics.OnRefused(context->mService, context->mRank, CallReason::RetryBudget);
    aExchange->Respond(CallerResponse(
      Refused(CallReason::RetryBudget, {}, mCallerBudget.RetryAfter(identity)), mNames));
    return;
  }
  auto charged = std::make_shared<CallerSend>();
  charged->mCharged = send->mCharged;
  RequestBudget budget = std::move(send->mBudget);
  const ServicePolicy* service = mConfig->FindService(context->mService);
  budget.LimitTo(service->mRetries.mAttempts > 0 ? service->mRetries.mAttempts - 1 : 0);
  const uint32_t granted = budget.Left();
  Forward(aExchange, std::move(*context), std::move(budget),
          [this, identity, charged, granted](const CallContext&, CallResult& aResult) {
            charged->mBudget = RequestBudget(granted);
            charged->mBudget.LimitTo(aResult.mBudget.Left());
            mCallerBudget.Close(identity, std::move(*charged), aResult.mOutcome);
          });
}

void Gateway::HandleRouted(const std::shared_ptr<Exchange>& aExchange, SteadyTime aArrived)
{
  const HttpRequest& request = aExchange->Request();
  if (!request.mTarget.starts_with('/')) {
    Reject(*aExchange, 400, "the request target must be a path");
    return;
  }
  const RoutePolicy* route = mConfig->FindRoute(request.mHeaders.Find("Host"), request.mTarget);
  if (!route) {
    Reject(*aExchange, 404, "no route for the host and path");
    return;
  }
  const auto timeout = CallerTimeout(*aExchange, route->mTimeout);
  if (!timeout) {
    return;
  }
  auto context = RoutedContext(request, *route, aArrived + *timeout);
  if (!context) {
    aExchange->Respond(CallerResponse(Refused(CallReason::Unavailable, {}, 1s), mNames));
    return;
  }
  const auto parent = FindParent(*aExchange, *route, aArrived);
  if (!parent && RefuseIfStopping(*aExchange, *context)) {
    return;
  }
  if (parent && mConfig->FindRank(parent->mContext.mRank)) {
    context->mRank = parent->mContext.mRank;
  }
  if (!AdmitByThrottle(*aExchange, *context, route->mTarget)) {
    return;
  }
  if (parent) {
    ++parent->mOpenCalls;
  }
  Forward(aExchange, std::move(*context), RequestBudget::ForAttempts(route->mAttempts),
          [this, parent, start = mClock.Now()](const CallContext& aContext, CallResult& aResult) {
            if (parent) {
              --parent->mOpenCalls;
              parent->mCallFailed = parent->mCallFailed || !IsSuccess(aResult);
            }
            UpdateThrottle(aContext, aResult, mClock.Now() - start);
            if (aResult.mOutcome != AttemptOutcome::NotRun) {
              return;
            }
            // The caller may have time left for a retry when the timeout of the route has passed,
            // so a request that did not run is reported as refused, not as timed out.
            if (aResult.mReason == CallReason::Deadline) {
              aResult.mReason = CallReason::Overload;
            }
            const Duration wanted = std::max(aResult.mRetryAfter, kMinRetryAfter);
            aResult.mRetryAfter = std::chrono::duration_cast<Duration>(
              wanted * (1 + kRetryAfterJitter * mRandom.Uniform()));
          });
}

// A request may be read after the listener has stopped: one whose body was still arriving, or one
// that waited for the response to an earlier request on its connection. Its response might not be
// ready before the process has to end.
bool Gateway::RefuseIfStopping(Exchange& aExchange, const CallContext& aContext)
{
  if (!mRefusesNew) {
    return false;
  }
  mMetrics.OnOffered(aContext.mService, aContext.mRank);
  CallResult refusal = Refused(CallReason::Draining, {}, kMinRetryAfter);
  mMetrics.OnRefused(aContext.mService, aContext.mRank, refusal.mReason);
  LogFailure(aContext, refusal, Duration::zero());
  aExchange.Respond(CallerResponse(std::move(refusal), mNames));
  return true;
}

std::shared_ptr<InFlightRequest> Gateway::FindParent(const Exchange& aExchange,
                                                     const RoutePolicy& aRoute, SteadyTime aArrived)
{
  // Callers use this listener too, but not from the address of the backend server or on the routes
  // of its calls.
  const auto deadline = ReadDeadline(aExchange.Request().mHeaders, mNames);
  if (!deadline || *deadline == 0ms || mThrottles.Find(aRoute.mName) ||
      aExchange.RemoteAddress() != mBackendAddress) {
    return nullptr;
  }
  return mExecutor.Parents().Find(aArrived + *deadline);
}

bool Gateway::AdmitByThrottle(Exchange& aExchange, const CallContext& aContext,
                              std::chrono::milliseconds aTargetLatency)
{
  EntryThrottle* throttle = mThrottles.Find(aContext.mRoute);
  if (!throttle || throttle->Admit(mRefusals.Take(aContext.mFingerprint))) {
    return true;
  }
  mRefusals.Add(aContext.mFingerprint);
  mMetrics.OnOffered(aContext.mService, aContext.mRank);
  mMetrics.OnRefused(aContext.mService, aContext.mRank, CallReason::Overload);
  const Duration retryAfter = throttle->RetryAfter(aTargetLatency, mRandom.Uniform());
  Event("entry", "throttled")
    .Add("request", aContext.mRequestId)
    .Add("route", aContext.mRoute)
    .Add("share", throttle->AdmitRatio())
    .Add("retry_after_ms", retryAfter);
  aExchange.Respond(CallerResponse(Refused(CallReason::Overload, {}, retryAfter), mNames));
  return false;
}

void Gateway::UpdateThrottle(const CallContext& aContext, const CallResult& aResult,
                             Duration aElapsed)
{
  if (aResult.mStartsChains) {
    const RankPolicy* rank = mConfig->FindRank(aContext.mRank);
    mThrottles.Add(aContext.mRoute, rank ? static_cast<double>(rank->mWorth) : 0);
  }
  EntryThrottle* throttle = mThrottles.Find(aContext.mRoute);
  if (!throttle) {
    return;
  }
  // A lost connection, a leaving node or a failure while every service has capacity does not show
  // that too many requests are admitted.
  const bool isGood = IsSuccess(aResult);
  const bool mayBeOverload = aResult.mOutcome == AttemptOutcome::Complete ||
                             aResult.mReason == CallReason::Overload ||
                             aResult.mReason == CallReason::Deadline;
  if (isGood || (mayBeOverload && mOverload.Age())) {
    throttle->OnResult(isGood, aElapsed);
  }
}

const std::string& Gateway::ChooseService(const RoutePolicy& aRoute)
{
  if (aRoute.mTargets.size() == 1) {
    return aRoute.mTargets.front().mService;
  }
  std::vector<uint32_t> weights;
  for (const RouteTarget& target : aRoute.mTargets) {
    weights.push_back(target.mWeight);
  }
  return aRoute.mTargets[mSplits[aRoute.mName].Next(weights, mRandom)].mService;
}

std::optional<CallContext> Gateway::RoutedContext(const HttpRequest& aRequest,
                                                  const RoutePolicy& aRoute, SteadyTime aDeadline)
{
  if (aRoute.mTargets.empty()) {
    return std::nullopt;
  }
  CallContext context;
  // Requests from callers and calls from backend servers look the same here. A call whose parent is
  // already running must not be shed at its entry, so only the nodes beside the backend servers
  // shed requests.
  context.mIsRoot = false;
  context.mRoute = aRoute.mName;
  context.mRequestId = mNames.mKeepRequestId ? aRequest.mHeaders.Find(mNames.mRequestId) : "";
  if (context.mRequestId.empty()) {
    context.mRequestId = NewRequestId();
  }
  context.mService = ChooseService(aRoute);
  context.mRank = aRoute.mRank;
  context.mIdempotent = aRoute.mIdempotent;
  context.mCallerService = mSettings.mService;
  context.mCallerHash = Hash64(mSettings.mNodeId);
  context.mRequestHash = Hash64(context.mRequestId);
  context.mFingerprint = FingerprintOf(context.mService, {}, aRequest);
  SetDeadline(context, aDeadline);
  return context;
}

void Gateway::SetDeadline(CallContext& aContext, SteadyTime aDeadline) const
{
  const Duration left = aDeadline - mClock.Now();
  aContext.mDeadline = aDeadline;
  aContext.mExpires = mClock.WallNow() + std::chrono::duration_cast<WallTime::duration>(left);
}

void Gateway::LogFailure(const CallContext& aContext, const CallResult& aResult,
                         Duration aElapsed) const
{
  const bool complete = aResult.mOutcome == AttemptOutcome::Complete;
  if (complete && aResult.mResponse.mStatus < 500) {
    return;
  }
  const auto name = complete                                      ? "server-error"
                    : aResult.mOutcome == AttemptOutcome::Unknown ? "unknown"
                                                                  : "refused";
  Event("entry", name)
    .Add("request", aContext.mRequestId)
    .Add("route", aContext.mRoute)
    .Add("service", aContext.mService)
    .Add("rank", aContext.mRank)
    .Add("reason", ToString(aResult.mReason))
    .Add("status", complete ? aResult.mResponse.mStatus : 0)
    .Add("reached_server", aResult.mReachedServer)
    .Add("elapsed_ms", aElapsed)
    .Add("left_ms", aContext.mDeadline - mClock.Now())
    .Add("retry_after_ms", aResult.mRetryAfter)
    .Add("config_revision", mRevision);
}

void Gateway::HandleSubCall(const std::shared_ptr<Exchange>& aExchange,
                            const std::shared_ptr<InFlightRequest>& aParent, SteadyTime aArrived)
{
  const HttpRequest& request = aExchange->Request();
  const auto found = Classify(*mConfig, request.mMethod, request.mTarget);
  if (!found) {
    const bool unknown = found.error().mCode == ConfigError::UnknownService;
    Reject(*aExchange, unknown ? 404 : 400, Describe(found.error()));
    return;
  }
  const auto remaining =
    std::chrono::duration_cast<std::chrono::milliseconds>(aParent->mContext.mDeadline - aArrived);
  const auto timeout = CallerTimeout(*aExchange, remaining);
  if (!timeout || !IsWithinLimits(*aExchange, *found->mService)) {
    return;
  }
  CallContext context = aParent->mContext;
  context.mIsRoot = false;
  context.mRequestId = NewRequestId();
  context.mService = found->mService->mName;
  context.mIdempotent = found->mIdempotent;
  context.mKey = request.mHeaders.Find("Idempotency-Key");
  context.mFingerprint = FingerprintOf(context.mService, context.mKey, request);
  context.mDeadline = std::min<SteadyTime>(context.mDeadline, aArrived + *timeout);
  // The number of concurrent sub-calls is unknown, so each one gets half of the remaining budget.
  RequestBudget budget = aParent->mBudget.Split((aParent->mBudget.Left() + 1) / 2);
  Forward(aExchange, std::move(context), std::move(budget),
          [aParent](const CallContext&, CallResult& aResult) {
            aParent->mBudget.Return(std::move(aResult.mBudget));
          });
}

void Gateway::Forward(const std::shared_ptr<Exchange>& aExchange, CallContext aContext,
                      RequestBudget aBudget, ResultHook aOnResult)
{
  ++mPending;
  const SteadyTime start = mClock.Now();
  mMetrics.OnOffered(aContext.mService, aContext.mRank);
  auto finished = std::make_shared<bool>(false);
  auto finish = [this, finished, start, context = std::make_shared<const CallContext>(aContext),
                 onResult = std::move(aOnResult)](CallResult& aResult) {
    if (*finished) {
      return false;
    }
    *finished = true;
    --mPending;
    if (aResult.mOverloadAge) {
      mOverload.Record(*aResult.mOverloadAge);
    }
    mMetrics.OnAnswered(context->mService, context->mRank, aResult, mClock.Now() - start);
    onResult(*context, aResult);
    LogFailure(*context, aResult, mClock.Now() - start);
    return true;
  };
  HttpRequest request = aExchange->Request();
  RemoveInternalHeaders(request.mHeaders);
  const auto call =
    mCallHandler.Handle(std::move(aContext), std::move(request), std::move(aBudget),
                        [this, aExchange, finish](CallResult aResult) mutable {
                          if (finish(aResult)) {
                            aExchange->Respond(CallerResponse(std::move(aResult), mNames));
                          }
                        });
  if (!*finished) {
    aExchange->OnCancel([call, finish]() mutable {
      CallResult cancelled = Unknown(CallReason::None, {});
      if (finish(cancelled)) {
        call->Cancel();
      }
    });
  }
}

std::string Gateway::NewRequestId()
{
  char text[40];
  std::snprintf(text, sizeof(text), "%016llx-%llx", static_cast<unsigned long long>(mIdPrefix),
                static_cast<unsigned long long>(mNextId++));
  return text;
}

} // namespace balsammount
