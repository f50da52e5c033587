#include "balsammount/config.h"

#include "settings.h"

#include <algorithm>
#include <array>

namespace balsammount {

namespace {

template <class T>
const T* FindByName(const std::vector<T>& aEntries, std::string_view aName)
{
  const auto found = std::ranges::find(aEntries, aName, &T::mName);
  return found == aEntries.end() ? nullptr : &*found;
}

bool MatchesBefore(const RankRule& aLeft, const RankRule& aRight)
{
  const auto key = [](const RankRule& aRule) {
    return std::make_tuple(-static_cast<ptrdiff_t>(aRule.mPathPrefix.size()), aRule.mMethod == "*",
                           std::string_view(aRule.mName));
  };
  return key(aLeft) < key(aRight);
}

std::string LowerCase(std::string_view aText)
{
  std::string lower(aText);
  std::ranges::transform(lower, lower.begin(), [](char aByte) {
    return aByte >= 'A' && aByte <= 'Z' ? static_cast<char>(aByte - 'A' + 'a') : aByte;
  });
  return lower;
}

int HexDigit(char aByte)
{
  if (aByte >= '0' && aByte <= '9') {
    return aByte - '0';
  }
  const char lower = static_cast<char>(aByte | 0x20);
  return lower >= 'a' && lower <= 'f' ? lower - 'a' + 10 : -1;
}

// Decoded beginning of a path, in a fixed buffer so that classification does not allocate. Bytes
// beyond the longest possible prefix of a rule do not affect matching, except for one that shows
// the segment boundary.
class DecodedPath
{
public:
  // Returns false if the path is malformed or ambiguous.
  bool Decode(std::string_view aPath)
  {
    aPath = aPath.substr(0, aPath.find_first_of("?#"));
    if (!aPath.starts_with('/')) {
      return false;
    }
    size_t segmentBytes = 0; // in the current segment
    bool onlyDots = true;    // the current segment has no other bytes than '.'
    bool inParameters = false;
    for (size_t i = 0; i < aPath.size(); ++i) {
      char byte = aPath[i];
      if (byte == '%') {
        const int high = i + 1 < aPath.size() ? HexDigit(aPath[i + 1]) : -1;
        const int low = i + 2 < aPath.size() ? HexDigit(aPath[i + 2]) : -1;
        if (high < 0 || low < 0) {
          return false;
        }
        byte = static_cast<char>(high * 16 + low);
        i += 2;
      }
      if (byte == '\0') {
        return false;
      }
      if (byte == '/') {
        inParameters = false;
      } else if (inParameters || byte == ';') {
        // Some servers drop segment parameters, so "/a;x" must match the same rules as "/a".
        inParameters = true;
        continue;
      }
      if (byte != '/') {
        ++segmentBytes;
        onlyDots = onlyDots && byte == '.';
      } else if (mLength > 0) {
        if (segmentBytes == 0 || (onlyDots && segmentBytes <= 2)) {
          return false;
        }
        segmentBytes = 0;
        onlyDots = true;
      }
      if (mLength < mBytes.size()) {
        mBytes[mLength++] = byte;
      }
    }
    return segmentBytes == 0 || !onlyDots || segmentBytes > 2;
  }

  std::string_view Text() const { return { mBytes.data(), mLength }; }

private:
  std::array<char, detail::kMaxPathBytes + 1> mBytes;
  size_t mLength = 0;
};

template <class T>
void AppendSettings(const std::string& aPrefix, std::span<const detail::Setting<T>> aSettings,
                    const T& aEntry, std::map<std::string, std::string>& aFlat)
{
  detail::ForEachSetting(aSettings, aEntry, [&](const auto& aInfo, const auto& aValue) {
    aFlat[aPrefix + "." + std::string(aInfo.mName)] = detail::ToJson(aValue).dump();
  });
}

} // namespace

std::error_code make_error_code(ConfigError aError)
{
  static constexpr std::array<const char*, 6> kMessages = {
    "success",         "no service for the path", "malformed path",
    "not a directory", "cannot be read",          "configuration is too large"
  };
  static const EnumCategory sCategory("balsammount.config", kMessages);
  return { static_cast<int>(aError), sCategory };
}

Config::Config(ConfigValues aValues)
  : mValues(std::move(aValues))
{
  std::ranges::sort(mValues.mServices, {}, &ServicePolicy::mName);
  std::ranges::sort(mValues.mRanks, std::greater<>(), &RankPolicy::mWorth);
  std::ranges::sort(mValues.mRules, MatchesBefore);
  mRulesByService.resize(mValues.mServices.size());
  for (size_t i = 0; i < mValues.mServices.size(); ++i) {
    for (const std::string& path : mValues.mServices[i].mPaths) {
      mServiceByPath.emplace(path, i);
    }
  }
  std::ranges::sort(mValues.mRoutes, {}, &RoutePolicy::mName);
  for (size_t i = 0; i < mValues.mRoutes.size(); ++i) {
    mRoutesByHost[LowerCase(mValues.mRoutes[i].mHost)].push_back(i);
  }
  for (auto& [host, routes] : mRoutesByHost) {
    std::ranges::sort(routes, std::greater<>(),
                      [this](size_t aRoute) { return mValues.mRoutes[aRoute].mPrefix.size(); });
  }
  for (size_t i = 0; i < mValues.mRules.size(); ++i) {
    const ServicePolicy* service = FindService(mValues.mRules[i].mService);
    const RankPolicy* rank = FindRank(mValues.mRules[i].mRank);
    if (service && rank) {
      mRulesByService[static_cast<size_t>(service - mValues.mServices.data())].push_back(
        { i, static_cast<size_t>(rank - mValues.mRanks.data()) });
    }
  }
}

const RoutePolicy* Config::FindRoute(std::string_view aHost, std::string_view aPath) const
{
  const size_t colon = aHost.rfind(':');
  if (colon != std::string_view::npos && aHost.find(']', colon) == std::string_view::npos) {
    aHost = aHost.substr(0, colon);
  }
  const auto found = mRoutesByHost.find(LowerCase(aHost));
  if (found == mRoutesByHost.end()) {
    return nullptr;
  }
  const std::string_view path = aPath.substr(0, aPath.find_first_of("?#"));
  for (const size_t route : found->second) {
    if (path.starts_with(mValues.mRoutes[route].mPrefix)) {
      return &mValues.mRoutes[route];
    }
  }
  return nullptr;
}

const ServicePolicy* Config::FindService(std::string_view aName) const
{
  return FindByName(mValues.mServices, aName);
}

const RankPolicy* Config::FindRank(std::string_view aName) const
{
  return FindByName(mValues.mRanks, aName);
}

const ServicePolicy* Config::ServiceForPath(std::string_view aDecodedPath) const
{
  // One lookup per segment, from the whole path to the root.
  std::string_view prefix = aDecodedPath;
  while (!prefix.empty()) {
    if (const auto found = mServiceByPath.find(prefix); found != mServiceByPath.end()) {
      return &mValues.mServices[found->second];
    }
    const size_t slash = prefix.rfind('/');
    if (slash == std::string_view::npos || prefix.size() == 1) {
      break;
    }
    prefix = prefix.substr(0, slash == 0 ? 1 : slash);
  }
  return nullptr;
}

const std::vector<Config::RuleIndex>& Config::RulesOf(const ServicePolicy& aService) const
{
  return mRulesByService[static_cast<size_t>(&aService - mValues.mServices.data())];
}

bool MatchesPrefix(std::string_view aPrefix, std::string_view aPath)
{
  return aPath.starts_with(aPrefix) &&
         (aPrefix.ends_with('/') || aPath.size() == aPrefix.size() || aPath[aPrefix.size()] == '/');
}

Result<Classification> Classify(const Config& aConfig, std::string_view aMethod,
                                std::string_view aPath)
{
  DecodedPath path;
  if (!path.Decode(aPath)) {
    return Failure{ ConfigError::MalformedPath, std::string(aPath) };
  }
  const ServicePolicy* service = aConfig.ServiceForPath(path.Text());
  if (!service || aConfig.Ranks().empty()) {
    return Failure{ ConfigError::UnknownService, std::string(aPath) };
  }
  for (const Config::RuleIndex& index : aConfig.RulesOf(*service)) {
    const RankRule& rule = aConfig.Rules()[index.mRule];
    if ((rule.mMethod == "*" || rule.mMethod == aMethod) &&
        MatchesPrefix(rule.mPathPrefix, path.Text())) {
      return Classification{ service, &aConfig.Ranks()[index.mRank], index.mRank, &rule,
                             rule.mIdempotent };
    }
  }
  return Classification{ service, &aConfig.Ranks().back(), aConfig.Ranks().size() - 1, nullptr,
                         false };
}

std::map<std::string, std::string> Flatten(const Config& aConfig)
{
  std::map<std::string, std::string> flat;
  for (const ServicePolicy& service : aConfig.Services()) {
    AppendSettings<ServicePolicy>("services." + service.mName, detail::kServiceSettings, service,
                                  flat);
    AppendSettings<LimitPolicy>("limits." + service.mName, detail::kLimitSettings, service.mLimits,
                                flat);
    AppendSettings<RetryPolicy>("retries." + service.mName, detail::kRetrySettings,
                                service.mRetries, flat);
  }
  for (const RankPolicy& rank : aConfig.Ranks()) {
    AppendSettings<RankPolicy>("ranks." + rank.mName, detail::kRankSettings, rank, flat);
  }
  for (const RoutePolicy& route : aConfig.Routes()) {
    AppendSettings<RoutePolicy>("routes." + route.mName, detail::kRouteSettings, route, flat);
  }
  for (const RankRule& rule : aConfig.Rules()) {
    AppendSettings<RankRule>("rules." + rule.mName, detail::kRuleSettings, rule, flat);
  }
  return flat;
}

} // namespace balsammount
