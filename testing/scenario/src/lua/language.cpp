#include "language.h"

#include "values.h"
#include "verbs.h"

#include <memory>

namespace balsammount {

using Json = nlohmann::json;

namespace {

Cluster& ClusterOf(lua_State* aLua)
{
  return **static_cast<Cluster**>(lua_getextraspace(aLua));
}

// Returns file and line of each Lua stack frame, innermost first.
std::string Traceback(lua_State* aLua)
{
  std::string traceback;
  lua_Debug frame{};
  for (int level = 1; lua_getstack(aLua, level, &frame) != 0; ++level) {
    lua_getinfo(aLua, "Sl", &frame);
    if (frame.currentline > 0) {
      traceback += std::string(static_cast<const char*>(frame.short_src)) + ":" +
                   std::to_string(frame.currentline) + ": ";
    }
  }
  return traceback;
}

// Runs C++ code called from Lua and turns exceptions into Lua errors. lua_error() leaves by
// longjmp, which skips destructors, so no object may be alive at that point.
template <class Run>
int CallProtected(lua_State* aLua, const char* aVerb, Run aRun)
{
  int count = -1;
  try {
    count = aRun();
  } catch (const std::exception& error) {
    lua_settop(aLua, 0);
    lua_pushstring(aLua, (Traceback(aLua) + aVerb + ": " + error.what()).c_str());
  }
  return count < 0 ? lua_error(aLua) : count;
}

int RunVerb(lua_State* aLua)
{
  const auto* verb = static_cast<const Verb*>(lua_touserdata(aLua, lua_upvalueindex(1)));
  return CallProtected(aLua, verb->mName, [&] {
    Json arguments = Json::array();
    for (int i = 1; i <= lua_gettop(aLua); ++i) {
      arguments.push_back(ToJson(aLua, i));
    }
    Push(aLua, verb->mFunction(ClusterOf(aLua), arguments));
    return 1;
  });
}

// expect(condition, text)
int Expect(lua_State* aLua)
{
  return CallProtected(aLua, "expectation failed", [&] {
    if (lua_toboolean(aLua, 1) == 0) {
      throw std::runtime_error(luaL_tolstring(aLua, 2, nullptr));
    }
    return 0;
  });
}

// wait{"text", at_most = seconds, when = function}. An error in the condition ends the
// scenario.
int Wait(lua_State* aLua)
{
  constexpr int kConditionIndex = 2;
  lua_settop(aLua, 1);
  lua_getfield(aLua, 1, "when");
  lua_getfield(aLua, 1, "at_most");
  lua_geti(aLua, 1, 1);
  const double timeoutSeconds = luaL_checknumber(aLua, 3);
  luaL_checktype(aLua, kConditionIndex, LUA_TFUNCTION);
  luaL_checkstring(aLua, 4);
  bool failed = false;
  const int count = CallProtected(aLua, "wait", [&] {
    const auto timeout = std::chrono::duration_cast<std::chrono::milliseconds>(
      std::chrono::duration<double>(timeoutSeconds));
    const bool conditionHolds = ClusterOf(aLua).WaitFor(timeout, [&] {
      lua_pushvalue(aLua, kConditionIndex);
      failed = lua_pcall(aLua, 0, 1, 0) != LUA_OK;
      const bool holds = failed || lua_toboolean(aLua, -1) != 0;
      lua_pop(aLua, failed ? 0 : 1);
      return holds;
    });
    if (!conditionHolds) {
      throw std::runtime_error("condition not met after " + std::to_string(timeoutSeconds) +
                               " s: " + lua_tostring(aLua, 4));
    }
    return 0;
  });
  return failed ? lua_error(aLua) : count;
}

void RegisterGlobals(lua_State* aLua, uint64_t aSeed)
{
  for (const Verb& verb : Verbs()) {
    lua_pushlightuserdata(aLua, const_cast<Verb*>(&verb));
    lua_pushcclosure(aLua, RunVerb, 1);
    lua_setglobal(aLua, verb.mName);
  }
  lua_register(aLua, "expect", Expect);
  lua_register(aLua, "wait", Wait);
  lua_pushinteger(aLua, static_cast<lua_Integer>(aSeed));
  lua_setglobal(aLua, "seed");
}

} // namespace

std::string RunScenario(Cluster& aCluster, const std::string& aFile, uint64_t aSeed)
{
  const std::unique_ptr<lua_State, decltype(&lua_close)> lua(luaL_newstate(), lua_close);
  luaL_openlibs(lua.get());
  *static_cast<Cluster**>(lua_getextraspace(lua.get())) = &aCluster;
  RegisterGlobals(lua.get(), aSeed);
  const std::string prelude = std::string("math.randomseed(seed)\n") + "package.path = \"" +
                              BM_SOURCE_DIR + "/testing/scenario/scenarios/lib/?.lua\"\n";
  if (luaL_dostring(lua.get(), prelude.c_str()) != LUA_OK ||
      luaL_dofile(lua.get(), aFile.c_str()) != LUA_OK) {
    return luaL_tolstring(lua.get(), -1, nullptr);
  }
  return {};
}

} // namespace balsammount
