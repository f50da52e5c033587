// Limits on retries: per request over its call tree, per service, and per caller.
#pragma once

#include "balsammount/clock.h"
#include "balsammount/error.h"

#include <cstddef>
#include <cstdint>
#include <utility>
#include <vector>

namespace balsammount {

enum class RetryError
{
  CallerOverBudget = 1,
};

std::error_code make_error_code(RetryError aError);

// Outcome of an attempt as far as retries are concerned.
enum class AttemptOutcome
{
  Complete,         // response of the backend server with any status
  NotRun,           // refused before dispatch; another upstream may accept it
  NotRunEverywhere, // refused for a reason that applies to every upstream, such as quarantine
  Unknown,          // may have run
};

// Number of retries that a request may still cause anywhere in its call tree. The first attempt of
// a call is not counted, because the application decides how many calls a request makes. The type
// is move-only so that a retry cannot be spent twice. A budget that is destroyed counts as spent.
class RequestBudget
{
public:
  RequestBudget() = default;
  explicit RequestBudget(uint32_t aRetries)
    : mGranted(aRetries)
    , mLeft(aRetries)
  {
  }
  RequestBudget(RequestBudget&& aOther) noexcept
    : mGranted(std::exchange(aOther.mGranted, 0))
    , mLeft(std::exchange(aOther.mLeft, 0))
  {
  }
  RequestBudget& operator=(RequestBudget&& aOther) noexcept
  {
    mGranted = std::exchange(aOther.mGranted, 0);
    mLeft = std::exchange(aOther.mLeft, 0);
    return *this;
  }
  RequestBudget(const RequestBudget&) = delete;
  RequestBudget& operator=(const RequestBudget&) = delete;
  ~RequestBudget() = default;

  // Returns the budget of a request whose call tree may use aAttempts attempts for a single call.
  static RequestBudget ForAttempts(uint32_t aAttempts)
  {
    return RequestBudget(aAttempts == 0 ? 0 : aAttempts - 1);
  }

  uint32_t Left() const { return mLeft; }
  uint32_t Spent() const { return mGranted - mLeft; }

  // Spends one retry; returns false if none is left.
  bool Take();

  // Moves up to aRetries retries to a sub-call.
  RequestBudget Split(uint32_t aRetries);

  // Moves an equal share to one of aSubCalls sub-calls that have not been started. Calls with n,
  // n-1, ..., 1 distribute the whole budget.
  RequestBudget SplitShare(uint32_t aSubCalls);

  // Applies the number of unspent retries that the next hop reported, or 0 if it did not report.
  // The budget never increases, so a faulty peer cannot create retries.
  void LimitTo(uint32_t aReported);

  // Adds the unspent retries of a sub-call.
  void Return(RequestBudget&& aUnspent);

private:
  uint32_t mGranted = 0;
  uint32_t mLeft = 0;
};

struct RetryLimiterPolicy
{
  double mRatio = 0.1;        // retries per first attempt
  double mMinPerSecond = 0.1; // minimum rate, for services with little traffic
  double mBurst = 10;         // maximum number of tokens

  bool operator==(const RetryLimiterPolicy&) const = default;
};

// Token bucket for the retries of one service on one node. A period of T seconds with N first
// attempts allows at most mRatio * N + mMinPerSecond * T + mBurst retries. The bucket starts with
// one token.
class RetryLimiter
{
public:
  RetryLimiter(const Clock& aClock, const RetryLimiterPolicy& aPolicy);

  // Records a first attempt.
  void OnRequest();

  bool CanRetry() const;

  // Takes a token; returns false if there is none.
  bool TryRetry();

  void SetPolicy(const RetryLimiterPolicy& aPolicy);

private:
  double MinRateCredit(SteadyTime aNow) const;
  void Refill();

  const Clock& mClock;
  RetryLimiterPolicy mPolicy;
  SteadyTime mRefilled;
  double mTokens;
  double mRatioCredit = 0; // tokens from mRatio, to be deducted from those of mMinPerSecond
};

enum class RetryDecision
{
  Retry,
  Completed,
  RefusedEverywhere,
  NotIdempotent,
  BudgetSpent,
  RatioExceeded,
  DeadlineTooClose,
};

const char* RetryDecisionName(RetryDecision aDecision);

// Returns the decision without spending a retry. aExpected is the usual duration of an attempt: a
// retry that cannot finish within aRemaining would be wasted work.
RetryDecision ShouldRetry(AttemptOutcome aOutcome, bool aIdempotent, const RequestBudget& aBudget,
                          const RetryLimiter& aLimiter, Duration aRemaining,
                          Duration aExpected = Duration::zero());

// Like ShouldRetry, but the decision Retry spends a retry of the budget and a token.
RetryDecision TakeRetry(AttemptOutcome aOutcome, bool aIdempotent, RequestBudget& aBudget,
                        RetryLimiter& aLimiter, Duration aRemaining,
                        Duration aExpected = Duration::zero());

struct CallerBudgetPolicy
{
  uint32_t mAttempts = 3; // first attempts and retries of one identity per window
  Duration mWindow = std::chrono::seconds(5); // time in which a full charge decays linearly
  size_t mEntries = 8192; // 24 bytes each, allocated once; rounded up to a multiple of 8

  bool operator==(const CallerBudgetPolicy&) const = default;
};

// A request of a caller, from CallerBudget::Open to CallerBudget::Close.
struct CallerSend
{
  RequestBudget mBudget;
  uint32_t mCharged = 0;
};

// Limits a caller that resends a request to the attempts of a single request. The identity is a
// hash of caller, service, method, path, key and body.
//
// Only failed sends are charged, and a complete response clears the charge. A client that polls a
// resource, even concurrently, is therefore not limited while it is being served.
//
// Memory is fixed: a set-associative table with 8 entries per set. A full set evicts the entry with
// the least charge, the oldest one if equal, so that a flood of distinct requests does not evict
// callers that resend.
class CallerBudget
{
public:
  CallerBudget(const Clock& aClock, const CallerBudgetPolicy& aPolicy);

  // Returns the budget for a send, or CallerOverBudget (status 429).
  Result<CallerSend> Open(uint64_t aIdentity);

  // Ends a send. A cancelled send counts as Unknown, because callers cancel before they resend.
  void Close(uint64_t aIdentity, CallerSend&& aSend, AttemptOutcome aOutcome);

  // Returns the time until Open allows a send, or zero.
  Duration RetryAfter(uint64_t aIdentity) const;

  size_t Capacity() const { return mEntries.size(); }

private:
  struct Entry
  {
    uint64_t mIdentity = 0;
    SteadyTime mUpdated;
    float mCharge = 0; // attempts; 0 if the entry is unused
  };

  static constexpr size_t kWays = 8;

  size_t SetOf(uint64_t aIdentity) const;
  float ChargeOf(const Entry& aEntry, SteadyTime aNow) const;
  Entry* Find(uint64_t aIdentity);
  const Entry* Find(uint64_t aIdentity) const;
  Entry& Insert(uint64_t aIdentity, SteadyTime aNow);

  const Clock& mClock;
  CallerBudgetPolicy mPolicy;
  std::vector<Entry> mEntries;
};

} // namespace balsammount

template <>
struct std::is_error_code_enum<balsammount::RetryError> : std::true_type
{
};
