#include "balsammount/retry.h"

#include "balsammount/hash.h"

#include <algorithm>
#include <array>

namespace balsammount {

namespace {

// Maximum ratio credit that is offset against the minimum rate, in retries.
constexpr double kMaxRatioCredit = 1;

// Tolerance for rounding in sums of ratios such as ten times 0.1.
constexpr double kEpsilon = 1e-9;

double Seconds(Duration aTime)
{
  return std::chrono::duration<double>(aTime).count();
}

} // namespace

std::error_code make_error_code(RetryError aError)
{
  static constexpr std::array<const char*, 2> kMessages = {
    "success", "caller has exceeded its retry budget"
  };
  static const EnumCategory sCategory("balsammount.retry", kMessages);
  return { static_cast<int>(aError), sCategory };
}

bool RequestBudget::Take()
{
  if (mLeft == 0) {
    return false;
  }
  --mLeft;
  return true;
}

RequestBudget RequestBudget::Split(uint32_t aRetries)
{
  const uint32_t moved = std::min(aRetries, mLeft);
  mLeft -= moved;
  mGranted -= moved;
  return RequestBudget(moved);
}

RequestBudget RequestBudget::SplitShare(uint32_t aSubCalls)
{
  const uint32_t subCalls = std::max<uint32_t>(aSubCalls, 1);
  return Split(mLeft / subCalls + (mLeft % subCalls != 0 ? 1 : 0));
}

void RequestBudget::LimitTo(uint32_t aReported)
{
  mLeft = std::min(mLeft, aReported);
}

void RequestBudget::Return(RequestBudget&& aUnspent)
{
  RequestBudget unspent(std::move(aUnspent));
  mGranted += unspent.mGranted;
  mLeft += unspent.mLeft;
}

RetryLimiter::RetryLimiter(const Clock& aClock, const RetryLimiterPolicy& aPolicy)
  : mClock(aClock)
  , mPolicy(aPolicy)
  , mRefilled(aClock.Now())
  , mTokens(std::min(1.0, aPolicy.mBurst))
{
}

double RetryLimiter::MinRateCredit(SteadyTime aNow) const
{
  return std::max(0.0, Seconds(aNow - mRefilled)) * mPolicy.mMinPerSecond;
}

void RetryLimiter::Refill()
{
  const SteadyTime now = mClock.Now();
  const double minRateCredit = MinRateCredit(now);
  const double covered = std::min(minRateCredit, mRatioCredit);
  mRatioCredit -= covered;
  mTokens = std::min(mPolicy.mBurst, mTokens + minRateCredit - covered);
  mRefilled = std::max(mRefilled, now);
}

void RetryLimiter::OnRequest()
{
  Refill();
  mTokens = std::min(mPolicy.mBurst, mTokens + mPolicy.mRatio);
  mRatioCredit = std::min(kMaxRatioCredit, mRatioCredit + mPolicy.mRatio);
}

bool RetryLimiter::CanRetry() const
{
  const double minRateCredit = MinRateCredit(mClock.Now());
  const double tokens = mTokens + minRateCredit - std::min(minRateCredit, mRatioCredit);
  return std::min(mPolicy.mBurst, tokens) >= 1 - kEpsilon;
}

bool RetryLimiter::TryRetry()
{
  Refill();
  if (mTokens < 1 - kEpsilon) {
    return false;
  }
  mTokens = std::max(0.0, mTokens - 1);
  return true;
}

void RetryLimiter::SetPolicy(const RetryLimiterPolicy& aPolicy)
{
  Refill();
  mPolicy = aPolicy;
  mTokens = std::min(mTokens, mPolicy.mBurst);
}

const char* RetryDecisionName(RetryDecision aDecision)
{
  static constexpr std::array<const char*, 7> kNames = {
    "retry",        "completed",      "refused-everywhere", "not-idempotent",
    "budget-spent", "ratio-exceeded", "deadline-too-close"
  };
  return kNames[static_cast<size_t>(aDecision)];
}

RetryDecision ShouldRetry(AttemptOutcome aOutcome, bool aIdempotent, const RequestBudget& aBudget,
                          const RetryLimiter& aLimiter, Duration aRemaining, Duration aExpected)
{
  if (aOutcome == AttemptOutcome::Complete) {
    return RetryDecision::Completed;
  }
  if (aOutcome == AttemptOutcome::NotRunEverywhere) {
    return RetryDecision::RefusedEverywhere;
  }
  if (aOutcome == AttemptOutcome::Unknown && !aIdempotent) {
    return RetryDecision::NotIdempotent;
  }
  if (aRemaining <= aExpected || aRemaining <= Duration::zero()) {
    return RetryDecision::DeadlineTooClose;
  }
  if (aBudget.Left() == 0) {
    return RetryDecision::BudgetSpent;
  }
  return aLimiter.CanRetry() ? RetryDecision::Retry : RetryDecision::RatioExceeded;
}

RetryDecision TakeRetry(AttemptOutcome aOutcome, bool aIdempotent, RequestBudget& aBudget,
                        RetryLimiter& aLimiter, Duration aRemaining, Duration aExpected)
{
  const RetryDecision decision =
    ShouldRetry(aOutcome, aIdempotent, aBudget, aLimiter, aRemaining, aExpected);
  if (decision != RetryDecision::Retry) {
    return decision;
  }
  if (!aLimiter.TryRetry()) {
    return RetryDecision::RatioExceeded;
  }
  return aBudget.Take() ? RetryDecision::Retry : RetryDecision::BudgetSpent;
}

CallerBudget::CallerBudget(const Clock& aClock, const CallerBudgetPolicy& aPolicy)
  : mClock(aClock)
  , mPolicy(aPolicy)
  , mEntries(std::max<size_t>(1, (aPolicy.mEntries + kWays - 1) / kWays) * kWays)
{
}

size_t CallerBudget::SetOf(uint64_t aIdentity) const
{
  return HashCombine(aIdentity, 0) % (mEntries.size() / kWays) * kWays;
}

float CallerBudget::ChargeOf(const Entry& aEntry, SteadyTime aNow) const
{
  const double window = std::max(Seconds(mPolicy.mWindow), 1e-9);
  const double recovered = Seconds(aNow - aEntry.mUpdated) * mPolicy.mAttempts / window;
  return std::max(0.0F, aEntry.mCharge - static_cast<float>(std::max(0.0, recovered)));
}

const CallerBudget::Entry* CallerBudget::Find(uint64_t aIdentity) const
{
  const size_t set = SetOf(aIdentity);
  for (size_t i = set; i < set + kWays; ++i) {
    if (mEntries[i].mCharge > 0 && mEntries[i].mIdentity == aIdentity) {
      return &mEntries[i];
    }
  }
  return nullptr;
}

CallerBudget::Entry* CallerBudget::Find(uint64_t aIdentity)
{
  return const_cast<Entry*>(std::as_const(*this).Find(aIdentity));
}

CallerBudget::Entry& CallerBudget::Insert(uint64_t aIdentity, SteadyTime aNow)
{
  const size_t set = SetOf(aIdentity);
  Entry* victim = &mEntries[set];
  for (size_t i = set; i < set + kWays; ++i) {
    const auto key = [&](const Entry& aEntry) {
      return std::make_pair(ChargeOf(aEntry, aNow), aEntry.mUpdated);
    };
    if (key(mEntries[i]) < key(*victim)) {
      victim = &mEntries[i];
    }
  }
  *victim = Entry{ aIdentity, aNow, 0 };
  return *victim;
}

Result<CallerSend> CallerBudget::Open(uint64_t aIdentity)
{
  Entry* entry = Find(aIdentity);
  if (!entry) {
    return CallerSend{ RequestBudget::ForAttempts(mPolicy.mAttempts), 0 };
  }
  const SteadyTime now = mClock.Now();
  entry->mCharge = ChargeOf(*entry, now);
  entry->mUpdated = now;
  const float left = static_cast<float>(mPolicy.mAttempts) - entry->mCharge;
  // The tolerance covers rounding to float and nanoseconds in RetryAfter.
  if (left < 1 - 1e-3F) {
    return Failure{ RetryError::CallerOverBudget, {} };
  }
  const auto attempts = std::max<uint32_t>(1, static_cast<uint32_t>(left));
  entry->mCharge += static_cast<float>(attempts);
  return CallerSend{ RequestBudget::ForAttempts(attempts), attempts };
}

void CallerBudget::Close(uint64_t aIdentity, CallerSend&& aSend, AttemptOutcome aOutcome)
{
  const CallerSend send(std::move(aSend));
  Entry* entry = Find(aIdentity);
  if (aOutcome == AttemptOutcome::Complete) {
    if (entry) {
      *entry = Entry{};
    }
    return;
  }
  const SteadyTime now = mClock.Now();
  Entry& target = entry ? *entry : Insert(aIdentity, now);
  const auto used = static_cast<float>(1 + send.mBudget.Spent());
  const float charged = entry ? static_cast<float>(send.mCharged) : 0;
  // The upper bound keeps RetryAfter within one window after a burst of concurrent failures.
  target.mCharge = std::clamp(ChargeOf(target, now) + used - charged, 0.0F,
                              static_cast<float>(std::max<uint32_t>(1, mPolicy.mAttempts)));
  target.mUpdated = now;
}

Duration CallerBudget::RetryAfter(uint64_t aIdentity) const
{
  const Entry* entry = Find(aIdentity);
  if (!entry) {
    return Duration::zero();
  }
  const float excess = ChargeOf(*entry, mClock.Now()) + 1 - static_cast<float>(mPolicy.mAttempts);
  if (excess <= 1e-3F) {
    return Duration::zero();
  }
  return std::chrono::duration_cast<Duration>(mPolicy.mWindow * static_cast<double>(excess) /
                                              mPolicy.mAttempts);
}

} // namespace balsammount
