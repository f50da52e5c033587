// A backend server for tests with a fixed number of execution slots, a configurable service time,
// calls to other services through its node, and fault injection.
#pragma once

#include "balsammount/http_server.h"

#include <functional>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace balsammount {

enum class Distribution
{
  Fixed,
  Exponential,
};

struct BackendSettings
{
  boost::asio::ip::tcp::endpoint mListen;
  std::string mName = "backend";
  size_t mSlots = 10; // concurrent executions; further requests are queued in FIFO order
  std::chrono::microseconds mServiceTime{ 5000 }; // mean
  Distribution mDistribution = Distribution::Fixed;
  uint64_t mSeed = 1;
  std::vector<std::string> mCalls; // paths that each execution calls in sequence
  std::optional<boost::asio::ip::tcp::endpoint> mEgress;
  // The service time starts at kColdStartFactor times its normal value and falls linearly to it.
  std::chrono::milliseconds mColdStart{ 0 };
  std::function<void()> mOnCrash; // replaces the exit of the process when set
};

constexpr double kColdStartFactor = 5;

struct BackendCounters
{
  uint64_t mReceived = 0;
  uint64_t mExecuted = 0; // executions that started
  uint64_t mCompleted = 0;
  uint64_t mFailedCalls = 0; // executions that ended because an outgoing call failed
  uint64_t mExpired = 0;     // not executed because the deadline passed in the queue
  uint64_t mCancelled = 0;   // the caller disconnected while queued or executing
};

class BackendStandin
{
public:
  BackendStandin(boost::asio::io_context& aContext, BackendSettings aSettings);
  ~BackendStandin();
  BackendStandin(const BackendStandin&) = delete;
  BackendStandin& operator=(const BackendStandin&) = delete;

  Result<void> Start();
  void Stop();
  uint16_t Port() const;

  const BackendCounters& Counters() const;
  // Returns the number of executions with this value of Idempotency-Key or X-Test-Id.
  uint64_t ExecutionsOfKey(const std::string& aKey) const;
  uint64_t ExecutionsOfId(const std::string& aId) const;

private:
  struct State;
  std::shared_ptr<State> mState;
};

} // namespace balsammount
