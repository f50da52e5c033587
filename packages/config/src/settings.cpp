#include "settings.h"

#include <algorithm>
#include <charconv>
#include <cmath>

namespace balsammount::detail {

namespace {

bool IsAlphanumeric(char aByte)
{
  return (aByte >= 'a' && aByte <= 'z') || (aByte >= 'A' && aByte <= 'Z') ||
         (aByte >= '0' && aByte <= '9');
}

std::string ExpectedNumber(const SettingInfo& aInfo, bool aIsInteger)
{
  std::string text = aIsInteger ? "expected an integer from " : "expected a number from ";
  text += nlohmann::json(aInfo.mMin == std::floor(aInfo.mMin)
                           ? nlohmann::json(static_cast<int64_t>(aInfo.mMin))
                           : nlohmann::json(aInfo.mMin))
            .dump();
  text += " to " + nlohmann::json(static_cast<int64_t>(aInfo.mMax)).dump();
  if (!aInfo.mUnit.empty()) {
    text += " (" + std::string(aInfo.mUnit) + ")";
  }
  return text;
}

std::optional<std::string> ReadInteger(const JsonNode& aNode, const SettingInfo& aInfo,
                                       uint64_t& aValue)
{
  if (aNode.mKind != JsonKind::Number || !aNode.mIsInteger || aNode.mNumber < aInfo.mMin ||
      aNode.mNumber > aInfo.mMax) {
    return ExpectedNumber(aInfo, true);
  }
  aValue = static_cast<uint64_t>(aNode.mNumber);
  return std::nullopt;
}

// Parses "NAME" or "NAME=WEIGHT".
std::optional<RouteTarget> ParseTarget(std::string_view aText)
{
  constexpr uint32_t kMaxWeight = 10'000;
  const size_t equals = aText.find('=');
  RouteTarget target{ std::string(aText.substr(0, equals)), 1 };
  if (!IsName(target.mService)) {
    return std::nullopt;
  }
  if (equals != std::string_view::npos) {
    const std::string_view weight = aText.substr(equals + 1);
    const auto [end, error] =
      std::from_chars(weight.data(), weight.data() + weight.size(), target.mWeight);
    if (error != std::errc() || end != weight.data() + weight.size() ||
        target.mWeight > kMaxWeight) {
      return std::nullopt;
    }
  }
  return target;
}

std::optional<std::string> ReadText(const JsonNode& aNode, const SettingInfo& aInfo,
                                    std::string& aValue)
{
  if (aNode.mKind != JsonKind::String || !aInfo.mFormat->mMatches(aNode.mString)) {
    return "expected " + std::string(aInfo.mFormat->mDescription);
  }
  aValue = aNode.mString;
  return std::nullopt;
}

} // namespace

bool IsName(std::string_view aText)
{
  constexpr size_t kMaxLength = 63;
  return !aText.empty() && aText.size() <= kMaxLength && IsAlphanumeric(aText.front()) &&
         std::ranges::all_of(
           aText, [](char aByte) { return IsAlphanumeric(aByte) || aByte == '-' || aByte == '_'; });
}

bool IsPath(std::string_view aText)
{
  if (aText == "/") {
    return true;
  }
  if (!aText.starts_with('/') || aText.ends_with('/') || aText.size() > kMaxPathBytes) {
    return false;
  }
  const bool plain = std::ranges::all_of(aText, [](char aByte) {
    return aByte > ' ' && aByte < '\x7F' && aByte != '?' && aByte != '#' && aByte != '%' &&
           aByte != ';';
  });
  const std::string path = std::string(aText) + "/";
  return plain && path.find("//") == std::string::npos && path.find("/./") == std::string::npos &&
         path.find("/../") == std::string::npos;
}

bool IsMethod(std::string_view aText)
{
  constexpr size_t kMaxLength = 32;
  return aText == "*" || (!aText.empty() && aText.size() <= kMaxLength &&
                          std::ranges::all_of(aText, [](char aByte) {
                            return (aByte >= 'A' && aByte <= 'Z') || aByte == '-';
                          }));
}

bool IsHost(std::string_view aText)
{
  constexpr size_t kMaxLength = 253;
  return !aText.empty() && aText.size() <= kMaxLength && std::ranges::all_of(aText, [](char aByte) {
    return IsAlphanumeric(aByte) || aByte == '-' || aByte == '.' || aByte == '_';
  });
}

bool IsPrefix(std::string_view aText)
{
  return aText == "/" || (aText.ends_with('/') && IsPath(aText.substr(0, aText.size() - 1)));
}

bool IsTarget(std::string_view aText)
{
  return ParseTarget(aText).has_value();
}

std::optional<std::string> ReadValue(const JsonNode& aNode, const SettingInfo& aInfo,
                                     std::vector<RouteTarget>& aValue)
{
  std::vector<std::string> texts;
  if (auto error = ReadValue(aNode, aInfo, texts)) {
    return error;
  }
  aValue.clear();
  for (const std::string& text : texts) {
    aValue.push_back(*ParseTarget(text));
  }
  return std::nullopt;
}

std::optional<std::string> ReadValue(const JsonNode& aNode, const SettingInfo& aInfo,
                                     uint64_t& aValue)
{
  return ReadInteger(aNode, aInfo, aValue);
}

std::optional<std::string> ReadValue(const JsonNode& aNode, const SettingInfo& aInfo,
                                     uint32_t& aValue)
{
  uint64_t value = aValue;
  auto error = ReadInteger(aNode, aInfo, value);
  aValue = static_cast<uint32_t>(value);
  return error;
}

std::optional<std::string> ReadValue(const JsonNode& aNode, const SettingInfo& aInfo,
                                     std::chrono::milliseconds& aValue)
{
  auto value = static_cast<uint64_t>(aValue.count());
  auto error = ReadInteger(aNode, aInfo, value);
  aValue = std::chrono::milliseconds(value);
  return error;
}

std::optional<std::string> ReadValue(const JsonNode& aNode, const SettingInfo& aInfo,
                                     double& aValue)
{
  if (aNode.mKind != JsonKind::Number || aNode.mNumber < aInfo.mMin || aNode.mNumber > aInfo.mMax) {
    return ExpectedNumber(aInfo, false);
  }
  aValue = aNode.mNumber;
  return std::nullopt;
}

std::optional<std::string> ReadValue(const JsonNode& aNode, const SettingInfo& /*aInfo*/,
                                     bool& aValue)
{
  if (aNode.mKind != JsonKind::Boolean) {
    return "expected true or false";
  }
  aValue = aNode.mBoolean;
  return std::nullopt;
}

std::optional<std::string> ReadValue(const JsonNode& aNode, const SettingInfo& aInfo,
                                     std::string& aValue)
{
  return ReadText(aNode, aInfo, aValue);
}

std::optional<std::string> ReadValue(const JsonNode& aNode, const SettingInfo& aInfo,
                                     std::vector<std::string>& aValue)
{
  const auto count = static_cast<double>(aNode.mItems.size());
  if (aNode.mKind != JsonKind::Array || count < aInfo.mMin || count > aInfo.mMax) {
    return "expected an array of " + std::to_string(static_cast<int>(aInfo.mMin)) + " to " +
           std::to_string(static_cast<int>(aInfo.mMax)) + " " + std::string(aInfo.mUnit);
  }
  std::vector<std::string> values(aNode.mItems.size());
  for (size_t i = 0; i < values.size(); ++i) {
    if (auto error = ReadText(aNode.mItems[i], aInfo, values[i])) {
      return "item " + std::to_string(i) + ": " + *error;
    }
  }
  aValue = std::move(values);
  return std::nullopt;
}

} // namespace balsammount::detail
