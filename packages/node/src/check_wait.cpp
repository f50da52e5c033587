#include "check_wait.h"

#include "balsammount/event.h"
#include "balsammount/unhandled.h"

#include <utility>

namespace balsammount {

namespace {

// Time for which a request waits for the answer of the store. A slow store answers in 200 ms.
constexpr Duration kMaxWait = std::chrono::milliseconds(250);
// A timer that runs later than this shows that the answer may be waiting to be read.
constexpr Duration kLateTimer = std::chrono::milliseconds(50);

} // namespace

CheckWait::CheckWait(boost::asio::io_context& aContext, const Clock& aClock)
  : mClock(aClock)
  , mTimer(aContext)
{
}

void CheckWait::Stop()
{
  mStopped = true;
  mTimer.cancel();
  mActions.clear();
}

void CheckWait::OnReadSent(SteadyTime aDue)
{
  const SteadyTime now = mClock.Now();
  const bool isOverdue = now - aDue >= kMaxWait;
  mIsAnswerExpected = mStoreAnswers || isOverdue;
  mPendingRead = now;
  AwaitAnswer();
}

void CheckWait::OnReadEnded(SteadyTime aSentAt, bool aAnswered)
{
  mStoreAnswers = mStoreAnswers || aAnswered;
  if (mPendingRead == aSentAt) {
    mPendingRead.reset();
    mTimer.cancel();
    mIsAnswerExpected = false;
    mStoreAnswers = aAnswered;
  }
}

void CheckWait::Add(std::function<void()> aAction)
{
  if (mActions.empty()) {
    mWaitingSince = mClock.Now();
  }
  ++mWaited;
  mActions.push_back(std::move(aAction));
}

void CheckWait::Release(bool aIsChecked)
{
  if (mActions.empty() || (mIsAnswerExpected && !aIsChecked)) {
    return;
  }
  Event("config", "requests-waited")
    .Add("requests", mActions.size())
    .Add("waited_ms", mClock.Now() - mWaitingSince)
    .Add("checked", aIsChecked);
  for (const auto& action : std::exchange(mActions, {})) {
    RunGuarded("config", action);
  }
}

void CheckWait::AwaitAnswer()
{
  mTimerDue = mClock.Now() + kMaxWait;
  mTimer.expires_after(kMaxWait);
  mTimer.async_wait([this](const auto& aError) {
    if (!aError) {
      OnNoAnswer();
    }
  });
}

// A read needs several turns of the event loop, so the wait goes on as long as the loop is late. It
// ends with the time limit of the read.
void CheckWait::OnNoAnswer()
{
  if (mStopped || !mPendingRead) {
    return;
  }
  if (mClock.Now() - mTimerDue >= kLateTimer) {
    AwaitAnswer();
    return;
  }
  mIsAnswerExpected = false;
  mStoreAnswers = false;
  Release(false);
}

} // namespace balsammount
