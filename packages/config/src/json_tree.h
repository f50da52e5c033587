// JSON values with the place of every key and value in the text.
#pragma once

#include <cstddef>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace balsammount::detail {

// Counts from 1; columns are characters, not bytes.
struct Position
{
  size_t mLine = 0;
  size_t mColumn = 0;
};

enum class JsonKind
{
  Null,
  Boolean,
  Number,
  String,
  Array,
  Object,
};

struct JsonNode
{
  JsonKind mKind = JsonKind::Null;
  Position mPosition{};
  bool mBoolean = false;
  bool mIsInteger = false;
  double mNumber = 0;
  std::string mString{};
  std::string mName{}; // as a member of an object
  Position mNamePosition{};
  std::vector<JsonNode> mItems{}; // of an array, or the members of an object

  // The first member of that name, or null.
  const JsonNode* Find(std::string_view aName) const;
};

enum class JsonErrorKind
{
  Syntax,
  DuplicateKey,
  TooDeep,
  TooManyValues,
};

struct JsonError
{
  JsonErrorKind mErrorKind = JsonErrorKind::Syntax;
  Position mPosition;
  std::string mMessage;
};

struct JsonParseResult
{
  std::optional<JsonNode> mRoot; // absent after any problem but duplicate keys
  std::vector<JsonError> mErrors;
};

// Configuration needs 4 levels. The bound keeps recursion over the tree shallow.
inline constexpr size_t kMaxJsonDepth = 16;
// 64 Ki nodes of under 200 bytes each keep the tree of a hostile value under 13 MB.
inline constexpr size_t kMaxJsonValues = 65'536;

enum class JsonComments
{
  Reject,
  Ignore,
};

JsonParseResult ParseJson(std::string_view aText, JsonComments aComments);

// The name in quotes, with control characters escaped and its length bounded, for messages.
std::string Quoted(std::string_view aName);

} // namespace balsammount::detail
