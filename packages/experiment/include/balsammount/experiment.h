// Runs a scenario file in a virtual-time model around the real admission, retry and routing code.
#pragma once

#include "balsammount/error.h"

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace balsammount {

enum class ExperimentError
{
  Scenario = 1, // the scenario file is wrong; the detail names file and line
  UnknownPolicy,
  UnknownMechanism,
};

std::error_code make_error_code(ExperimentError aError);

enum class ControlPolicy : uint8_t
{
  None,    // backend servers take whatever their connections allow
  Static,  // fixed limit, first-come queue, three attempts per hop
  Project, // the mechanisms of this project
};

// Mechanisms of ControlPolicy::Project.
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

// Requests of callers that began in the measured window, counted once however often they are
// resent.
struct RankResult
{
  std::string mName;
  uint64_t mOffered = 0;
  uint64_t mGoodput = 0; // complete response before the caller's deadline
  uint64_t mRefused = 0;
  uint64_t mLate = 0; // deadline exceeded, connection lost or never answered
  double mFloor = 0;
  // Goodput over min(offered, floor * capacity), second by second; 1 without a floor.
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
  double mSeconds = 0;  // length of the measured window
  double mCapacity = 0; // mean requests per second that the path can serve, slow servers included
  double mGoodputShare = 0; // goodput over min(capacity, offered), taken second by second
  double mWasted = 0;       // share of the executed work whose caller got no complete response
  double mRetries = 0;      // attempts added by nodes, over first attempts
  double mResends = 0;      // sends added by callers, over requests
  double mRecovery = -1;    // seconds; -1 when the scenario does not measure it
  std::vector<Expectation> mExpectations;

  bool Met() const;
};

// aName is used in messages and results.
Result<ExperimentResult> RunScenario(const std::string& aText, const std::string& aName,
                                     const ExperimentOptions& aOptions);
Result<ExperimentResult> RunScenarioFile(const std::string& aPath,
                                         const ExperimentOptions& aOptions);

std::string FormatTable(const ExperimentResult& aResult);
// One line per rank and one for the total, with a header line.
std::string FormatCsv(const ExperimentResult& aResult);

} // namespace balsammount

template <>
struct std::is_error_code_enum<balsammount::ExperimentError> : std::true_type
{
};
