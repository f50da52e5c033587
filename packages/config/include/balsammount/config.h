// The configuration in force: policies per service and rank, and the classification of requests.
#pragma once

#include "balsammount/error.h"

#include <chrono>
#include <cstdint>
#include <map>
#include <string>
#include <string_view>
#include <vector>

namespace balsammount {

enum class ConfigError
{
  UnknownService = 1,
  MalformedPath,
  NotADirectory,
  Unreadable,
  TooLarge,
};

std::error_code make_error_code(ConfigError aError);

// Bounds of the adaptive concurrency limit and its queue, for one upstream of a service.
struct LimitPolicy
{
  uint32_t mMinConcurrency = 0;
  uint32_t mMaxQueue = 0;
  std::chrono::milliseconds mQueueTarget{};

  bool operator==(const LimitPolicy&) const = default;
};

struct RetryPolicy
{
  uint32_t mAttempts = 0; // for a request over its whole call chain, the first attempt included
  double mRatio = 0;      // retries per first attempt

  bool operator==(const RetryPolicy&) const = default;
};

struct ServicePolicy
{
  std::string mName;
  std::vector<std::string> mPaths; // path prefixes that end at a segment boundary
  uint32_t mSlots = 0;             // concurrent requests per upstream
  uint32_t mMaxConnections = 0;    // per upstream
  uint64_t mMaxBodyBytes = 0;
  std::chrono::milliseconds mDefaultDeadline{}; // also the upper bound of a caller's deadline
  LimitPolicy mLimits;
  RetryPolicy mRetries;

  bool operator==(const ServicePolicy&) const = default;
};

struct RankPolicy
{
  std::string mName;
  std::chrono::milliseconds mTarget{};
  uint32_t mWorth = 0; // unique among ranks
  double mFloor = 0;   // share of slots, 0..1

  bool operator==(const RankPolicy&) const = default;
};

struct RankRule
{
  std::string mName;
  std::string mService;
  std::string mMethod; // "*" for any
  std::string mPathPrefix;
  std::string mRank;
  bool mIdempotent = false;

  bool operator==(const RankRule&) const = default;
};

// A service that takes a share of a route's requests.
struct RouteTarget
{
  std::string mService;
  uint32_t mWeight = 1; // relative to the other targets of the route; 0 takes nothing

  bool operator==(const RouteTarget&) const = default;
};

// Requests of one host under one path prefix. Where a configuration has routes, they alone decide
// about a request: its service, rank and limits.
struct RoutePolicy
{
  std::string mName;
  std::string mHost;   // compared without case
  std::string mPrefix; // begins and ends with '/'; compared with the path as it was sent
  std::vector<RouteTarget> mTargets;
  std::string mRank;
  bool mIdempotent = false;
  uint32_t mAttempts = 1;               // backend servers that may get one request
  std::chrono::milliseconds mTimeout{}; // a request waits no longer than this
  std::chrono::milliseconds mTarget{};  // an answer within this time is in full use

  bool operator==(const RoutePolicy&) const = default;
};

// What callers may send, and how long they may take.
struct CallerLimits
{
  uint32_t mMaxHeaderBytes = 16 * 1024;
  uint64_t mMaxBodyBytes = 8 * 1024 * 1024;
  std::chrono::milliseconds mHeaderTimeout{ 10'000 };
  std::chrono::milliseconds mIdleTimeout{ 60'000 };

  bool operator==(const CallerLimits&) const = default;
};

// The values from which a Config is made, in any order.
struct ConfigValues
{
  std::vector<ServicePolicy> mServices;
  std::vector<RankPolicy> mRanks;
  std::vector<RankRule> mRules;
  std::vector<RoutePolicy> mRoutes{};
  CallerLimits mCallerLimits{};

  bool operator==(const ConfigValues&) const = default;
};

// Immutable. Pointers and references into it are valid as long as the object is.
class Config
{
public:
  Config() = default;

  // The values are expected to be valid; CheckFiles validates those that operators write.
  explicit Config(ConfigValues aValues);

  // By name.
  const std::vector<ServicePolicy>& Services() const { return mValues.mServices; }
  // By worth, the highest first. A rank's index in this vector is its order of importance.
  const std::vector<RankPolicy>& Ranks() const { return mValues.mRanks; }
  // In the order in which they are matched: longest path prefix, a named method before "*", name.
  const std::vector<RankRule>& Rules() const { return mValues.mRules; }

  // By name.
  const std::vector<RoutePolicy>& Routes() const { return mValues.mRoutes; }
  const CallerLimits& Limits() const { return mValues.mCallerLimits; }

  // The route of a host with the longest prefix that begins the path; null when there is none. The
  // host may carry a port, the path a query.
  const RoutePolicy* FindRoute(std::string_view aHost, std::string_view aPath) const;

  // Null when there is none of that name.
  const ServicePolicy* FindService(std::string_view aName) const;
  const RankPolicy* FindRank(std::string_view aName) const;

  // The service with the longest path prefix that matches a decoded path; null when none does.
  const ServicePolicy* ServiceForPath(std::string_view aDecodedPath) const;

  // Rules of one service with their ranks resolved to indices, in the order of matching.
  struct RuleIndex
  {
    size_t mRule = 0;
    size_t mRank = 0;
  };
  const std::vector<RuleIndex>& RulesOf(const ServicePolicy& aService) const;

  bool operator==(const Config& aOther) const { return mValues == aOther.mValues; }

private:
  ConfigValues mValues;
  std::map<std::string, size_t, std::less<>> mServiceByPath;
  std::map<std::string, std::vector<size_t>, std::less<>> mRoutesByHost; // longest prefix first
  std::vector<std::vector<RuleIndex>> mRulesByService;
};

struct Classification
{
  const ServicePolicy* mService = nullptr;
  const RankPolicy* mRank = nullptr;
  size_t mRankIndex = 0;           // index in Config::Ranks()
  const RankRule* mRule = nullptr; // null when no rule matched
  bool mIdempotent = false;
};

// Finds service, rank and idempotence of a request. A request of a service that no rule matches
// gets the rank of least worth and is not idempotent. The query of the path is ignored and
// percent-encoding is decoded for matching. A path with dot segments, empty segments or malformed
// encoding is refused as MalformedPath: a backend server may normalise it into one that another
// rule governs. Allocates only for the detail of a failure.
Result<Classification> Classify(const Config& aConfig, std::string_view aMethod,
                                std::string_view aPath);

// Whether a prefix matches a path at a segment boundary: "/a" matches "/a" and "/a/b", not "/ab".
bool MatchesPrefix(std::string_view aPrefix, std::string_view aPath);

// The effective value of every setting as JSON text by setting path, such as
// "services.orders.slots".
std::map<std::string, std::string> Flatten(const Config& aConfig);

} // namespace balsammount

template <>
struct std::is_error_code_enum<balsammount::ConfigError> : std::true_type
{
};
