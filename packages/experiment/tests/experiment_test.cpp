#include "balsammount/experiment.h"

#include <CppUTest/TestHarness.h>
// Must follow TestHarness.h.
#include <CppUTest/MemoryLeakWarningPlugin.h>

using namespace balsammount;

namespace {

const std::string kSmallScenario = R"(
rank("urgent", { worth = 10, floor = 0.2, deadline = 0.5 })
rank("other",  { worth = 1,  floor = 0.1, deadline = 0.5 })
service("front", 10)
service("back", 20)
serve("front", { upstreams = 2, slots = 20 })
serve("back",  { upstreams = 2, slots = 10 })
call("front", "back")
demand("urgent", "front", 0.3)
demand("other",  "front", 3)
run { seconds = 8, measure_from = 3, measure_until = 7 }
)";

ExperimentResult RunFile(const std::string& aName)
{
  const auto result = RunScenarioFile(std::string(BM_SCENARIOS) + "/" + aName + ".lua", {});
  CHECK_TEXT(result.has_value(), result ? "" : Describe(result.error()).c_str());
  return *result;
}

void CheckMet(const ExperimentResult& aResult)
{
  CHECK_TEXT(!aResult.mExpectations.empty(), "the scenario has no expectations");
  CHECK_TEXT(aResult.Met(), FormatTable(aResult).c_str());
}

} // namespace

// CppUTest's leak detector is off: it searches a list on every deletion, which takes minutes with
// the objects of a run. The sanitizers detect leaks instead.
TEST_GROUP(Experiment){ void setup() override{ MemoryLeakWarningPlugin::turnOffNewDeleteOverloads();
}
void teardown() override
{
  MemoryLeakWarningPlugin::turnOnDefaultNotThreadSafeNewDeleteOverloads();
}
}
;

// Guards against runs that the seed does not reproduce.
TEST(Experiment, SameSeedSameResults)
{
  const auto first = RunScenario(kSmallScenario, "small", { 3, ControlPolicy::Project, {} });
  const auto second = RunScenario(kSmallScenario, "small", { 3, ControlPolicy::Project, {} });
  const auto other = RunScenario(kSmallScenario, "small", { 4, ControlPolicy::Project, {} });
  CHECK(FormatCsv(*first) == FormatCsv(*second));
  CHECK(FormatCsv(*first) != FormatCsv(*other));
}

// Guards against requests that the simulation loses or counts twice.
TEST(Experiment, EveryRequestEndsOnce)
{
  for (const auto policy : { ControlPolicy::None, ControlPolicy::Static, ControlPolicy::Project }) {
    const auto result = RunScenario(kSmallScenario, "small", { 1, policy, {} });
    for (const RankResult& rank : result->mRanks) {
      CHECK(rank.mOffered > 0);
      CHECK_EQUAL(rank.mOffered, rank.mGoodput + rank.mRefused + rank.mLate + rank.mUnfinished);
    }
  }
}

// Guards against a disabled mechanism that stays in effect.
TEST(Experiment, DisabledMechanismChangesTheResult)
{
  const auto all = RunScenario(kSmallScenario, "small", {});
  for (const char* name : { "floors", "shed", "retry", "deadline", "limit" }) {
    ExperimentOptions options;
    CHECK(DisableMechanism(options.mMechanisms, name).has_value());
    const auto result = RunScenario(kSmallScenario, "small", options);
    CHECK(FormatTable(*result).find(std::string("project-") + name) != std::string::npos);
    CHECK(result->mRanks != all->mRanks);
  }
  Mechanisms on;
  CHECK(DisableMechanism(on, "luck").error().mCode == ExperimentError::UnknownMechanism);
  CHECK(ParsePolicy("luck").error().mCode == ExperimentError::UnknownPolicy);
}

// Guards against scenarios with mistakes that run nevertheless.
TEST(Experiment, ReportsTheLineOfAnError)
{
  const auto fails = [](const std::string& aLine, const std::string& aMessage) {
    const auto result = RunScenario(kSmallScenario + aLine, "small", {});
    CHECK(!result.has_value());
    CHECK(result.error().mCode == ExperimentError::Scenario);
    CHECK_TEXT(result.error().mDetail.find("small:12: " + aMessage) != std::string::npos,
               result.error().mDetail.c_str());
  };
  fails("slow('bakc', 3)", "unknown service 'bakc'");
  fails("demand('urgent', 'front', 1, { trys = 3 })", "unknown setting 'trys'");
  fails("expect { floor = 1 }", "floor needs a rank");
  fails("call('back', 'front')", "a service may only call");
  fails("run { seconds = 5, measure_from = 6 }", "the times are not in order");
}

// Guards goodput, the floors and the most urgent rank at a demand of ten times the capacity.
TEST(Experiment, DemandAtTenTimesCapacity)
{
  CheckMet(RunFile("fast-demand-10"));
}

// Guards the floors of the other ranks when the most urgent rank floods the services.
TEST(Experiment, MostUrgentFlood)
{
  CheckMet(RunFile("fast-most-flood"));
}

// Guards the recovery time after a deep service was slow and callers resent their requests.
TEST(Experiment, RetryStorm)
{
  CheckMet(RunFile("fast-retry-storm"));
}
