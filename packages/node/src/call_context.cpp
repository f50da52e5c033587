#include "call_context.h"

#include "balsammount/hash.h"
#include "balsammount/quarantine.h"

#include <algorithm>
#include <array>
#include <charconv>
#include <cstdio>
#include <limits>

namespace balsammount {

namespace {

constexpr std::array kReasons = { "none",        "overload",       "deadline",
                                  "draining",    "unavailable",    "quarantined",
                                  "parent-gone", "retry-budget",   "connection-lost",
                                  "key-unknown", "key-mismatch",   "key-memory-full",
                                  "no-right",    "config-missing", "too-large" };

constexpr std::array kOutcomes = { "backend", "not-run", "not-run-everywhere", "unknown" };

constexpr std::string_view kRequestId = "bm-request-id";
constexpr std::string_view kService = "bm-service";
constexpr std::string_view kRank = "bm-rank";
constexpr std::string_view kDeadline = "bm-deadline-ms";
constexpr std::string_view kExpires = "bm-expires-ms";
constexpr std::string_view kAttempts = "bm-attempts";
constexpr std::string_view kCaller = "bm-caller";
constexpr std::string_view kHash = "bm-hash";
constexpr std::string_view kKey = "bm-key";
constexpr std::string_view kIdempotent = "bm-idempotent";
constexpr std::string_view kOutcome = "bm-outcome";
constexpr std::string_view kReason = "bm-reason";
constexpr std::string_view kRetryAfter = "bm-retry-after-ms";
constexpr std::string_view kShedLevel = "bm-shed-level";
constexpr std::string_view kAttemptsLeft = "bm-attempts-left";
constexpr std::string_view kLeaving = "bm-leaving";
constexpr std::string_view kCallerService = "bm-caller-service";
constexpr std::string_view kRoute = "bm-route";
constexpr std::string_view kStartsChains = "bm-starts-chains";
constexpr std::string_view kOverloadAge = "bm-overload-ms";
constexpr std::string_view kReachedServer = "bm-reached-server";
constexpr std::string_view kCallFailed = "bm-call-failed";
constexpr std::string_view kLoad = "bm-load";
constexpr std::string_view kConfigRevision = "bm-config";
constexpr std::string_view kConfigDigest = "bm-config-digest";
constexpr std::string_view kConfigAge = "bm-config-age";
constexpr std::string_view kListRevision = "bm-list";
// Sent in place of a request id that equals the one in the context.
constexpr std::string_view kSameId = "=";

// The age of the configuration is sent in this unit, so that most responses repeat a value that the
// header compression knows.
using ConfigAgeUnit = std::chrono::duration<int64_t, std::deci>;
// Greater ages are not sent; they tell other nodes nothing.
constexpr std::chrono::seconds kMaxConfigAge{ 60 };

// Longer deadlines are rejected, because they could overflow the arithmetic of the clock.
constexpr uint64_t kMaxDeadlineMs = 3'600'000;
// The year 2255. Nanoseconds since 1970 overflow soon after.
constexpr uint64_t kMaxExpiresMs = 9'000'000'000'000;

template <class T = uint64_t>
std::optional<T> ParseNumber(std::string_view aText)
{
  T value = 0;
  const auto [end, error] = std::from_chars(aText.data(), aText.data() + aText.size(), value);
  if (error != std::errc() || end != aText.data() + aText.size()) {
    return std::nullopt;
  }
  return value;
}

// Returns zero for a negative duration.
uint64_t Milliseconds(Duration aDuration)
{
  const auto count = std::chrono::duration_cast<std::chrono::milliseconds>(aDuration).count();
  return count > 0 ? static_cast<uint64_t>(count) : 0;
}

// Whether the request must not run after its caller has given up, because it is not idempotent or
// because its key is remembered only for a limited time.
bool NeedsExpiry(const CallContext& aContext)
{
  return !aContext.mIdempotent || !aContext.mKey.empty();
}

template <class Names>
std::optional<size_t> IndexOf(const Names& aNames, std::string_view aName)
{
  const auto found = std::find(aNames.begin(), aNames.end(), aName);
  if (found == aNames.end()) {
    return std::nullopt;
  }
  return static_cast<size_t>(found - aNames.begin());
}

struct StatusRule
{
  CallReason mReason;
  unsigned mNotRun;
  unsigned mUnknown;
};

// Reasons that are not listed have status 503 before dispatch and 502 after it.
constexpr std::array kStatusRules = {
  StatusRule{ CallReason::Deadline, 504, 504 },   StatusRule{ CallReason::RetryBudget, 429, 429 },
  StatusRule{ CallReason::KeyUnknown, 409, 409 }, StatusRule{ CallReason::KeyMismatch, 422, 422 },
  StatusRule{ CallReason::TooLarge, 413, 502 },
};

unsigned StatusOf(const CallResult& aResult)
{
  const bool unknown = aResult.mOutcome == AttemptOutcome::Unknown;
  for (const StatusRule& rule : kStatusRules) {
    if (rule.mReason == aResult.mReason) {
      return unknown ? rule.mUnknown : rule.mNotRun;
    }
  }
  return unknown ? 502 : 503;
}

std::string RetryAfterText(Duration aDelay, const HeaderNames& aNames)
{
  if (!aNames.mFractionalRetryAfter) {

    // Whole seconds, rounded up, so at least one.
    return std::to_string(std::chrono::ceil<std::chrono::seconds>(aDelay).count());
  }
  const auto milliseconds = std::chrono::ceil<std::chrono::milliseconds>(aDelay).count();
  std::array<char, 32> text{};
  std::snprintf(text.data(), text.size(), "%.3f", static_cast<double>(milliseconds) / 1000);
  return text.data();
}

} // namespace

uint64_t FingerprintOf(const std::string& aService, std::string_view aKey,
                       const HttpRequest& aRequest)
{
  return static_cast<uint64_t>(
    MakeFingerprint(aService, aRequest.mMethod, aRequest.mTarget, aKey, aRequest.mBody));
}

const char* ToString(CallReason aReason)
{
  return kReasons[static_cast<size_t>(aReason)];
}

std::optional<CallReason> ParseCallReason(std::string_view aName)
{
  const auto index = IndexOf(kReasons, aName);
  return index ? std::optional(static_cast<CallReason>(*index)) : std::nullopt;
}

CallResult Refused(CallReason aReason, RequestBudget aBudget, Duration aRetryAfter)
{
  CallResult result;
  result.mOutcome = aReason == CallReason::Quarantined || aReason == CallReason::ParentGone ||
                        aReason == CallReason::RetryBudget || aReason == CallReason::KeyMismatch
                      ? AttemptOutcome::NotRunEverywhere
                      : AttemptOutcome::NotRun;
  result.mReason = aReason;
  result.mRetryAfter = aRetryAfter;
  result.mBudget = std::move(aBudget);
  return result;
}

bool IsDeadlineRefusal(const CallResult& aResult)
{
  return aResult.mOutcome == AttemptOutcome::NotRun && aResult.mReason == CallReason::Deadline &&
         aResult.mLoadPercent < 100;
}

bool IsCapacityRefusal(const CallResult& aResult)
{
  return aResult.mOutcome == AttemptOutcome::NotRun && !IsDeadlineRefusal(aResult) &&
         (aResult.mReason == CallReason::Overload || aResult.mReason == CallReason::Deadline);
}

CallResult Unknown(CallReason aReason, RequestBudget aBudget)
{
  CallResult result;
  result.mOutcome = AttemptOutcome::Unknown;
  result.mReason = aReason;
  result.mBudget = std::move(aBudget);
  return result;
}

void WriteContext(const CallContext& aContext, uint32_t aRetries, SteadyTime aNow,
                  Headers& aHeaders)
{
  aHeaders.Add(kRequestId, aContext.mRequestId);
  aHeaders.Add(kService, aContext.mService);
  aHeaders.Add(kRank, aContext.mRank);
  aHeaders.Add(kDeadline, std::to_string(Milliseconds(aContext.mDeadline - aNow)));
  if (NeedsExpiry(aContext)) {
    const auto expires =
      std::chrono::duration_cast<std::chrono::milliseconds>(aContext.mExpires.time_since_epoch());
    aHeaders.Add(kExpires, std::to_string(std::max<int64_t>(expires.count(), 0)));
  }
  aHeaders.Add(kAttempts, std::to_string(aRetries));
  aHeaders.Add(kCaller, std::to_string(aContext.mCallerHash));
  if (aContext.mRequestHash != Hash64(aContext.mRequestId)) {
    aHeaders.Add(kHash, std::to_string(aContext.mRequestHash));
  }
  aHeaders.Add(kIdempotent, aContext.mIdempotent ? "1" : "0");
  if (!aContext.mKey.empty()) {
    aHeaders.Add(kKey, aContext.mKey);
  }
  if (!aContext.mRoute.empty()) {
    aHeaders.Add(kRoute, aContext.mRoute);
  }
  if (!aContext.mCallerService.empty()) {
    aHeaders.Add(kCallerService, aContext.mCallerService);
  }
}

std::optional<ReceivedContext> ReadContext(const HttpRequest& aRequest, SteadyTime aNow)
{
  const Headers& headers = aRequest.mHeaders;
  const auto deadline = ParseNumber(headers.Find(kDeadline));
  const auto attempts = ParseNumber(headers.Find(kAttempts));
  const auto caller = ParseNumber(headers.Find(kCaller));
  if (!deadline || *deadline > kMaxDeadlineMs || !attempts ||
      *attempts > std::numeric_limits<uint32_t>::max() || !caller) {
    return std::nullopt;
  }
  ReceivedContext received;
  CallContext& context = received.mContext;
  context.mRequestId = headers.Find(kRequestId);
  context.mService = headers.Find(kService);
  context.mRank = headers.Find(kRank);
  context.mKey = headers.Find(kKey);
  context.mRoute = headers.Find(kRoute);
  context.mCallerService = headers.Find(kCallerService);
  context.mIdempotent = headers.Find(kIdempotent) == "1";
  context.mCallerHash = *caller;
  context.mDeadline = aNow + std::chrono::milliseconds(*deadline);
  if (NeedsExpiry(context)) {
    const auto expires = ParseNumber(headers.Find(kExpires));
    if (!expires || *expires > kMaxExpiresMs) {
      return std::nullopt;
    }
    context.mExpires = WallTime(std::chrono::milliseconds(*expires));
  }
  context.mRequestHash = Hash64(context.mRequestId);
  if (headers.Has(kHash)) {
    const auto hash = ParseNumber(headers.Find(kHash));
    if (!hash) {
      return std::nullopt;
    }
    context.mRequestHash = *hash;
  }
  context.mFingerprint = FingerprintOf(context.mService, context.mKey, aRequest);
  received.mRetries = static_cast<uint32_t>(*attempts);
  if (context.mRequestId.empty() || context.mService.empty() || context.mRank.empty()) {
    return std::nullopt;
  }
  return received;
}

void RemoveInternalHeaders(Headers& aHeaders)
{
  std::vector<std::string> names;
  for (const Header& header : aHeaders.All()) {
    const std::string_view name = header.mName;
    if ((name.size() > 3 && EqualsIgnoringCase(name.substr(0, 3), "bm-")) ||
        (name.size() > 7 && EqualsIgnoringCase(name.substr(0, 7), "balsam-"))) {
      names.emplace_back(name);
    }
  }
  for (const std::string& name : names) {
    aHeaders.Remove(name);
  }
}

void ShortenRequestId(std::string_view aRequestId, const HeaderNames& aNames, Headers& aHeaders)
{
  if (aNames.mKeepRequestId && aHeaders.Find(aNames.mRequestId) == aRequestId) {
    aHeaders.Set(aNames.mRequestId, kSameId);
  }
}

void RestoreRequestId(std::string_view aRequestId, const HeaderNames& aNames, Headers& aHeaders)
{
  if (aNames.mKeepRequestId && aHeaders.Find(aNames.mRequestId) == kSameId) {
    aHeaders.Set(aNames.mRequestId, aRequestId);
  }
}

void WriteStoreView(const StoreView& aView, Headers& aHeaders)
{
  if (aView.mConfigRevision > 0) {
    aHeaders.Add(kConfigRevision, std::to_string(aView.mConfigRevision));
  }
  if (aView.mConfigDigest > 0) {
    aHeaders.Add(kConfigDigest, std::to_string(aView.mConfigDigest));
  }
  if (aView.mConfigAge && std::chrono::abs(*aView.mConfigAge) <= kMaxConfigAge) {
    const auto age = std::chrono::ceil<ConfigAgeUnit>(*aView.mConfigAge).count();
    aHeaders.Add(kConfigAge, std::to_string(age));
  }
  if (aView.mListRevision > 0) {
    aHeaders.Add(kListRevision, std::to_string(aView.mListRevision));
  }
}

StoreView ReadStoreView(const Headers& aHeaders)
{
  StoreView view;
  view.mConfigRevision = ParseNumber(aHeaders.Find(kConfigRevision)).value_or(0);
  view.mConfigDigest = ParseNumber(aHeaders.Find(kConfigDigest)).value_or(0);
  const auto age = ParseNumber<int64_t>(aHeaders.Find(kConfigAge));
  constexpr int64_t kMaxAge = kMaxConfigAge / ConfigAgeUnit(1);
  if (age && *age >= -kMaxAge && *age <= kMaxAge) {
    view.mConfigAge = ConfigAgeUnit(*age);
  }
  constexpr auto kMaxRevision = static_cast<uint64_t>(std::numeric_limits<Revision>::max());
  view.mListRevision = static_cast<Revision>(
    std::min(ParseNumber(aHeaders.Find(kListRevision)).value_or(0), kMaxRevision));
  return view;
}

HttpResponse EncodeCallResult(CallResult aResult)
{
  HttpResponse response = std::move(aResult.mResponse);
  RemoveInternalHeaders(response.mHeaders);
  if (aResult.mOutcome != AttemptOutcome::Complete) {
    response = {};
    response.mStatus = 503;
    response.mHeaders.Add(kReason, ToString(aResult.mReason));
    response.mHeaders.Add(kRetryAfter, std::to_string(Milliseconds(aResult.mRetryAfter)));
  }
  response.mHeaders.Add(kOutcome, kOutcomes[static_cast<size_t>(aResult.mOutcome)]);
  response.mHeaders.Add(kShedLevel, std::to_string(aResult.mShedLevel));
  response.mHeaders.Add(kAttemptsLeft, std::to_string(aResult.mBudget.Left()));
  if (aResult.mLeaving) {
    response.mHeaders.Add(kLeaving, "1");
  }
  if (aResult.mOverloadAge) {
    response.mHeaders.Add(kOverloadAge, std::to_string(Milliseconds(*aResult.mOverloadAge)));
  }
  if (aResult.mStartsChains) {
    response.mHeaders.Add(kStartsChains, "1");
  }
  if (aResult.mReachedServer) {
    response.mHeaders.Add(kReachedServer, "1");
  }
  if (aResult.mCallFailed) {
    response.mHeaders.Add(kCallFailed, "1");
  }
  WriteStoreView(aResult.mStoreView, response.mHeaders);
  if (aResult.mLoadPercent > 0) {
    response.mHeaders.Add(kLoad, std::to_string(aResult.mLoadPercent));
  }
  return response;
}

CallResult DecodeCallResult(HttpResponse aResponse)
{
  CallResult result;
  const Headers& headers = aResponse.mHeaders;
  const auto outcome = IndexOf(kOutcomes, headers.Find(kOutcome));
  // A peer that sent no outcome may have run the request.
  result.mOutcome = outcome ? static_cast<AttemptOutcome>(*outcome) : AttemptOutcome::Unknown;
  result.mReason = ParseCallReason(headers.Find(kReason)).value_or(CallReason::None);
  if (!outcome) {
    result.mReason = CallReason::ConnectionLost;
  }
  constexpr uint64_t kMaxRetryAfterMs = 3'600'000;
  result.mRetryAfter = std::chrono::milliseconds(
    std::min(ParseNumber(headers.Find(kRetryAfter)).value_or(0), kMaxRetryAfterMs));
  result.mShedLevel = static_cast<uint32_t>(
    std::min<uint64_t>(ParseNumber(headers.Find(kShedLevel)).value_or(0), UINT32_MAX));
  result.mBudget = RequestBudget(static_cast<uint32_t>(
    std::min<uint64_t>(ParseNumber(headers.Find(kAttemptsLeft)).value_or(0), UINT32_MAX)));
  result.mLeaving = headers.Has(kLeaving);
  result.mStartsChains = headers.Has(kStartsChains);
  if (const auto age = ParseNumber(headers.Find(kOverloadAge))) {
    result.mOverloadAge = std::chrono::milliseconds(std::min(*age, kMaxRetryAfterMs));
  }
  // A peer that sent no outcome may have sent the request to its backend server.
  result.mReachedServer = !outcome || headers.Has(kReachedServer);
  result.mCallFailed = headers.Has(kCallFailed);
  result.mStoreView = ReadStoreView(headers);
  result.mLoadPercent = static_cast<uint32_t>(
    std::min<uint64_t>(ParseNumber(headers.Find(kLoad)).value_or(0), UINT32_MAX));
  result.mResponse = std::move(aResponse);
  RemoveInternalHeaders(result.mResponse.mHeaders);
  return result;
}

HttpResponse CallerResponse(CallResult aResult, const HeaderNames& aNames)
{
  if (aResult.mOutcome == AttemptOutcome::Complete) {
    HttpResponse response = std::move(aResult.mResponse);
    if (!aNames.mOutcome.empty()) {
      response.mHeaders.Set(aNames.mOutcome, "backend");
    }
    return response;
  }
  const bool unknown = aResult.mOutcome == AttemptOutcome::Unknown;
  HttpResponse response;
  response.mStatus = StatusOf(aResult);
  response.mHeaders.Set("Content-Type", "text/plain");
  if (!aNames.mOutcome.empty()) {
    response.mHeaders.Set(aNames.mOutcome, unknown ? "unknown" : "not-run");
  }
  if (!aNames.mReason.empty()) {
    response.mHeaders.Set(aNames.mReason, ToString(aResult.mReason));
  }
  if (aResult.mRetryAfter > Duration::zero()) {
    response.mHeaders.Set("Retry-After", RetryAfterText(aResult.mRetryAfter, aNames));
  }
  response.mBody =
    std::string(unknown ? "the request may have run: " : "the request did not run: ") +
    ToString(aResult.mReason) + "\n";
  return response;
}

} // namespace balsammount
