#include "json_tree.h"

#include <nlohmann/json.hpp>

#include <algorithm>
#include <unordered_set>

namespace balsammount::detail {

namespace {

// Finds the position of the token of each SAX event. Events arrive in the order of the text but
// have no position, and the lexer reads one character ahead after numbers, so the number of
// characters it has consumed does not give the start of a token.
class TokenCursor
{
public:
  explicit TokenCursor(std::string_view aText)
    : mText(aText)
  {
    if (mText.starts_with("\xEF\xBB\xBF")) {
      mBomBytes = 3;
      mText.remove_prefix(mBomBytes);
    }
  }

  // Skips separators and comments and returns the position of the next token.
  Position SkipToToken()
  {
    while (mOffset < mText.size()) {
      if (mText.substr(mOffset, 2) == "//") {
        SkipTo(mText.find('\n', mOffset));
      } else if (mText.substr(mOffset, 2) == "/*") {
        const size_t end = mText.find("*/", mOffset + 2);
        SkipTo(end == std::string_view::npos ? end : end + 2);
      } else if (std::string_view(" \t\r\n,:").find(mText[mOffset]) != std::string_view::npos) {
        Advance();
      } else {
        break;
      }
    }
    return mPosition;
  }

  void SkipBracket() { Advance(); }

  void SkipString()
  {
    Advance();
    while (mOffset < mText.size() && mText[mOffset] != '"') {
      if (mText[mOffset] == '\\') {
        Advance();
      }
      Advance();
    }
    Advance();
  }

  void SkipWord()
  {
    const size_t end = mText.find_first_of(" \t\r\n,:]}/", mOffset);
    SkipTo(end);
  }

  // Returns the position of a byte offset in the text, or of the end of the text if it is beyond.
  Position PositionAt(size_t aOffset) const
  {
    TokenCursor cursor(mText);
    cursor.SkipTo(aOffset - std::min(aOffset, mBomBytes));
    return cursor.mPosition;
  }

private:
  void SkipTo(size_t aOffset)
  {
    const size_t end = std::min(aOffset, mText.size());
    while (mOffset < end) {
      Advance();
    }
  }

  void Advance()
  {
    if (mOffset >= mText.size()) {
      return;
    }
    const auto byte = static_cast<unsigned char>(mText[mOffset++]);
    if (byte == '\n') {
      ++mPosition.mLine;
      mPosition.mColumn = 1;
    } else if (mOffset >= mText.size() ||
               (static_cast<unsigned char>(mText[mOffset]) & 0xC0U) != 0x80U) {
      // The last byte of a UTF-8 sequence advances the column.
      ++mPosition.mColumn;
    }
  }

  std::string_view mText; // without the byte order mark
  size_t mBomBytes = 0;
  size_t mOffset = 0;
  Position mPosition{ 1, 1 };
};

// Returns the library's message without its error number and position.
std::string ErrorText(std::string_view aWhat)
{
  for (const std::string_view prefix : { "syntax error ", "] " }) {
    if (const size_t position = aWhat.find(prefix); position != std::string_view::npos) {
      aWhat.remove_prefix(prefix == "] " ? position + prefix.size() : position);
      break;
    }
  }
  constexpr size_t kMaxLength = 200;
  return nlohmann::json(std::string(aWhat.substr(0, kMaxLength)))
    .dump(-1, ' ', true, nlohmann::json::error_handler_t::replace);
}

class TreeBuilder final : public nlohmann::json_sax<nlohmann::json>
{
public:
  explicit TreeBuilder(std::string_view aText)
    : mCursor(aText)
  {
  }

  bool null() override { return AddWord({ .mKind = JsonKind::Null }); }
  bool boolean(bool aValue) override
  {
    return AddWord({ .mKind = JsonKind::Boolean, .mBoolean = aValue });
  }
  bool number_integer(number_integer_t aValue) override
  {
    return AddNumber(static_cast<double>(aValue), true);
  }
  bool number_unsigned(number_unsigned_t aValue) override
  {
    return AddNumber(static_cast<double>(aValue), true);
  }
  bool number_float(number_float_t aValue, const string_t& /*aText*/) override
  {
    return AddNumber(aValue, false);
  }
  bool string(string_t& aValue) override
  {
    const Position position = mCursor.SkipToToken();
    mCursor.SkipString();
    return Add(
             { .mKind = JsonKind::String, .mPosition = position, .mString = std::move(aValue) }) !=
           nullptr;
  }
  bool binary(binary_t& /*aValue*/) override { return false; }

  bool start_object(size_t /*aSize*/) override { return OpenContainer(JsonKind::Object); }
  bool end_object() override { return CloseContainer(); }
  bool start_array(size_t /*aSize*/) override { return OpenContainer(JsonKind::Array); }
  bool end_array() override { return CloseContainer(); }

  bool key(string_t& aName) override
  {
    const Position position = mCursor.SkipToToken();
    mCursor.SkipString();
    Frame& frame = mStack.back();
    if (!frame.mNames.insert(aName).second) {
      mResult.mErrors.push_back(
        { JsonErrorKind::DuplicateKey, position, "duplicate key " + Quoted(aName) });
    }
    mName = std::move(aName);
    mNamePosition = position;
    return true;
  }

  bool parse_error(size_t aOffset, const std::string& /*aToken*/,
                   const nlohmann::json::exception& aError) override
  {
    return Fail(JsonErrorKind::Syntax, mCursor.PositionAt(aOffset == 0 ? 0 : aOffset - 1),
                "not valid JSON: " + ErrorText(aError.what()));
  }

  JsonParseResult Take() { return std::move(mResult); }

private:
  struct Frame
  {
    JsonNode* mNode = nullptr;
    std::unordered_set<std::string> mNames;
  };

  bool Fail(JsonErrorKind aErrorKind, Position aPosition, std::string aMessage)
  {
    mStack.clear();
    mResult.mRoot.reset();
    mResult.mErrors.push_back({ aErrorKind, aPosition, std::move(aMessage) });
    return false;
  }

  bool AddWord(JsonNode aNode)
  {
    aNode.mPosition = mCursor.SkipToToken();
    mCursor.SkipWord();
    return Add(std::move(aNode)) != nullptr;
  }

  bool AddNumber(double aValue, bool aIsInteger)
  {
    return AddWord({ .mKind = JsonKind::Number, .mIsInteger = aIsInteger, .mNumber = aValue });
  }

  // Returns the stored node. A container does not move while one of its values is open.
  JsonNode* Add(JsonNode aNode)
  {
    if (++mCount > kMaxJsonValues) {
      Fail(JsonErrorKind::TooManyValues, aNode.mPosition,
           "expected at most " + std::to_string(kMaxJsonValues) + " values");
      return nullptr;
    }
    if (mStack.empty()) {
      return &mResult.mRoot.emplace(std::move(aNode));
    }
    JsonNode& parent = *mStack.back().mNode;
    if (parent.mKind == JsonKind::Object) {
      aNode.mName = std::move(mName);
      aNode.mNamePosition = mNamePosition;
    }
    return &parent.mItems.emplace_back(std::move(aNode));
  }

  bool OpenContainer(JsonKind aKind)
  {
    const Position position = mCursor.SkipToToken();
    mCursor.SkipBracket();
    if (mStack.size() >= kMaxJsonDepth) {
      return Fail(JsonErrorKind::TooDeep, position,
                  "expected at most " + std::to_string(kMaxJsonDepth) + " nested levels");
    }
    JsonNode* node = Add({ .mKind = aKind, .mPosition = position });
    if (!node) {
      return false;
    }
    mStack.push_back({ node, {} });
    return true;
  }

  bool CloseContainer()
  {
    mCursor.SkipToToken();
    mCursor.SkipBracket();
    mStack.pop_back();
    return true;
  }

  TokenCursor mCursor;
  std::vector<Frame> mStack;
  std::string mName; // of the member whose value follows
  Position mNamePosition;
  JsonParseResult mResult;
  size_t mCount = 0;
};

} // namespace

const JsonNode* JsonNode::Find(std::string_view aName) const
{
  const auto found = std::ranges::find(mItems, aName, &JsonNode::mName);
  return found == mItems.end() ? nullptr : &*found;
}

JsonParseResult ParseJson(std::string_view aText, JsonComments aComments)
{
  TreeBuilder builder(aText);
  nlohmann::json::sax_parse(aText.begin(), aText.end(), &builder,
                            nlohmann::json::input_format_t::json, true,
                            aComments == JsonComments::Ignore);
  return builder.Take();
}

std::string Quoted(std::string_view aName)
{
  constexpr size_t kMaxLength = 64;
  std::string name(aName.substr(0, kMaxLength));
  if (aName.size() > kMaxLength) {
    name += "...";
  }
  return nlohmann::json(name).dump(-1, ' ', true, nlohmann::json::error_handler_t::replace);
}

} // namespace balsammount::detail
