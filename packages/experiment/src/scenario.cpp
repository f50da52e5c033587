#include "simulation.h"

#include <lua.hpp>

#include <array>
#include <fstream>
#include <sstream>
#include <stdexcept>

namespace balsammount {

std::error_code make_error_code(ExperimentError aError)
{
  static constexpr std::array<const char*, 4> kMessages = { "success", "invalid scenario",
                                                            "unknown policy", "unknown mechanism" };
  static const EnumCategory sCategory("balsammount.experiment", kMessages);
  return { static_cast<int>(aError), sCategory };
}

namespace {

using detail::Simulation;

struct ExpectationSpec
{
  std::string mRank; // empty for the whole run
  std::string mMetric;
  double mBound = 0;
};

// The state of a scenario while its file is executed.
struct Script
{
  explicit Script(const ExperimentOptions& aOptions)
    : mSimulation(aOptions)
  {
  }
  Simulation mSimulation;
  Simulation::RunSettings mRun;
  bool mHasRun = false;
  double mTime = 0; // time of the events being declared; set by `at`
  std::vector<ExpectationSpec> mExpectationSpecs;
};

struct LuaCloser
{
  void operator()(lua_State* aState) const { lua_close(aState); }
};

// Arguments of a scenario function. Errors are thrown as exceptions, because lua_error skips
// destructors.
class Arguments
{
public:
  explicit Arguments(lua_State* aState)
    : mState(aState)
  {
  }

  std::string String(int aIndex, const char* aWhat) const
  {
    if (lua_type(mState, aIndex) != LUA_TSTRING) {
      throw std::runtime_error(std::string(aWhat) + " must be a string");
    }
    return lua_tostring(mState, aIndex);
  }

  double Number(int aIndex, const char* aWhat) const
  {
    if (lua_type(mState, aIndex) != LUA_TNUMBER) {
      throw std::runtime_error(std::string(aWhat) + " must be a number");
    }
    return lua_tonumber(mState, aIndex);
  }

  double Number(int aIndex, const char* aWhat, double aDefault) const
  {
    return lua_isnoneornil(mState, aIndex) ? aDefault : Number(aIndex, aWhat);
  }

  // A field of the settings table at aIndex.
  double Field(int aIndex, const char* aName, double aDefault) const
  {
    if (!lua_istable(mState, aIndex)) {
      return aDefault;
    }
    lua_getfield(mState, aIndex, aName);
    const bool isPresent = !lua_isnil(mState, -1);
    const double value = isPresent ? Number(-1, aName) : aDefault;
    lua_pop(mState, 1);
    return value;
  }

  std::vector<std::string> Strings(int aIndex, const char* aName) const
  {
    std::vector<std::string> strings;
    if (!lua_istable(mState, aIndex)) {
      return strings;
    }
    lua_getfield(mState, aIndex, aName);
    for (lua_Integer i = 1; lua_istable(mState, -1); ++i) {
      lua_rawgeti(mState, -1, i);
      if (lua_isnil(mState, -1)) {
        lua_pop(mState, 1);
        break;
      }
      strings.push_back(String(-1, aName));
      lua_pop(mState, 1);
    }
    lua_pop(mState, 1);
    return strings;
  }

  // Rejects unknown settings, so that misspelt ones are not ignored.
  void AllowOnly(int aIndex, std::initializer_list<std::string_view> aNames) const
  {
    if (lua_isnoneornil(mState, aIndex)) {
      return;
    }
    if (!lua_istable(mState, aIndex)) {
      throw std::runtime_error("settings must be a table");
    }
    lua_pushnil(mState);
    while (lua_next(mState, aIndex) != 0) {
      lua_pop(mState, 1);
      if (lua_type(mState, -1) == LUA_TSTRING) {
        const std::string name = lua_tostring(mState, -1);
        if (std::ranges::find(aNames, name) == aNames.end()) {
          throw std::runtime_error("unknown setting '" + name + "'");
        }
      }
    }
  }

  lua_State* State() const { return mState; }

private:
  lua_State* mState;
};

size_t ServiceOf(const Script& aScript, const Arguments& aArguments, int aIndex)
{
  const std::string name = aArguments.String(aIndex, "the service");
  const size_t service = aScript.mSimulation.FindService(name);
  if (service == aScript.mSimulation.ServiceCount()) {
    throw std::runtime_error("unknown service '" + name + "'");
  }
  return service;
}

size_t RankOf(const Script& aScript, const Arguments& aArguments, int aIndex)
{
  const std::string name = aArguments.String(aIndex, "the rank");
  const size_t rank = aScript.mSimulation.FindRank(name);
  if (rank == aScript.mSimulation.RankCount()) {
    throw std::runtime_error("unknown rank '" + name + "'");
  }
  return rank;
}

// rank("certify", { worth = 100, floor = 0.2, deadline = 0.5 })
void Rank(Script& aScript, const Arguments& aArguments)
{
  aArguments.AllowOnly(2, { "worth", "floor", "deadline" });
  if (aScript.mSimulation.RankCount() == kMaxRanks) {
    throw std::runtime_error("too many ranks");
  }
  aScript.mSimulation.AddRank({ aArguments.String(1, "the rank"), aArguments.Field(2, "worth", 1),
                                aArguments.Field(2, "floor", 0),
                                aArguments.Field(2, "deadline", 1) });
}

// service("orders", 20): a service with a mean service time of 20 ms
void Service(Script& aScript, const Arguments& aArguments)
{
  const double time = aArguments.Number(2, "the service time");
  if (time <= 0) {
    throw std::runtime_error("the service time must be above 0");
  }
  aScript.mSimulation.AddService(aArguments.String(1, "the service"), time / 1000);
}

// serve("orders", { upstreams = 4, slots = 50, connections = 400, centres = { "a", "b" } })
void Serve(Script& aScript, const Arguments& aArguments)
{
  aArguments.AllowOnly(2, { "upstreams", "slots", "connections", "centres", "cold", "cold_time" });
  detail::InstanceSettings settings;
  settings.mCount = static_cast<size_t>(aArguments.Field(2, "upstreams", 1));
  settings.mSlots = static_cast<uint32_t>(aArguments.Field(2, "slots", settings.mSlots));
  settings.mConnections =
    static_cast<uint32_t>(aArguments.Field(2, "connections", settings.mConnections));
  settings.mColdFactor = aArguments.Field(2, "cold", settings.mColdFactor);
  settings.mColdTime = aArguments.Field(2, "cold_time", settings.mColdTime);
  if (auto centres = aArguments.Strings(2, "centres"); !centres.empty()) {
    settings.mDataCentres = std::move(centres);
  }
  aScript.mSimulation.AddInstances(ServiceOf(aScript, aArguments, 1), settings);
}

// call("orders", "stock"): every request of orders calls stock once
void Call(Script& aScript, const Arguments& aArguments)
{
  const size_t from = ServiceOf(aScript, aArguments, 1);
  const size_t to = ServiceOf(aScript, aArguments, 2);
  // Only services declared later may be called, so that calls have no cycles.
  if (to <= from) {
    throw std::runtime_error("a service may only call one that is declared after it");
  }
  aScript.mSimulation.AddCall(from, to);
}

// link { near = 0.2, far = 5, caller = 1, loss = 0.01 }: one-way delays in ms
void Link(Script& aScript, const Arguments& aArguments)
{
  aArguments.AllowOnly(1, { "near", "far", "caller", "loss" });
  detail::LinkSettings link;
  link.mNear = aArguments.Field(1, "near", link.mNear * 1000) / 1000;
  link.mFar = aArguments.Field(1, "far", link.mFar * 1000) / 1000;
  link.mCaller = aArguments.Field(1, "caller", link.mCaller * 1000) / 1000;
  link.mLoss = aArguments.Field(1, "loss", link.mLoss);
  aScript.mSimulation.SetLink(link);
}

// demand("browse", "catalogue", 0.5, { callers = 100, tries = 3, pause = 50 }): half of the
// capacity
void Demand(Script& aScript, const Arguments& aArguments)
{
  aArguments.AllowOnly(4, { "callers", "tries", "pause" });
  const size_t rank = RankOf(aScript, aArguments, 1);
  const size_t service = ServiceOf(aScript, aArguments, 2);
  detail::DemandSettings demand;
  demand.mCapacityFactor = aArguments.Number(3, "the demand");
  demand.mCallers = static_cast<uint32_t>(aArguments.Field(4, "callers", demand.mCallers));
  demand.mTries = static_cast<uint32_t>(aArguments.Field(4, "tries", demand.mTries));
  demand.mPause = aArguments.Field(4, "pause", demand.mPause * 1000) / 1000;
  aScript.mSimulation.At(aScript.mTime, [&simulation = aScript.mSimulation, rank, service, demand] {
    simulation.SetDemand(rank, service, demand);
  });
}

// slow("stock", 3, 10): the service time is tripled for 10 s
void Slow(Script& aScript, const Arguments& aArguments)
{
  const size_t service = ServiceOf(aScript, aArguments, 1);
  const double factor = aArguments.Number(2, "the factor");
  const double length = aArguments.Number(3, "the duration", 0);
  aScript.mSimulation.At(aScript.mTime, [&simulation = aScript.mSimulation, service, factor,
                                         length] { simulation.Slow(service, factor, length); });
}

// kill("stock", 1, 5): one upstream is down for 5 s and then starts cold
void Kill(Script& aScript, const Arguments& aArguments)
{
  const size_t service = ServiceOf(aScript, aArguments, 1);
  const auto count = static_cast<size_t>(aArguments.Number(2, "the number of upstreams", 1));
  const double length = aArguments.Number(3, "the duration", 0);
  aScript.mSimulation.At(aScript.mTime, [&simulation = aScript.mSimulation, service, count,
                                         length] { simulation.Kill(service, count, length); });
}

// freeze("stock", 1, 5): one upstream makes no progress for 5 s
void Freeze(Script& aScript, const Arguments& aArguments)
{
  const size_t service = ServiceOf(aScript, aArguments, 1);
  const auto count = static_cast<size_t>(aArguments.Number(2, "the number of upstreams", 1));
  const double length = aArguments.Number(3, "the duration", 0);
  aScript.mSimulation.At(aScript.mTime, [&simulation = aScript.mSimulation, service, count,
                                         length] { simulation.Freeze(service, count, length); });
}

// cut("a", "b", 5): no message passes between two data centres for 5 s
void Cut(Script& aScript, const Arguments& aArguments)
{
  const std::string left = aArguments.String(1, "the data centre");
  const std::string right = aArguments.String(2, "the data centre");
  const double length = aArguments.Number(3, "the duration", 0);
  aScript.mSimulation.At(aScript.mTime, [&simulation = aScript.mSimulation, left, right, length] {
    simulation.Cut(left, right, length);
  });
}

// at(10, slow, "stock", 3): schedules slow("stock", 3) at 10 s after the start
void At(Script& aScript, const Arguments& aArguments)
{
  lua_State* const state = aArguments.State();
  const double time = aArguments.Number(1, "the time");
  if (!lua_isfunction(state, 2)) {
    throw std::runtime_error("the function after the time is missing");
  }
  const double before = std::exchange(aScript.mTime, time);
  const int status = lua_pcall(state, lua_gettop(state) - 2, 0, 0);
  aScript.mTime = before;
  if (status != LUA_OK) {
    throw std::runtime_error(lua_tostring(state, -1));
  }
}

// run { seconds = 20, measure_from = 5, measure_until = 18, overload_from = 5, overload_until = 10
// }
void Run(Script& aScript, const Arguments& aArguments)
{
  aArguments.AllowOnly(
    1, { "seconds", "measure_from", "measure_until", "overload_from", "overload_until" });
  Simulation::RunSettings& run = aScript.mRun;
  run.mDuration = aArguments.Field(1, "seconds", run.mDuration);
  run.mMeasureFrom = aArguments.Field(1, "measure_from", run.mMeasureFrom);
  // Requests that begin in the last 3 s may not have ended when the run ends.
  run.mMeasureUntil = aArguments.Field(1, "measure_until", run.mDuration - 3);
  run.mOverloadFrom = aArguments.Field(1, "overload_from", run.mOverloadFrom);
  run.mOverloadUntil = aArguments.Field(1, "overload_until", run.mOverloadUntil);
  const bool overload = run.mOverloadUntil > 0;
  if (run.mMeasureUntil <= run.mMeasureFrom || run.mMeasureUntil > run.mDuration ||
      (overload &&
       (run.mOverloadFrom <= run.mMeasureFrom || run.mOverloadUntil <= run.mOverloadFrom))) {
    throw std::runtime_error("the times are not in order");
  }
  aScript.mHasRun = true;
}

constexpr std::array<std::string_view, 3> kAtLeast = { "goodput", "served", "floor" };
constexpr std::array<std::string_view, 3> kAtMost = { "wasted", "retries", "recovery" };

// expect { goodput = 0.95, wasted = 0.02 } or expect { "certify", served = 0.99, floor = 0.95 }
void Expect(Script& aScript, const Arguments& aArguments)
{
  aArguments.AllowOnly(1, { "goodput", "served", "floor", "wasted", "retries", "recovery" });
  std::string rank;
  lua_rawgeti(aArguments.State(), 1, 1);
  if (!lua_isnil(aArguments.State(), -1)) {
    RankOf(aScript, aArguments, -1);
    rank = aArguments.String(-1, "the rank");
  }
  lua_pop(aArguments.State(), 1);
  const auto add = [&](std::string_view aMetric) {
    const double bound = aArguments.Field(1, aMetric.data(), -1);
    const bool ofRank = aMetric == "served" || aMetric == "floor";
    if (bound >= 0 && ofRank == rank.empty()) {
      throw std::runtime_error(std::string(aMetric) +
                               (ofRank ? " needs a rank" : " takes no rank"));
    }
    if (bound >= 0) {
      aScript.mExpectationSpecs.push_back({ rank, std::string(aMetric), bound });
    }
  };
  for (const auto metric : kAtLeast) {
    add(metric);
  }
  for (const auto metric : kAtMost) {
    add(metric);
  }
}

double Measure(const ExperimentResult& aResult, const ExpectationSpec& aSpec)
{
  for (const RankResult& rank : aResult.mRanks) {
    if (rank.mName == aSpec.mRank) {
      return aSpec.mMetric == "floor" ? rank.mFloorKept
                                      : static_cast<double>(rank.mGoodput) /
                                          std::max(1.0, static_cast<double>(rank.mOffered));
    }
  }
  return aSpec.mMetric == "goodput"   ? aResult.mGoodputShare
         : aSpec.mMetric == "wasted"  ? aResult.mWasted
         : aSpec.mMetric == "retries" ? aResult.mRetries
                                      : aResult.mRecovery;
}

Expectation Evaluate(const ExperimentResult& aResult, const ExpectationSpec& aSpec)
{
  const bool atLeast = std::ranges::find(kAtLeast, aSpec.mMetric) != kAtLeast.end();
  Expectation expectation;
  expectation.mText = (aSpec.mRank.empty() ? "" : aSpec.mRank + " ") + aSpec.mMetric +
                      (atLeast ? " at least" : " at most");
  expectation.mBound = aSpec.mBound;
  expectation.mMeasured = Measure(aResult, aSpec);
  expectation.mMet =
    atLeast ? expectation.mMeasured >= aSpec.mBound : expectation.mMeasured <= aSpec.mBound;
  return expectation;
}

using ScenarioFunction = void (*)(Script&, const Arguments&);

template <ScenarioFunction aFunction>
int Invoke(lua_State* aState)
{
  bool failed = false;
  try {
    Script& script = **static_cast<Script**>(lua_getextraspace(aState));
    aFunction(script, Arguments(aState));
  } catch (const std::exception& error) {
    // Level 1 is the scenario line that called the function.
    luaL_where(aState, 1);
    lua_pushstring(aState, error.what());
    lua_concat(aState, 2);
    failed = true;
  }
  return failed ? lua_error(aState) : 0;
}

constexpr std::array<luaL_Reg, 13> kFunctions = { {
  { "rank", Invoke<Rank> },
  { "service", Invoke<Service> },
  { "serve", Invoke<Serve> },
  { "call", Invoke<Call> },
  { "link", Invoke<Link> },
  { "demand", Invoke<Demand> },
  { "slow", Invoke<Slow> },
  { "kill", Invoke<Kill> },
  { "freeze", Invoke<Freeze> },
  { "cut", Invoke<Cut> },
  { "at", Invoke<At> },
  { "run", Invoke<Run> },
  { "expect", Invoke<Expect> },
} };

} // namespace

Result<ExperimentResult> RunScenario(const std::string& aText, const std::string& aName,
                                     const ExperimentOptions& aOptions)
{
  Script script(aOptions);
  const std::unique_ptr<lua_State, LuaCloser> owner(luaL_newstate());
  lua_State* const state = owner.get();
  *static_cast<Script**>(lua_getextraspace(state)) = &script;
  luaL_requiref(state, "_G", luaopen_base, 1);
  lua_pop(state, 1);
  for (const luaL_Reg& function : kFunctions) {
    lua_register(state, function.name, function.func);
  }
  const std::string chunk = "@" + aName;
  if (luaL_loadbuffer(state, aText.data(), aText.size(), chunk.c_str()) != LUA_OK ||
      lua_pcall(state, 0, 0, 0) != LUA_OK) {
    return Failure{ ExperimentError::Scenario, lua_tostring(state, -1) };
  }
  if (!script.mHasRun || script.mSimulation.RankCount() == 0 ||
      script.mSimulation.ServiceCount() == 0) {
    return Failure{ ExperimentError::Scenario, aName + ": rank, service and run are required" };
  }
  for (size_t i = 0; i < script.mSimulation.ServiceCount(); ++i) {
    if (script.mSimulation.InstanceCount(i) == 0) {
      return Failure{ ExperimentError::Scenario, aName + ": a service has no upstreams" };
    }
  }
  ExperimentResult result = script.mSimulation.Run(script.mRun);
  result.mScenario = aName;
  for (const ExpectationSpec& spec : script.mExpectationSpecs) {
    result.mExpectations.push_back(Evaluate(result, spec));
  }
  return result;
}

Result<ExperimentResult> RunScenarioFile(const std::string& aPath,
                                         const ExperimentOptions& aOptions)
{
  std::ifstream file(aPath);
  std::ostringstream text;
  if (!file || !(text << file.rdbuf())) {
    return Failure{ ExperimentError::Scenario, aPath + ": cannot be read" };
  }
  const size_t slash = aPath.find_last_of('/');
  std::string name = slash == std::string::npos ? aPath : aPath.substr(slash + 1);
  if (name.ends_with(".lua")) {
    name.resize(name.size() - 4);
  }
  return RunScenario(text.str(), name, aOptions);
}

} // namespace balsammount
