#include "balsammount/random.h"
#include "balsammount/retry.h"

#include <CppUTest/TestHarness.h>

using namespace balsammount;
using namespace std::chrono_literals;

namespace {

// Simulates a call with its sub-calls; attempts fail at random. Returns the number of retries in
// the call tree.
uint32_t RunCall(Random& aRandom, RequestBudget& aBudget, int aDepth)
{
  uint32_t retries = 0;
  for (;;) {
    const auto subCalls = static_cast<uint32_t>(aDepth == 0 ? 0 : aRandom.Below(4));
    for (uint32_t i = 0; i < subCalls; ++i) {
      auto sub = aBudget.SplitShare(subCalls - i);
      const uint32_t granted = sub.Left();
      retries += RunCall(aRandom, sub, aDepth - 1);
      // A third of the hops report nothing, and a third report more than they were granted.
      const uint64_t report = aRandom.Below(3);
      sub.LimitTo(report == 0 ? 0 : report == 1 ? sub.Left() : granted + 5);
      aBudget.Return(std::move(sub));
    }
    if (aRandom.Below(4) == 0 || !aBudget.Take()) {
      return retries;
    }
    ++retries;
  }
}

} // namespace

TEST_GROUP(RequestBudget){};

// Guards against retries that multiply per hop or per sub-call.
TEST(RequestBudget, RetriesOfACallTreeNeverExceedTheBudget)
{
  for (uint64_t seed = 0; seed < 2000; ++seed) {
    Random random(seed);
    const auto total = static_cast<uint32_t>(random.Below(12));
    RequestBudget budget(total);
    const uint32_t retries = RunCall(random, budget, 5);
    CHECK(retries + budget.Left() <= total);
  }
}

// Guards against retries that are duplicated by a split, a move or a false report.
TEST(RequestBudget, RetriesAreMovedNotCopied)
{
  auto budget = RequestBudget::ForAttempts(5);
  CHECK_EQUAL(4U, budget.Left());
  auto sub = budget.Split(3);
  CHECK_EQUAL(1U, budget.Left());
  CHECK(sub.Take());
  sub.LimitTo(100);
  budget.Return(std::move(sub));
  CHECK_EQUAL(3U, budget.Left());
  CHECK_EQUAL(1U, budget.Spent());
  budget.Return(std::move(sub)); // NOLINT(bugprone-use-after-move): a moved-from budget is empty
  CHECK_EQUAL(3U, budget.Left());
  CHECK_EQUAL(0U, RequestBudget::ForAttempts(0).Left());
}

TEST_GROUP(RetryLimiter)
{
  ManualClock mClock;
};

// Guards against a retry storm, in which every request fails and every caller retries.
TEST(RetryLimiter, LimitsRetriesToTheRatio)
{
  for (uint64_t seed = 0; seed < 50; ++seed) {
    Random random(seed);
    RetryLimiter limiter(mClock, { 0.1, 0.1, 10 });
    int requests = 0;
    int retries = 0;
    const SteadyTime start = mClock.Now();
    for (int i = 0; i < 5000; ++i) {
      mClock.Advance(std::chrono::microseconds(random.Below(2000)));
      if (random.Below(2) == 0) {
        limiter.OnRequest();
        ++requests;
      }
      const bool allowed = limiter.CanRetry();
      CHECK_EQUAL(allowed, limiter.TryRetry());
      retries += allowed ? 1 : 0;
    }
    const double seconds = std::chrono::duration<double>(mClock.Now() - start).count();
    CHECK(retries <= 0.1 * requests + 0.1 * seconds + 10);
    CHECK(retries >= 0.1 * requests - 1);
  }
}

// Guards against a service with little traffic that can never retry.
TEST(RetryLimiter, IdleServiceRetriesAtTheMinimumRate)
{
  RetryLimiter limiter(mClock, { 0.1, 0.1, 10 });
  CHECK(limiter.TryRetry());
  CHECK_FALSE(limiter.TryRetry());
  mClock.Advance(10s);
  CHECK(limiter.TryRetry());
  CHECK_FALSE(limiter.TryRetry());
}

TEST_GROUP(ShouldRetry)
{
  ManualClock mClock;
  RetryLimiter mLimiter{ mClock, {} };
};

// Guards against a second execution of a request that may have run, and against a decision that
// spends a retry.
TEST(ShouldRetry, ReturnsTheDecision)
{
  const RequestBudget one(1);
  const RequestBudget none;
  using O = AttemptOutcome;
  using D = RetryDecision;
  CHECK(ShouldRetry(O::NotRun, false, one, mLimiter, 1s) == D::Retry);
  CHECK(ShouldRetry(O::Unknown, true, one, mLimiter, 1s) == D::Retry);
  CHECK(ShouldRetry(O::Unknown, false, one, mLimiter, 1s) == D::NotIdempotent);
  CHECK(ShouldRetry(O::Complete, true, one, mLimiter, 1s) == D::Completed);
  CHECK(ShouldRetry(O::NotRunEverywhere, true, one, mLimiter, 1s) == D::RefusedEverywhere);
  CHECK(ShouldRetry(O::NotRun, true, none, mLimiter, 1s) == D::BudgetSpent);
  CHECK(ShouldRetry(O::NotRun, true, one, mLimiter, 5ms, 5ms) == D::DeadlineTooClose);
  CHECK(ShouldRetry(O::NotRun, true, one, mLimiter, 0ms) == D::DeadlineTooClose);

  RequestBudget two(2);
  CHECK(TakeRetry(O::NotRun, false, two, mLimiter, 1s) == D::Retry);
  CHECK_EQUAL(1U, two.Left());
  CHECK(TakeRetry(O::NotRun, false, two, mLimiter, 1s) == D::RatioExceeded);
  CHECK_EQUAL(1U, two.Left());
}

TEST_GROUP(CallerBudget)
{
  ManualClock mClock;

  static void Fail(CallerBudget & aBudget, uint64_t aIdentity)
  {
    auto send = aBudget.Open(aIdentity);
    if (send.has_value()) {
      aBudget.Close(aIdentity, std::move(*send), AttemptOutcome::NotRun);
    }
  }
};

// Guards against callers that multiply the attempts of a request by resending it.
TEST(CallerBudget, ResendsShareTheAttempts)
{
  CallerBudget budget(mClock, { 3, 6s, 64 });
  auto first = budget.Open(7);
  CHECK_EQUAL(2U, first->mBudget.Left());
  CHECK(first->mBudget.Take());
  budget.Close(7, std::move(*first), AttemptOutcome::Unknown);
  auto second = budget.Open(7);
  CHECK_EQUAL(0U, second->mBudget.Left());
  CHECK(budget.Open(7).error().mCode == RetryError::CallerOverBudget);
  budget.Close(7, std::move(*second), AttemptOutcome::NotRun);
  const Duration wait = budget.RetryAfter(7);
  CHECK(wait > 1900ms);
  CHECK(wait < 2100ms);
  CHECK_FALSE(budget.Open(7).has_value());
  mClock.Advance(wait);
  CHECK(budget.Open(7).has_value());
}

// Guards against limiting a client that polls a resource and is being served.
TEST(CallerBudget, CompletedSendsAreNotCharged)
{
  CallerBudget budget(mClock, { 3, 5s, 64 });
  std::vector<CallerSend> sends;
  sends.reserve(20);
  for (int i = 0; i < 20; ++i) {
    sends.push_back(*budget.Open(1));
  }
  for (CallerSend& send : sends) {
    budget.Close(1, std::move(send), AttemptOutcome::Complete);
  }
  for (int i = 0; i < 5; ++i) {
    Fail(budget, 1);
  }
  CHECK_FALSE(budget.Open(1).has_value());
  budget.Close(1, {}, AttemptOutcome::Complete);
  CHECK(budget.Open(1).has_value());
}

// Guards against a flood of distinct requests that evicts the charge of a resending caller.
TEST(CallerBudget, FloodDoesNotEvictAResendingCaller)
{
  CallerBudget budget(mClock, { 3, 5s, 64 });
  for (int i = 0; i < 3; ++i) {
    Fail(budget, 42);
  }
  for (uint64_t i = 1000; i < 20000; ++i) {
    Fail(budget, i);
  }
  CHECK_FALSE(budget.Open(42).has_value());
  CHECK_EQUAL(64U, budget.Capacity());
}
