#include "balsammount/load_generator.h"

#include <algorithm>
#include <array>
#include <charconv>
#include <sstream>
#include <stdexcept>

namespace balsammount {

namespace {

template <class T>
T ParseNumber(const std::string& aText)
{
  T value{};
  const char* end = aText.data() + aText.size();
  const auto [rest, error] = std::from_chars(aText.data(), end, value);
  if (error != std::errc() || rest != end || value < T{}) {
    throw std::invalid_argument("invalid number: " + aText);
  }
  return value;
}

bool ParseYesNo(const std::string& aText)
{
  if (aText != "yes" && aText != "no") {
    throw std::invalid_argument("neither yes nor no: " + aText);
  }
  return aText == "yes";
}

double ParseRate(const std::string& aText)
{
  const auto rate = ParseNumber<double>(aText);
  if (rate <= 0 || rate > 1e6) {
    throw std::invalid_argument("rate must be above 0 and at most 1000000 per second: " + aText);
  }
  return rate;
}

std::chrono::milliseconds ParseMilliseconds(const std::string& aText)
{
  return std::chrono::milliseconds(ParseNumber<int32_t>(aText));
}

using ParseFunction = void (*)(Flow&, const std::string&);

struct Setting
{
  std::string_view mName;
  ParseFunction mParse;
};

constexpr std::array<Setting, 12> kSettings = { {
  { "name", [](Flow& aFlow, const std::string& aText) { aFlow.mName = aText; } },
  { "path", [](Flow& aFlow, const std::string& aText) { aFlow.mPath = aText; } },
  { "method", [](Flow& aFlow, const std::string& aText) { aFlow.mMethod = aText; } },
  { "rate", [](Flow& aFlow, const std::string& aText) { aFlow.mRate = ParseRate(aText); } },
  { "callers",
    [](Flow& aFlow, const std::string& aText) { aFlow.mCallers = ParseNumber<size_t>(aText); } },
  { "deadline_ms",
    [](Flow& aFlow, const std::string& aText) { aFlow.mDeadline = ParseMilliseconds(aText); } },
  { "retries",
    [](Flow& aFlow, const std::string& aText) { aFlow.mRetries = ParseNumber<size_t>(aText); } },
  { "backoff_ms",
    [](Flow& aFlow, const std::string& aText) { aFlow.mBackoff = ParseMilliseconds(aText); } },
  { "key", [](Flow& aFlow, const std::string& aText) { aFlow.mKey = ParseYesNo(aText); } },
  { "body_bytes",
    [](Flow& aFlow, const std::string& aText) { aFlow.mBodyBytes = ParseNumber<size_t>(aText); } },
  { "from_ms",
    [](Flow& aFlow, const std::string& aText) { aFlow.mFrom = ParseMilliseconds(aText); } },
  { "until_ms",
    [](Flow& aFlow, const std::string& aText) { aFlow.mUntil = ParseMilliseconds(aText); } },
} };

} // namespace

Flow ParseFlow(const std::string& aText)
{
  Flow flow;
  std::istringstream stream(aText);
  for (std::string item; std::getline(stream, item, ',');) {
    const size_t equals = item.find('=');
    const std::string name = item.substr(0, equals);
    const auto* setting =
      std::find_if(kSettings.begin(), kSettings.end(),
                   [&](const Setting& aSetting) { return aSetting.mName == name; });
    if (equals == std::string::npos || setting == kSettings.end()) {
      throw std::invalid_argument("unknown flow setting: " + item);
    }
    try {
      setting->mParse(flow, item.substr(equals + 1));
    } catch (const std::invalid_argument& error) {
      throw std::invalid_argument(name + ": " + error.what());
    }
  }
  return flow;
}

} // namespace balsammount
