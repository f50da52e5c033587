// JSON values with the position of every key and value in the text.
#pragma once

#include <cstddef>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace balsammount::detail {

// Line and column start at 1; columns count characters, not bytes.
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
  std::string mName{}; // if it is a member of an object
  Position mNamePosition{};
  std::vector<JsonNode> mItems{}; // elements of an array or members of an object

  // Returns the first member of that name, or null.
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
  std::optional<JsonNode> mRoot; // absent after any error except duplicate keys
  std::vector<JsonError> mErrors;
};

// The configuration needs 4 levels. The bound limits recursion over the tree.
inline constexpr size_t kMaxJsonDepth = 16;
// 64 Ki nodes of less than 200 bytes each limit the tree of a malicious value to 13 MB.
inline constexpr size_t kMaxJsonValues = 65'536;

enum class JsonComments
{
  Reject,
  Ignore,
};

JsonParseResult ParseJson(std::string_view aText, JsonComments aComments);

// Quotes a name for messages, escapes control characters and truncates long names.
std::string Quoted(std::string_view aName);

} // namespace balsammount::detail
