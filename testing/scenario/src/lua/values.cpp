#include "values.h"

namespace balsammount {

using Json = nlohmann::json;

namespace {

Json TableToJson(lua_State* aLua, int aIndex)
{
  Json array = Json::array();
  const auto length = static_cast<lua_Integer>(lua_rawlen(aLua, aIndex));
  for (lua_Integer i = 1; i <= length; ++i) {
    lua_rawgeti(aLua, aIndex, i);
    array.push_back(ToJson(aLua, -1));
    lua_pop(aLua, 1);
  }
  Json object = Json::object();
  lua_pushnil(aLua);
  while (lua_next(aLua, aIndex) != 0) {
    if (lua_type(aLua, -2) == LUA_TSTRING) {
      object[lua_tostring(aLua, -2)] = ToJson(aLua, -1);
    }
    lua_pop(aLua, 1);
  }
  if (!array.empty() && !object.empty()) {
    throw std::runtime_error("a table has both list items and named fields");
  }
  return object.empty() ? array : object;
}

} // namespace

Json ToJson(lua_State* aLua, int aIndex)
{
  switch (lua_type(aLua, aIndex)) {
    case LUA_TNIL:
    case LUA_TNONE:
      return nullptr;
    case LUA_TBOOLEAN:
      return lua_toboolean(aLua, aIndex) != 0;
    case LUA_TNUMBER:
      if (lua_isinteger(aLua, aIndex) != 0) {
        return lua_tointeger(aLua, aIndex);
      }
      return lua_tonumber(aLua, aIndex);
    case LUA_TSTRING: {
      size_t size = 0;
      const char* text = lua_tolstring(aLua, aIndex, &size);
      return std::string(text, size);
    }
    case LUA_TTABLE:
      return TableToJson(aLua, lua_absindex(aLua, aIndex));
    default:
      throw std::runtime_error(std::string("unsupported type: ") + luaL_typename(aLua, aIndex));
  }
}

void Push(lua_State* aLua, const Json& aValue)
{
  luaL_checkstack(aLua, 4, "values are nested too deeply");
  if (aValue.is_boolean()) {
    lua_pushboolean(aLua, aValue.get<bool>() ? 1 : 0);
  } else if (aValue.is_number_integer()) {
    lua_pushinteger(aLua, aValue.get<lua_Integer>());
  } else if (aValue.is_number()) {
    lua_pushnumber(aLua, aValue.get<double>());
  } else if (aValue.is_string()) {
    const auto& text = aValue.get_ref<const std::string&>();
    lua_pushlstring(aLua, text.data(), text.size());
  } else if (aValue.is_array()) {
    lua_newtable(aLua);
    lua_Integer index = 0;
    for (const Json& item : aValue) {
      Push(aLua, item);
      lua_rawseti(aLua, -2, ++index);
    }
  } else if (aValue.is_object()) {
    lua_newtable(aLua);
    for (const auto& [name, value] : aValue.items()) {
      Push(aLua, value);
      lua_setfield(aLua, -2, name.c_str());
    }
  } else {
    lua_pushnil(aLua);
  }
}

} // namespace balsammount
