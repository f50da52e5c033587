// Effective configuration: policies per service, rank and route, and the classification of
// requests.
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

// Bounds of the adaptive concurrency limit and of the queue, per upstream of a service.
struct LimitPolicy
{
  uint32_t mMinConcurrency = 0;
  uint32_t mMaxQueue = 0;
  std::chrono::milliseconds mQueueTarget{};

  bool operator==(const LimitPolicy&) const = default;
};

struct RetryPolicy
{
  uint32_t mAttempts = 0; // per request over its call tree, including the first attempt
  double mRatio = 0;      // retries per first attempt

  bool operator==(const RetryPolicy&) const = default;
};

struct ServicePolicy
{
  std::string mName;
  std::vector<std::string> mPaths; // path prefixes, matched at segment boundaries
  uint32_t mSlots = 0;             // concurrent requests per upstream
  uint32_t mMaxConnections = 0;    // per upstream
  uint64_t mMaxBodyBytes = 0;
  std::chrono::milliseconds mDefaultDeadline{}; // also the maximum for a caller's deadline
  LimitPolicy mLimits;
  RetryPolicy mRetries;

  bool operator==(const ServicePolicy&) const = default;
};

struct RankPolicy
{
  std::string mName;
  std::chrono::milliseconds mTarget{};
  uint32_t mWorth = 0; // unique among the ranks
  double mFloor = 0;   // share of slots, 0 to 1

  bool operator==(const RankPolicy&) const = default;
};

struct RankRule
{
  std::string mName;
  std::string mService;
  std::string mMethod; // "*" for any method
  std::string mPathPrefix;
  std::string mRank;
  bool mIdempotent = false;

  bool operator==(const RankRule&) const = default;
};

// A service that receives a share of the requests of a route.
struct RouteTarget
{
  std::string mService;
  uint32_t mWeight = 1; // relative to the other targets of the route; 0 receives none

  bool operator==(const RouteTarget&) const = default;
};

// Policy for the requests of one host under one path prefix. If the configuration has routes, only
// they determine the service, rank and limits of a request.
struct RoutePolicy
{
  std::string mName;
  std::string mHost;   // case-insensitive
  std::string mPrefix; // starts and ends with '/'; compared with the undecoded path
  std::vector<RouteTarget> mTargets;
  std::string mRank;
  bool mIdempotent = false;
  uint32_t mAttempts = 1;               // maximum number of backend servers that receive a request
  std::chrono::milliseconds mTimeout{}; // maximum time for a request
  std::chrono::milliseconds mTarget{};  // a response within this time has its full value

  bool operator==(const RoutePolicy&) const = default;
};

// Limits on the size and the duration of callers' requests.
struct CallerLimits
{
  uint32_t mMaxHeaderBytes = 16 * 1024;
  uint64_t mMaxBodyBytes = 8 * 1024 * 1024;
  std::chrono::milliseconds mHeaderTimeout{ 10'000 };
  std::chrono::milliseconds mIdleTimeout{ 60'000 };

  bool operator==(const CallerLimits&) const = default;
};

// Values of a Config, in any order.
struct ConfigValues
{
  std::vector<ServicePolicy> mServices;
  std::vector<RankPolicy> mRanks;
  std::vector<RankRule> mRules;
  std::vector<RoutePolicy> mRoutes{};
  CallerLimits mCallerLimits{};

  bool operator==(const ConfigValues&) const = default;
};

// Immutable. Pointers and references into it are valid for the lifetime of the object.
class Config
{
public:
  Config() = default;

  // The values must be valid; CheckFiles validates the files of the operators.
  explicit Config(ConfigValues aValues);

  // Ordered by name.
  const std::vector<ServicePolicy>& Services() const { return mValues.mServices; }
  // Ordered by descending worth.
  const std::vector<RankPolicy>& Ranks() const { return mValues.mRanks; }
  // In order of matching: longest path prefix first, a specific method before "*", then by name.
  const std::vector<RankRule>& Rules() const { return mValues.mRules; }

  // Ordered by name.
  const std::vector<RoutePolicy>& Routes() const { return mValues.mRoutes; }
  const CallerLimits& Limits() const { return mValues.mCallerLimits; }

  // Returns the route of the host with the longest prefix of the path, or null. The host may
  // include a port and the path a query.
  const RoutePolicy* FindRoute(std::string_view aHost, std::string_view aPath) const;

  // Return null if there is none of that name.
  const ServicePolicy* FindService(std::string_view aName) const;
  const RankPolicy* FindRank(std::string_view aName) const;

  // Returns the service with the longest path prefix that matches a decoded path, or null.
  const ServicePolicy* ServiceForPath(std::string_view aDecodedPath) const;

  // Indices of a rule and its rank in Rules() and Ranks().
  struct RuleIndex
  {
    size_t mRule = 0;
    size_t mRank = 0;
  };
  // Returns the rules of a service in order of matching.
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
  const RankRule* mRule = nullptr; // null if no rule matched
  bool mIdempotent = false;
};

// Returns service, rank and idempotency of a request. A request that no rule of its service matches
// has the rank of least worth and is not idempotent. Matching ignores the query of the path and
// decodes percent-encoding. A path with dot segments, empty segments or malformed encoding fails
// with MalformedPath, because a backend server may normalise it to a path that another rule
// matches. Allocates only for the detail of a failure.
Result<Classification> Classify(const Config& aConfig, std::string_view aMethod,
                                std::string_view aPath);

// Returns true if a prefix matches a path at a segment boundary: "/a" matches "/a" and "/a/b", but
// not "/ab".
bool MatchesPrefix(std::string_view aPrefix, std::string_view aPath);

// Returns the effective value of every setting as JSON text, keyed by setting path such as
// "services.orders.slots".
std::map<std::string, std::string> Flatten(const Config& aConfig);

} // namespace balsammount

template <>
struct std::is_error_code_enum<balsammount::ConfigError> : std::true_type
{
};
