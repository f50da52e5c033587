// An open-loop load generator: requests are sent at their intended times, however slowly earlier
// ones are answered.
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
  size_t mRetries = 0; // by the caller, after the first attempt
  std::chrono::milliseconds mBackoff{ 0 };
  bool mKey = false;     // sends an Idempotency-Key (UUIDv7), the same one in retries
  size_t mBodyBytes = 0; // of requests other than GET
  // Sends from mFrom to mUntil after the start; the end of the run when mUntil is 0.
  std::chrono::milliseconds mFrom{ 0 };
  std::chrono::milliseconds mUntil{ 0 };
};

// Reads "name=a,path=/b,rate=10,...". Throws std::invalid_argument that names the setting.
Flow ParseFlow(const std::string& aText);

// How a request ended after its last attempt.
enum class Outcome
{
  Success,       // the complete and right answer in time
  NotRun,        // refused with Balsam-Outcome: not-run, or nothing was sent
  Unknown,       // Balsam-Outcome: unknown, or the connection ended before the answer
  TimedOut,      // no answer within the deadline
  Error,         // another status
  WrongResponse, // status 200 with an answer that does not belong to the request
};
constexpr size_t kOutcomeCount = 6;

struct FlowReport
{
  std::string mName;
  uint64_t mOffered = 0; // requests
  uint64_t mAttempts = 0;
  uint64_t mOutcomes[kOutcomeCount] = {};
  std::vector<float> mLatencies;           // of good requests in ms, from the intended send time
  std::vector<uint64_t> mOfferedPerSecond; // by the second of the intended send time
  std::vector<uint64_t> mGoodputPerSecond; // by the second of the answer

  uint64_t Count(Outcome aOutcome) const { return mOutcomes[static_cast<size_t>(aOutcome)]; }
};

struct LoadReport
{
  double mDurationSeconds = 0;
  std::vector<FlowReport> mFlows;
  float mMaxSendDelay = 0; // ms behind the intended time; large values mean a saturated generator
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

  // Sends for the duration and waits for the answers that are due, then calls aDone.
  void Start(std::function<void(const LoadReport&)> aDone);
  // The state of the counters now, also before the end.
  const LoadReport& Report() const;

private:
  struct State;
  std::shared_ptr<State> mState;
};

// The value below which a share (0..1) of the values lies; 0 without values.
float Percentile(std::vector<float> aValues, double aFraction);

std::string FormatTable(const LoadReport& aReport);
std::string FormatJson(const LoadReport& aReport);

} // namespace balsammount
