// Runs scenario files in a discrete-event simulation that uses the real admission, retry and
// routing code.
#pragma once

#include "balsammount/error.h"

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace balsammount {

enum class ExperimentError
{
  Scenario = 1, // the scenario is invalid; the detail contains the file and line
  UnknownPolicy,
  UnknownMechanism,
};

std::error_code make_error_code(ExperimentError aError);

enum class ControlPolicy : uint8_t
{
  None,    // backend servers accept requests up to their connection limit
  Static,  // fixed concurrency limit, FIFO queue, three attempts per hop
  Project, // this project's overload control
};

// The mechanisms of ControlPolicy::Project that are enabled.
struct Mechanisms
{
  bool mFloors = true;
  bool mShedLevel = true;
  bool mRetryBudget = true;
  bool mDeadlineCheck = true;
  bool mAdaptiveLimit = true;

  bool operator==(const Mechanisms&) const = default;
};

Result<ControlPolicy> ParsePolicy(std::string_view aName); // none, static, project
Result<void> DisableMechanism(Mechanisms& aMechanisms,
                              std::string_view aName); // floors, shed, retry, deadline, limit

struct ExperimentOptions
{
  uint64_t mSeed = 1;
  ControlPolicy mPolicy = ControlPolicy::Project;
  Mechanisms mMechanisms;
};

// Counts the callers' requests that began in the measurement window. A request counts once, however
// often it is resent.
struct RankResult
{
  std::string mName;
  uint64_t mOffered = 0;
  uint64_t mGoodput = 0; // complete response before the caller's deadline
  uint64_t mRefused = 0;
  uint64_t mLate = 0;       // deadline exceeded, connection lost or no response
  uint64_t mUnfinished = 0; // not ended when the run ended
  double mFloor = 0;
  // Goodput / min(offered, floor * capacity), with the minimum taken per second; 1 without a floor.
  double mFloorKept = 1;

  bool operator==(const RankResult&) const = default;
};

struct Expectation
{
  std::string mText;
  double mBound = 0;
  double mMeasured = 0;
  bool mMet = false;
};

struct ExperimentResult
{
  std::string mScenario;
  ExperimentOptions mOptions;
  std::vector<RankResult> mRanks;
  double mSeconds = 0;  // length of the measurement window
  double mCapacity = 0; // mean requests per second that the path can serve, with its slow servers
  double mGoodputShare = 0; // goodput / min(capacity, offered), with the minimum taken per second
  double mWasted = 0;       // share of the executed work that led to no complete response
  double mRetries = 0;      // retries by nodes / first attempts
  double mResends = 0;      // resends by callers / requests
  double mRecovery = -1;    // seconds; -1 if the scenario does not measure it
  std::vector<Expectation> mExpectations;

  bool Met() const;
};

// aName identifies the scenario in messages and results.
Result<ExperimentResult> RunScenario(const std::string& aText, const std::string& aName,
                                     const ExperimentOptions& aOptions);
Result<ExperimentResult> RunScenarioFile(const std::string& aPath,
                                         const ExperimentOptions& aOptions);

std::string FormatTable(const ExperimentResult& aResult);
// A header line, one line per rank and one for the total.
std::string FormatCsv(const ExperimentResult& aResult);

} // namespace balsammount

template <>
struct std::is_error_code_enum<balsammount::ExperimentError> : std::true_type
{
};
