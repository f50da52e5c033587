// An open-loop load generator: sends requests at their intended times, no matter how long earlier
// responses take.
#pragma once

#include "balsammount/error.h"
#include "balsammount/random.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>

#include <chrono>
#include <functional>
#include <memory>
#include <string>
#include <vector>

namespace balsammount {

struct Flow
{
  std::string mName = "flow";
  std::string mPath = "/";
  std::string mMethod = "GET";
  double mRate = 10;   // requests per second, Poisson arrivals
  size_t mCallers = 1; // distinct values of Balsam-Caller
  std::chrono::milliseconds mDeadline{ 1000 };
  size_t mRetries = 0; // caller's retries after the first attempt
  std::chrono::milliseconds mBackoff{ 0 };
  bool mKey = false;     // sends an Idempotency-Key (UUIDv7), the same one in retries
  size_t mBodyBytes = 0; // of requests other than GET
  // Sending starts and stops at these times after the start of the run. 0 in mUntil means the end
  // of the run.
  std::chrono::milliseconds mFrom{ 0 };
  std::chrono::milliseconds mUntil{ 0 };
};

// Parses "name=a,path=/b,rate=10,...". Throws std::invalid_argument that names the setting.
Flow ParseFlow(const std::string& aText);

// Result of a request after its last attempt.
enum class Outcome
{
  Success,       // the expected response within the deadline
  NotRun,        // Balsam-Outcome: not-run, or nothing was sent
  Unknown,       // Balsam-Outcome: unknown, or the connection closed before the response
  TimedOut,      // no response within the deadline
  Error,         // any other status
  WrongResponse, // status 200 with a response that does not match the request
};
constexpr size_t kOutcomeCount = 6;

struct FlowReport
{
  std::string mName;
  uint64_t mOffered = 0; // requests, not counting retries
  uint64_t mAttempts = 0;
  uint64_t mOutcomes[kOutcomeCount] = {};
  std::vector<float> mLatencies; // of successful requests in ms, from the intended send time
  std::vector<uint64_t> mOfferedPerSecond; // by second of the intended send time
  std::vector<uint64_t> mGoodputPerSecond; // by second of the response

  uint64_t Count(Outcome aOutcome) const { return mOutcomes[static_cast<size_t>(aOutcome)]; }
};

struct LoadReport
{
  double mDurationSeconds = 0;
  std::vector<FlowReport> mFlows;
  float mMaxSendDelay = 0; // ms after the intended time; a large value means a saturated generator
};

struct LoadSettings
{
  std::vector<boost::asio::ip::tcp::endpoint> mTargets; // chosen at random for each attempt
  std::vector<Flow> mFlows;
  std::chrono::milliseconds mDuration{ 10'000 };
  uint64_t mSeed = 1;
};

class LoadGenerator
{
public:
  LoadGenerator(boost::asio::io_context& aContext, LoadSettings aSettings);
  ~LoadGenerator();
  LoadGenerator(const LoadGenerator&) = delete;
  LoadGenerator& operator=(const LoadGenerator&) = delete;

  // Sends for the configured duration, waits for outstanding responses, then calls aDone.
  void Start(std::function<void(const LoadReport&)> aDone);
  // Returns the current counters, also during the run.
  const LoadReport& Report() const;

private:
  struct State;
  std::shared_ptr<State> mState;
};

// Returns the nearest-rank percentile at aFraction (0..1), or 0 when there are no values.
float Percentile(std::vector<float> aValues, double aFraction);

std::string FormatTable(const LoadReport& aReport);
std::string FormatJson(const LoadReport& aReport);

} // namespace balsammount
