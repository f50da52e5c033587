// Bounds on retries: per request over its whole call chain, per service, and per caller.
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

// How one attempt ended, as far as a retry is concerned.
enum class AttemptOutcome
{
  Complete,         // a response of the backend server, whatever its status
  NotRun,           // refused before dispatch; another upstream may accept
  NotRunEverywhere, // refused for a reason that holds on every upstream, such as quarantine
  Unknown,          // may have run
};

// The retries that a request may still cause anywhere in its call tree. The first attempt of a call
// is not counted, because the application decides how many calls a request makes. Move-only, so
// that an attempt is held in one place. A budget that is dropped counts as spent.
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

  // The budget of a request whose call tree may use aAttempts attempts for one and the same call.
  static RequestBudget ForAttempts(uint32_t aAttempts)
  {
    return RequestBudget(aAttempts == 0 ? 0 : aAttempts - 1);
  }

  uint32_t Left() const { return mLeft; }
  uint32_t Spent() const { return mGranted - mLeft; }

  // Takes one retry; false when none is left.
  bool Take();

  // Moves up to aRetries to a sub-call.
  RequestBudget Split(uint32_t aRetries);

  // Moves the share of one of aBranches sub-calls that are still to be started. With counts n,
  // n-1, ..., 1 everything is handed out.
  RequestBudget SplitShare(uint32_t aSubCalls);

  // Applies the number that the next hop reported as unspent. It never raises the budget, so a
  // faulty peer cannot create attempts. Use 0 when the hop did not report.
  void LimitTo(uint32_t aReported);

  // Takes back what a sub-call did not spend.
  void Return(RequestBudget&& aUnspent);

private:
  uint32_t mGranted = 0;
  uint32_t mLeft = 0;
};

struct RetryLimiterPolicy
{
  double mRatio = 0.1;        // retries per first attempt
  double mMinPerSecond = 0.1; // credit of a service without traffic, in retries per second
  double mBurst = 10;         // most credit kept, in retries

  bool operator==(const RetryLimiterPolicy&) const = default;
};

// Token bucket of one service on one node. In any period with N first attempts and T seconds at
// most mRatio * N + mFloorPerSecond * T + mBurst retries are allowed. Starts with one token.
class RetryLimiter
{
public:
  RetryLimiter(const Clock& aClock, const RetryLimiterPolicy& aPolicy);

  // Records a first attempt.
  void OnRequest();

  bool CanRetry() const;

  // Takes a token; false when there is none.
  bool TryRetry();

  void SetPolicy(const RetryLimiterPolicy& aPolicy);

private:
  double MinRateCredit(SteadyTime aNow) const;
  void Refill();

  const Clock& mClock;
  RetryLimiterPolicy mPolicy;
  SteadyTime mRefilled;
  double mTokens;
  double mRatioCredit = 0; // credit from requests that the floor has yet to catch up with
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

// Decides without taking anything. aExpected is the typical time of an attempt: a retry that cannot
// finish in aRemaining is wasted work.
RetryDecision ShouldRetry(AttemptOutcome aOutcome, bool aIdempotent, const RequestBudget& aBudget,
                          const RetryLimiter& aLimiter, Duration aRemaining,
                          Duration aExpected = Duration::zero());

// ShouldRetry, and when the answer is Retry takes from the budget and the ratio.
RetryDecision TakeRetry(AttemptOutcome aOutcome, bool aIdempotent, RequestBudget& aBudget,
                        RetryLimiter& aLimiter, Duration aRemaining,
                        Duration aExpected = Duration::zero());

struct CallerBudgetPolicy
{
  uint32_t mAttempts = 3;                     // sends and retries of one identity per window
  Duration mWindow = std::chrono::seconds(5); // time in which all attempts come back, evenly
  size_t mEntries = 8192;                     // 24 bytes each, allocated once; rounded up to 8

  bool operator==(const CallerBudgetPolicy&) const = default;
};

// One send of a caller, from CallerBudget::Open to CallerBudget::Close.
struct CallerSend
{
  RequestBudget mBudget;
  uint32_t mCharged = 0;
};

// Holds a caller that resends a request to the attempts of one request. The identity is a hash of
// caller, service, method, path, key and body.
//
// Only failed sends count, and a complete response clears the identity: a client that polls the
// same resource, also concurrently, is not held back while it is being served.
//
// Memory is fixed. An identity has 8 possible places. When they are taken, an entry without charge
// goes first, then the one with the least charge, then the oldest, so a flood of single requests
// does not displace the entries of those that resend.
class CallerBudget
{
public:
  CallerBudget(const Clock& aClock, const CallerBudgetPolicy& aPolicy);

  // The budget for a send, or CallerOverBudget (status 429).
  Result<CallerSend> Open(uint64_t aIdentity);

  // Ends a send. A cancelled send is Unknown: callers cancel before they resend.
  void Close(uint64_t aIdentity, CallerSend&& aSend, AttemptOutcome aOutcome);

  // Time until Open allows a send; zero when it does now.
  Duration RetryAfter(uint64_t aIdentity) const;

  size_t Capacity() const { return mEntries.size(); }

private:
  struct Entry
  {
    uint64_t mIdentity = 0;
    SteadyTime mUpdated;
    float mCharge = 0; // attempts; an entry without charge is free
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
