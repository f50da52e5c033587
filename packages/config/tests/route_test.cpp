#include "balsammount/config_files.h"
#include "balsammount/config_revision.h"

#include <CppUTest/TestHarness.h>

using namespace balsammount;
using namespace std::chrono_literals;

namespace {

constexpr const char* kServices =
  R"({"services": {"a": {"paths": ["/a"], "slots": 4, "max_connections": 8},
                   "b": {"paths": ["/b"], "slots": 4, "max_connections": 8}},
      "ranks": {"high": {"target_ms": 100, "worth": 10}}})";

ConfigCheckResult Check(const std::string& aRoutes)
{
  return CheckFiles({ { "10-services.json", kServices }, { "20-routes.json", aRoutes } });
}

std::string RouteOf(const Config& aConfig, std::string_view aHost, std::string_view aPath)
{
  const RoutePolicy* route = aConfig.FindRoute(aHost, aPath);
  return route ? route->mName : "none";
}

std::string FirstMessage(const ConfigCheckResult& aResult)
{
  return aResult.mDiagnostics.empty() ? "" : aResult.mDiagnostics.front().mMessage;
}

} // namespace

TEST_GROUP(Route){};

// Guards against requests that are routed by a shorter prefix, another host or a partial segment.
TEST(Route, LongestPrefixOfTheHostWins)
{
  const ConfigCheckResult result = Check(R"({"routes": {
    "all": {"host": "x.example", "prefix": "/", "targets": ["a"], "rank": "high"},
    "deep": {"host": "x.example", "prefix": "/p/q/", "targets": ["b"], "rank": "high"},
    "other": {"host": "y.example", "prefix": "/p/", "targets": ["b"], "rank": "high"}}})");
  CHECK(result.mConfig != nullptr);
  const Config& config = *result.mConfig;
  STRCMP_EQUAL("deep", RouteOf(config, "X.example:8300", "/p/q/r?x=1").c_str());
  STRCMP_EQUAL("all", RouteOf(config, "x.example", "/p/qq/").c_str());
  STRCMP_EQUAL("other", RouteOf(config, "y.example", "/p/1").c_str());
  STRCMP_EQUAL("none", RouteOf(config, "y.example", "/p").c_str());
  STRCMP_EQUAL("none", RouteOf(config, "z.example", "/p/").c_str());
}

// Guards against weights and limits that are lost when a route is read.
TEST(Route, ReadsTargetsAndLimits)
{
  const ConfigCheckResult result = Check(R"({"routes": {"r": {"host": "x.example", "prefix": "/p/",
    "targets": ["a=90", "b=10"], "rank": "high", "idempotent": true, "attempts": 3,
    "timeout_ms": 700, "target_ms": 300}}})");
  CHECK(result.mConfig != nullptr);
  const RoutePolicy& route = result.mConfig->Routes().front();
  CHECK((route.mTargets == std::vector<RouteTarget>{ { "a", 90 }, { "b", 10 } }));
  CHECK(route.mIdempotent);
  CHECK_EQUAL(3, route.mAttempts);
  CHECK(route.mTimeout == 700ms);
  CHECK(route.mTarget == 300ms);
}

// Guards against accepting a route none of whose requests can be served.
TEST(Route, ReportsErrors)
{
  const auto errorOf = [](const char* aTargets, const char* aRank, const char* aPrefix) {
    return FirstMessage(Check(std::string(R"({"routes": {"r": {"host": "x", "targets": )") +
                              aTargets + R"(, "rank": ")" + aRank + R"(", "prefix": ")" + aPrefix +
                              R"("}}})"));
  };
  STRCMP_CONTAINS("unknown service", errorOf(R"(["c"])", "high", "/p/").c_str());
  STRCMP_CONTAINS("unknown rank", errorOf(R"(["a"])", "low", "/p/").c_str());
  STRCMP_CONTAINS("weight above 0", errorOf(R"(["a=0"])", "high", "/p/").c_str());
  STRCMP_CONTAINS("starts and ends with '/'", errorOf(R"(["a"])", "high", "/p").c_str());
  STRCMP_CONTAINS("NAME=WEIGHT", errorOf(R"(["a=x"])", "high", "/p/").c_str());
}

// Guards against a lower revision replacing a higher one with a custom decoder.
TEST(Route, HolderAppliesOnlyHigherVersionsOfADecodedValue)
{
  ConfigHolder holder([](std::string_view aBytes) -> Result<VersionedConfig> {
    if (aBytes.empty()) {
      return Failure{ RevisionError::NotJson, "empty" };
    }
    return VersionedConfig{ static_cast<uint64_t>(aBytes.size()),
                            std::make_shared<const Config>() };
  });
  CHECK(holder.Offer("", "store").mOutcome == OfferOutcome::RefusedInvalid);
  CHECK(holder.Offer("1234", "store").mOutcome == OfferOutcome::Applied);
  CHECK(holder.Offer("12", "peer").mOutcome == OfferOutcome::RefusedLower);
  CHECK(holder.Offer("123456", "peer").mOutcome == OfferOutcome::Applied);
  CHECK_EQUAL(6, holder.Revision());
  STRCMP_EQUAL("peer", holder.Source().c_str());
}

// Guards against comparing a value of revision 0 with a configuration that does not exist.
TEST(Route, HolderRefusesADecodedValueWithVersionZero)
{
  ConfigHolder holder([](std::string_view) -> Result<VersionedConfig> {
    return VersionedConfig{ 0, std::make_shared<const Config>() };
  });
  const OfferResult result = holder.Offer("{}", "store");
  CHECK(result.mOutcome == OfferOutcome::RefusedInvalid);
  CHECK(result.mFailure->mCode == RevisionError::OutOfRange);
  POINTERS_EQUAL(nullptr, holder.Current().get());
}
