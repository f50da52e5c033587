// The requests that wait until a read of the store shows whether the configuration in force is the
// newest one.
#pragma once

#include "balsammount/clock.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>

#include <cstdint>
#include <functional>
#include <optional>
#include <vector>

namespace balsammount {

// Requests wait for the newest read of the store, while its answer is expected. They do not wait in
// an outage of the store: a store that has not answered in time is expected to be away until it
// answers again, or until a read is sent so late that this node cannot know.
class CheckWait
{
public:
  CheckWait(boost::asio::io_context& aContext, const Clock& aClock);
  void Stop();

  // Handles a read that is sent now and was due at aDue.
  void OnReadSent(SteadyTime aDue);
  // Handles the end of the read that was sent at aSentAt. The requests stay until Release.
  void OnReadEnded(SteadyTime aSentAt, bool aAnswered);

  // Whether the answer to the newest read is expected.
  bool IsAnswerExpected() const { return mIsAnswerExpected; }

  // Runs the action once when requests need not wait any longer.
  void Add(std::function<void()> aAction);
  // Runs the actions if the configuration has been checked, or no answer is expected.
  void Release(bool aIsChecked);

  // Number of requests that have waited.
  uint64_t Waited() const { return mWaited; }

private:
  void AwaitAnswer();
  void OnNoAnswer();

  const Clock& mClock;
  boost::asio::steady_timer mTimer; // until the answer to the newest read is not expected any more
  SteadyTime mTimerDue{};
  std::optional<SteadyTime> mPendingRead; // when the newest read was sent, until it ends
  bool mIsAnswerExpected = false;
  bool mStoreAnswers = true; // the read before was answered in time
  std::vector<std::function<void()>> mActions;
  SteadyTime mWaitingSince{};
  uint64_t mWaited = 0;
  bool mStopped = false;
};

} // namespace balsammount
