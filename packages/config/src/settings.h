// Tables of settings with the name, member, range, unit and default of each. Parsing and printing
// use them.
#pragma once

#include "json_tree.h"

#include "balsammount/config.h"

#include <nlohmann/json.hpp>

#include <optional>
#include <span>
#include <variant>

namespace balsammount::detail {

struct Required
{};

// Predicate for a text value and the description of its format.
struct TextFormat
{
  bool (*mMatches)(std::string_view) = nullptr;
  std::string_view mDescription;
};

struct SettingInfo
{
  std::string_view mName;
  double mMin = 0;
  double mMax = 0;
  std::string_view mUnit;
  std::variant<Required, double, bool, std::string_view> mDefault;
  const TextFormat* mFormat = nullptr;
};

template <class T>
using Member = std::variant<uint32_t T::*, uint64_t T::*, double T::*, bool T::*, std::string T::*,
                            std::chrono::milliseconds T::*, std::vector<std::string> T::*,
                            std::vector<RouteTarget> T::*>;

template <class T>
struct Setting
{
  SettingInfo mInfo;
  Member<T> mMember;
};

bool IsName(std::string_view aText);
bool IsPath(std::string_view aText);
bool IsMethod(std::string_view aText);
bool IsHost(std::string_view aText);
bool IsPrefix(std::string_view aText);
bool IsTarget(std::string_view aText);

inline constexpr size_t kMaxPathBytes = 256;
inline constexpr TextFormat kNameFormat{
  IsName, "a name of 1 to 63 letters, digits, '-' and '_' that starts "
          "with a letter or digit"
};
inline constexpr TextFormat kPathFormat{
  IsPath, "a path that starts with '/', has no trailing '/', empty or dot segment, query, "
          "parameter or percent-encoding, and at most 256 bytes"
};
inline constexpr TextFormat kHostFormat{ IsHost, "a host name without a port, at most 253 bytes" };
inline constexpr TextFormat kPrefixFormat{
  IsPrefix, "a path prefix that starts and ends with '/', at most 256 bytes"
};
inline constexpr TextFormat kTargetFormat{
  IsTarget, "the name of a service, or NAME=WEIGHT with a weight from 0 to 10000"
};
inline constexpr TextFormat kMethodFormat{ IsMethod, "an upper-case HTTP method or \"*\"" };

// Durations are limited to one hour, because all of them concern single requests.
inline constexpr double kMaxMs = 3'600'000;
inline constexpr double kMaxCount = 100'000;
inline constexpr double kMaxBodyBytes = 8'388'608; // maximum of the transport
inline constexpr double kMaxPaths = 64;

inline constexpr Setting<ServicePolicy> kServiceSettings[] = {
  { { "paths", 1, kMaxPaths, "paths", Required{}, &kPathFormat }, &ServicePolicy::mPaths },
  { { "slots", 1, kMaxCount, "requests", Required{} }, &ServicePolicy::mSlots },
  { { "max_connections", 1, kMaxCount, "connections", Required{} },
    &ServicePolicy::mMaxConnections },
  { { "max_body_bytes", 0, kMaxBodyBytes, "bytes", 1'048'576.0 }, &ServicePolicy::mMaxBodyBytes },
  { { "default_deadline_ms", 1, kMaxMs, "ms", 10'000.0 }, &ServicePolicy::mDefaultDeadline },
};

inline constexpr Setting<RankPolicy> kRankSettings[] = {
  { { "target_ms", 1, kMaxMs, "ms", Required{} }, &RankPolicy::mTarget },
  { { "worth", 0, 1'000'000, "", Required{} }, &RankPolicy::mWorth },
  { { "floor", 0, 1, "share of slots", 0.0 }, &RankPolicy::mFloor },
};

inline constexpr Setting<RankRule> kRuleSettings[] = {
  { { "service", 0, 0, "", Required{}, &kNameFormat }, &RankRule::mService },
  { { "method", 0, 0, "", std::string_view("*"), &kMethodFormat }, &RankRule::mMethod },
  { { "path", 0, 0, "", std::string_view("/"), &kPathFormat }, &RankRule::mPathPrefix },
  { { "rank", 0, 0, "", Required{}, &kNameFormat }, &RankRule::mRank },
  { { "idempotent", 0, 0, "", false }, &RankRule::mIdempotent },
};

inline constexpr double kMaxTargets = 16;

inline constexpr Setting<RoutePolicy> kRouteSettings[] = {
  { { "host", 0, 0, "", Required{}, &kHostFormat }, &RoutePolicy::mHost },
  { { "prefix", 0, 0, "", Required{}, &kPrefixFormat }, &RoutePolicy::mPrefix },
  { { "targets", 1, kMaxTargets, "services", Required{}, &kTargetFormat }, &RoutePolicy::mTargets },
  { { "rank", 0, 0, "", Required{}, &kNameFormat }, &RoutePolicy::mRank },
  { { "idempotent", 0, 0, "", false }, &RoutePolicy::mIdempotent },
  { { "attempts", 1, 100, "backend servers", 2.0 }, &RoutePolicy::mAttempts },
  { { "timeout_ms", 1, kMaxMs, "ms", 10'000.0 }, &RoutePolicy::mTimeout },
  { { "target_ms", 1, kMaxMs, "ms", 1'000.0 }, &RoutePolicy::mTarget },
};

inline constexpr Setting<LimitPolicy> kLimitSettings[] = {
  { { "min_concurrency", 1, kMaxCount, "requests", 1.0 }, &LimitPolicy::mMinConcurrency },
  { { "max_queue", 0, kMaxCount, "requests", 128.0 }, &LimitPolicy::mMaxQueue },
  { { "queue_target_ms", 1, kMaxMs, "ms", 20.0 }, &LimitPolicy::mQueueTarget },
};

// The default ratio limits retries to 10% of the offered load.
inline constexpr Setting<RetryPolicy> kRetrySettings[] = {
  { { "attempts", 1, 100, "attempts", 3.0 }, &RetryPolicy::mAttempts },
  { { "ratio", 0, 1, "retries per first attempt", 0.1 }, &RetryPolicy::mRatio },
};

// Entry of `limits` and `retries` that applies to services without a value of their own.
inline constexpr std::string_view kDefaultEntry = "default";

// Reads the value of a setting. If it is invalid, returns a message on what is expected.
std::optional<std::string> ReadValue(const JsonNode& aNode, const SettingInfo& aInfo,
                                     uint32_t& aValue);
std::optional<std::string> ReadValue(const JsonNode& aNode, const SettingInfo& aInfo,
                                     uint64_t& aValue);
std::optional<std::string> ReadValue(const JsonNode& aNode, const SettingInfo& aInfo,
                                     double& aValue);
std::optional<std::string> ReadValue(const JsonNode& aNode, const SettingInfo& aInfo, bool& aValue);
std::optional<std::string> ReadValue(const JsonNode& aNode, const SettingInfo& aInfo,
                                     std::string& aValue);
std::optional<std::string> ReadValue(const JsonNode& aNode, const SettingInfo& aInfo,
                                     std::chrono::milliseconds& aValue);
std::optional<std::string> ReadValue(const JsonNode& aNode, const SettingInfo& aInfo,
                                     std::vector<std::string>& aValue);

std::optional<std::string> ReadValue(const JsonNode& aNode, const SettingInfo& aInfo,
                                     std::vector<RouteTarget>& aValue);

inline void AssignDefault(const SettingInfo& aInfo, uint32_t& aValue)
{
  aValue = static_cast<uint32_t>(std::get<double>(aInfo.mDefault));
}
inline void AssignDefault(const SettingInfo& aInfo, uint64_t& aValue)
{
  aValue = static_cast<uint64_t>(std::get<double>(aInfo.mDefault));
}
inline void AssignDefault(const SettingInfo& aInfo, double& aValue)
{
  aValue = std::get<double>(aInfo.mDefault);
}
inline void AssignDefault(const SettingInfo& aInfo, bool& aValue)
{
  aValue = std::get<bool>(aInfo.mDefault);
}
inline void AssignDefault(const SettingInfo& aInfo, std::string& aValue)
{
  aValue = std::get<std::string_view>(aInfo.mDefault);
}
inline void AssignDefault(const SettingInfo& aInfo, std::chrono::milliseconds& aValue)
{
  aValue = std::chrono::milliseconds(static_cast<int64_t>(std::get<double>(aInfo.mDefault)));
}
// Lists have no default.
inline void AssignDefault(const SettingInfo& /*aInfo*/, std::vector<std::string>& /*aValue*/) {}

inline void AssignDefault(const SettingInfo& /*aInfo*/, std::vector<RouteTarget>& /*aValue*/) {}

inline nlohmann::json ToJson(const std::vector<RouteTarget>& aValue)
{
  nlohmann::json targets = nlohmann::json::array();
  for (const RouteTarget& target : aValue) {
    targets.push_back(target.mService + "=" + std::to_string(target.mWeight));
  }
  return targets;
}

inline nlohmann::json ToJson(std::chrono::milliseconds aValue)
{
  return aValue.count();
}
template <class T>
nlohmann::json ToJson(const T& aValue)
{
  return aValue;
}

// Calls aFunction(info, value) for each setting of an object.
template <class T, class Object, class Function>
void ForEachSetting(std::span<const Setting<T>> aSettings, Object& aObject, Function aFunction)
{
  for (const Setting<T>& setting : aSettings) {
    std::visit([&](auto aMember) { aFunction(setting.mInfo, aObject.*aMember); }, setting.mMember);
  }
}

} // namespace balsammount::detail
