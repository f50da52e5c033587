// A backend server for tests: a fixed number of execution slots, a service time, calls to other
// services through the node beside it, and faults on request.
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
  size_t mSlots = 10; // concurrent executions; other requests wait in order of arrival
  std::chrono::microseconds mServiceTime{ 5000 }; // mean
  Distribution mDistribution = Distribution::Fixed;
  uint64_t mSeed = 1;
  std::vector<std::string> mCalls; // paths called in turn by each execution
  std::optional<boost::asio::ip::tcp::endpoint> mEgress;
  // The service time is kColdFactor times as long at the start and falls evenly to normal.
  std::chrono::milliseconds mColdStart{ 0 };
  std::function<void()> mCrash; // ends the process when not set
};

constexpr double kColdStartFactor = 5;

struct BackendCounters
{
  uint64_t mReceived = 0;
  uint64_t mExecuted = 0; // started to execute
  uint64_t mCompleted = 0;
  uint64_t mFailedCalls = 0; // executions that ended because a call failed
  uint64_t mExpired = 0;     // not executed: the deadline passed in the queue
  uint64_t mCancelled = 0;   // the caller's connection closed, in the queue or in execution
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
  // Executions of requests that carry this value of Idempotency-Key or X-Test-Id.
  uint64_t ExecutionsOfKey(const std::string& aKey) const;
  uint64_t ExecutionsOfId(const std::string& aId) const;

private:
  struct State;
  std::shared_ptr<State> mState;
};

} // namespace balsammount
