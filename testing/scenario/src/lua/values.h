// Converts between Lua values and JSON.
#pragma once

#include <lua.hpp>
#include <nlohmann/json.hpp>

namespace balsammount {

// Tables with the keys 1 to n become arrays, others objects; an empty table is an empty array.
// Throws std::runtime_error for unsupported types such as functions.
nlohmann::json ToJson(lua_State* aLua, int aIndex);
// Pushes the value on the Lua stack; null becomes nil.
void Push(lua_State* aLua, const nlohmann::json& aValue);

} // namespace balsammount
