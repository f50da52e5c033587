#include "gateway.h"

#include "balsammount/hash.h"
#include "balsammount/log.h"

#include <algorithm>
#include <charconv>
#include <cstdio>

namespace balsammount {

using namespace std::chrono_literals;

namespace {

// Longer idempotency keys are refused; a UUID has 36 characters.
constexpr size_t kMaxKeyBytes = 255;

HttpResponse PlainResponse(unsigned aStatus, std::string_view aText)
{
  HttpResponse response;
  response.mStatus = aStatus;
  response.mHeaders.Set("Content-Type", "text/plain");
  response.mHeaders.Set("Balsam-Outcome", "not-run");
  response.mBody = std::string(aText) + "\n";
  return response;
}

// The header's value in milliseconds; zero when it is absent, nothing when it is malformed.
std::optional<std::chrono::milliseconds> ReadDeadline(const Headers& aHeaders)
{
  const std::string_view text = aHeaders.Find("Balsam-Deadline-Ms");
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

uint64_t IdentityHash(const CallContext& aContext)
{
  return HashCombine(aContext.mCallerHash, aContext.mFingerprint);
}

uint64_t Fingerprint(const std::string& aService, const std::string& aKey,
                     const HttpRequest& aRequest)
{
  uint64_t hash = Hash64(aService);
  hash = HashCombine(hash, Hash64(aRequest.mMethod));
  hash = HashCombine(hash, Hash64(aRequest.mTarget));
  hash = HashCombine(hash, Hash64(aKey));
  return HashCombine(hash, Hash64(aRequest.mBody));
}

} // namespace

Gateway::Gateway(const Clock& aClock, Random& aRandom, const NodeSettings& aSettings,
                 Executor& aExecutor, CallTarget& aTarget, Metrics& aMetrics)
  : mClock(aClock)
  , mSettings(aSettings)
  , mExecutor(aExecutor)
  , mTarget(aTarget)
  , mMetrics(aMetrics)
  , mCallerBudget(aClock, {})
  , mIdPrefix(aRandom.Next())
{
}

void Gateway::HandleCaller(const std::shared_ptr<Exchange>& aExchange)
{
  std::string_view caller = aExchange->Request().mHeaders.Find("Balsam-Caller");
  HandleEntry(aExchange, caller.empty() ? aExchange->RemoteAddress() : caller);
}

void Gateway::HandleEgress(const std::shared_ptr<Exchange>& aExchange)
{
  const std::string parentId(aExchange->Request().mHeaders.Find("Balsam-Request-Id"));
  if (parentId.empty()) {
    // A call that the backend server makes on its own behalf starts a chain.
    HandleEntry(aExchange, "service:" + mSettings.mService);
    return;
  }
  const auto parent = mExecutor.FindInFlight(parentId);
  if (!parent) {
    aExchange->Respond(CallerResponse(Refused(CallReason::ParentGone, {})));
    return;
  }
  HandleSubCall(aExchange, parent);
}

std::optional<CallContext> Gateway::EntryContext(Exchange& aExchange, std::string_view aCaller)
{
  const HttpRequest& request = aExchange.Request();
  if (!mConfig) {
    aExchange.Respond(CallerResponse(Refused(CallReason::ConfigMissing, {}, 1s)));
    return std::nullopt;
  }
  const auto found = Classify(*mConfig, request.mMethod, request.mTarget);
  if (!found) {
    const bool unknown = found.error().mCode == ConfigError::UnknownService;
    aExchange.Respond(PlainResponse(unknown ? 404 : 400, Describe(found.error())));
    return std::nullopt;
  }
  const auto deadline = ReadDeadline(request.mHeaders);
  const std::string_view key = request.mHeaders.Find("Idempotency-Key");
  if (!deadline) {
    aExchange.Respond(
      PlainResponse(400, "Balsam-Deadline-Ms: a whole number of milliseconds above 0 is expected"));
    return std::nullopt;
  }
  if (key.size() > kMaxKeyBytes) {
    aExchange.Respond(PlainResponse(400, "Idempotency-Key: at most 255 bytes are allowed"));
    return std::nullopt;
  }
  if (request.mBody.size() > found->mService->mMaxBodyBytes) {
    aExchange.Respond(CallerResponse(Refused(CallReason::TooLarge, {})));
    return std::nullopt;
  }
  CallContext context;
  context.mIsRoot = true;
  context.mRequestId = NewRequestId();
  context.mService = found->mService->mName;
  context.mRank = found->mRank->mName;
  context.mIdempotent = found->mIdempotent;
  context.mKey = key;
  context.mCallerHash = Hash64(aCaller);
  const auto bound = found->mService->mDefaultDeadline;
  const auto remaining = *deadline > 0ms ? std::min(*deadline, bound) : bound;
  context.mDeadline = mClock.Now() + remaining;
  context.mExpires = mClock.WallNow() + remaining;
  context.mFingerprint = Fingerprint(context.mService, context.mKey, request);
  context.mRequestHash = IdentityHash(context);
  return context;
}

void Gateway::HandleEntry(const std::shared_ptr<Exchange>& aExchange, std::string_view aCaller)
{
  auto context = EntryContext(*aExchange, aCaller);
  if (!context) {
    return;
  }
  const uint64_t identity = context->mRequestHash;
  auto send = mCallerBudget.Open(identity);
  if (!send) {
    mMetrics.OnRefused(context->mService, context->mRank, CallReason::RetryBudget);
    aExchange->Respond(
      CallerResponse(Refused(CallReason::RetryBudget, {}, mCallerBudget.RetryAfter(identity))));
    return;
  }
  auto charged = std::make_shared<CallerSend>();
  charged->mCharged = send->mCharged;
  RequestBudget budget = std::move(send->mBudget);
  const ServicePolicy* service = mConfig->FindService(context->mService);
  budget.LimitTo(service->mRetries.mAttempts > 0 ? service->mRetries.mAttempts - 1 : 0);
  const uint32_t granted = budget.Left();
  Forward(aExchange, std::move(*context), std::move(budget),
          [this, identity, charged, granted](Answer& aAnswer) {
            charged->mBudget = RequestBudget(granted);
            charged->mBudget.LimitTo(aAnswer.mBudget.Left());
            mCallerBudget.Close(identity, std::move(*charged), aAnswer.mOutcome);
          });
}

void Gateway::HandleSubCall(const std::shared_ptr<Exchange>& aExchange,
                            const std::shared_ptr<InFlightRequest>& aParent)
{
  const HttpRequest& request = aExchange->Request();
  const auto found = Classify(*mConfig, request.mMethod, request.mTarget);
  if (!found) {
    const bool unknown = found.error().mCode == ConfigError::UnknownService;
    aExchange->Respond(PlainResponse(unknown ? 404 : 400, Describe(found.error())));
    return;
  }
  const auto deadline = ReadDeadline(request.mHeaders);
  CallContext context = aParent->mContext;
  context.mIsRoot = false;
  context.mRequestId = NewRequestId();
  context.mService = found->mService->mName;
  context.mIdempotent = found->mIdempotent;
  context.mKey = request.mHeaders.Find("Idempotency-Key");
  context.mFingerprint = Fingerprint(context.mService, context.mKey, request);
  if (deadline && *deadline > 0ms) {
    context.mDeadline = std::min(context.mDeadline, mClock.Now() + *deadline);
  }
  // The number of concurrent sub-calls is not known, so each takes half of what is left.
  RequestBudget budget = aParent->mBudget.Split((aParent->mBudget.Left() + 1) / 2);
  Forward(aExchange, std::move(context), std::move(budget),
          [aParent](Answer& aAnswer) { aParent->mBudget.Return(std::move(aAnswer.mBudget)); });
}

void Gateway::Forward(const std::shared_ptr<Exchange>& aExchange, CallContext aContext,
                      RequestBudget aBudget, std::function<void(Answer&)> aOnAnswer)
{
  ++mPending;
  const SteadyTime start = mClock.Now();
  const std::string service = aContext.mService;
  const std::string rank = aContext.mRank;
  mMetrics.OnOffered(service, rank);
  auto finished = std::make_shared<bool>(false);
  auto finish = [this, finished, service, rank, start,
                 onAnswer = std::move(aOnAnswer)](Answer& aAnswer) {
    if (*finished) {
      return false;
    }
    *finished = true;
    --mPending;
    mMetrics.OnAnswered(service, rank, aAnswer, mClock.Now() - start);
    onAnswer(aAnswer);
    return true;
  };
  HttpRequest request = aExchange->Request();
  RemoveInternalHeaders(request.mHeaders);
  const auto call = mTarget.Handle(std::move(aContext), std::move(request), std::move(aBudget),
                                   [aExchange, finish](Answer aAnswer) mutable {
                                     if (finish(aAnswer)) {
                                       aExchange->Respond(CallerResponse(std::move(aAnswer)));
                                     }
                                   });
  if (!*finished) {
    aExchange->OnCancel([call, finish]() mutable {
      Answer cancelled = Unknown(CallReason::None, {});
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
