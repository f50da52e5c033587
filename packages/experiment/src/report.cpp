#include "balsammount/experiment.h"

#include <algorithm>
#include <array>
#include <iomanip>
#include <sstream>

namespace balsammount {

namespace {

constexpr std::array<std::string_view, 3> kPolicies = { "none", "static", "project" };

struct Mechanism
{
  std::string_view mName;
  bool Mechanisms::*mFlag;
};
constexpr std::array<Mechanism, 5> kMechanisms = { {
  { "floors", &Mechanisms::mFloors },
  { "shed", &Mechanisms::mShedLevel },
  { "retry", &Mechanisms::mRetryBudget },
  { "deadline", &Mechanisms::mDeadlineCheck },
  { "limit", &Mechanisms::mAdaptiveLimit },
} };

std::string PolicyText(const ExperimentOptions& aOptions)
{
  std::string text(kPolicies[static_cast<size_t>(aOptions.mPolicy)]);
  for (const Mechanism& mechanism : kMechanisms) {
    if (!(aOptions.mMechanisms.*mechanism.mFlag)) {
      text += "-" + std::string(mechanism.mName);
    }
  }
  return text;
}

RankResult Total(const ExperimentResult& aResult)
{
  RankResult total;
  total.mName = "total";
  for (const RankResult& rank : aResult.mRanks) {
    total.mOffered += rank.mOffered;
    total.mGoodput += rank.mGoodput;
    total.mRefused += rank.mRefused;
    total.mLate += rank.mLate;
  }
  return total;
}

double Share(uint64_t aPart, uint64_t aWhole)
{
  return aWhole == 0 ? 0 : static_cast<double>(aPart) / static_cast<double>(aWhole);
}

} // namespace

bool ExperimentResult::Met() const
{
  return std::ranges::all_of(mExpectations, &Expectation::mMet);
}

Result<ControlPolicy> ParsePolicy(std::string_view aName)
{
  const auto found = std::ranges::find(kPolicies, aName);
  if (found == kPolicies.end()) {
    return Failure{ ExperimentError::UnknownPolicy, std::string(aName) };
  }
  return static_cast<ControlPolicy>(found - kPolicies.begin());
}

Result<void> DisableMechanism(Mechanisms& aMechanisms, std::string_view aName)
{
  const auto found = std::ranges::find(kMechanisms, aName, &Mechanism::mName);
  if (found == kMechanisms.end()) {
    return Failure{ ExperimentError::UnknownMechanism, std::string(aName) };
  }
  aMechanisms.*found->mFlag = false;
  return {};
}

std::string FormatTable(const ExperimentResult& aResult)
{
  std::ostringstream out;
  out << std::fixed << aResult.mScenario << ", policy " << PolicyText(aResult.mOptions) << ", seed "
      << aResult.mOptions.mSeed << ", " << std::setprecision(0) << aResult.mSeconds
      << " s, capacity " << aResult.mCapacity << "/s\n";
  out << std::left << std::setw(14) << "rank" << std::right;
  for (const char* name : { "offered", "goodput", "refused", "late", "served", "floor kept" }) {
    out << std::setw(11) << name;
  }
  out << '\n';
  auto ranks = aResult.mRanks;
  ranks.push_back(Total(aResult));
  for (const RankResult& rank : ranks) {
    out << std::left << std::setw(14) << rank.mName << std::right << std::setw(11) << rank.mOffered
        << std::setw(11) << rank.mGoodput << std::setw(11) << rank.mRefused << std::setw(11)
        << rank.mLate << std::setprecision(2) << std::setw(10)
        << 100 * Share(rank.mGoodput, rank.mOffered) << '%';
    if (rank.mFloor > 0) {
      out << std::setw(11) << rank.mFloorKept;
    }
    out << '\n';
  }
  out << std::setprecision(2) << "goodput " << 100 * aResult.mGoodputShare
      << "% of what capacity and demand allow, wasted work " << 100 * aResult.mWasted
      << "%, retries " << 100 * aResult.mRetries << "%, resends " << 100 * aResult.mResends << '%';
  if (aResult.mRecovery >= 0) {
    out << ", recovery " << std::setprecision(1) << aResult.mRecovery << " s";
  }
  out << '\n';
  for (const Expectation& expectation : aResult.mExpectations) {
    out << (expectation.mMet ? "met:    " : "missed: ") << expectation.mText << ' '
        << std::setprecision(3) << expectation.mBound << ", measured " << expectation.mMeasured
        << '\n';
  }
  return out.str();
}

std::string FormatCsv(const ExperimentResult& aResult)
{
  std::ostringstream out;
  out << "scenario,policy,seed,rank,offered,goodput,refused,late,floor_kept,seconds,capacity,"
         "goodput_share,wasted,retries,resends,recovery_s\n";
  auto ranks = aResult.mRanks;
  ranks.push_back(Total(aResult));
  for (const RankResult& rank : ranks) {
    out << aResult.mScenario << ',' << PolicyText(aResult.mOptions) << ',' << aResult.mOptions.mSeed
        << ',' << rank.mName << ',' << rank.mOffered << ',' << rank.mGoodput << ',' << rank.mRefused
        << ',' << rank.mLate << ',' << rank.mFloorKept << ',' << aResult.mSeconds << ','
        << aResult.mCapacity << ',' << aResult.mGoodputShare << ',' << aResult.mWasted << ','
        << aResult.mRetries << ',' << aResult.mResends << ',' << aResult.mRecovery << '\n';
  }
  return out.str();
}

} // namespace balsammount
