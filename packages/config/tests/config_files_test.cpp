#include "samples.h"

#include <CppUTest/TestHarness.h>

#include <algorithm>
#include <fstream>

#include <unistd.h>

using namespace balsammount;
using namespace balsammount::test;

namespace {

bool Reports(const ConfigCheckResult& aResult, const std::string& aText)
{
  return std::ranges::any_of(aResult.mDiagnostics, [&](const Diagnostic& aDiagnostic) {
    return Describe(aDiagnostic).find(aText) != std::string::npos;
  });
}

// Checks the sample with one more file, which is merged last.
ConfigCheckResult CheckWith(const std::string& aText)
{
  FileMap files = SampleFiles();
  files["90-last.json"] = aText;
  return CheckFiles(files);
}

} // namespace

TEST_GROUP(ConfigFiles){};

// Guards against a sample that is no longer valid, and against lost defaults and fallbacks.
TEST(ConfigFiles, ReadsValuesDefaultsAndFallbacks)
{
  const ConfigCheckResult result = CheckFiles(SampleFiles());
  CHECK(result.mDiagnostics.empty());
  const ServicePolicy* orders = result.mConfig->FindService("orders");
  CHECK_EQUAL(50, orders->mSlots);
  CHECK_EQUAL(1'048'576, orders->mMaxBodyBytes);
  CHECK_EQUAL(10'000, orders->mDefaultDeadline.count());
  CHECK_EQUAL(2, orders->mLimits.mMinConcurrency);
  CHECK_EQUAL(10, orders->mLimits.mMaxQueue);
  CHECK_EQUAL(3, orders->mRetries.mAttempts);
  DOUBLES_EQUAL(0.05, orders->mRetries.mRatio, 0);
  CHECK_EQUAL(10, result.mConfig->FindService("catalogue")->mLimits.mMaxQueue);
  STRCMP_EQUAL("certify", result.mConfig->Ranks()[0].mName.c_str());
  STRCMP_EQUAL("browse", result.mConfig->Ranks()[2].mName.c_str());
}

// Guards against a later file that replaces a whole entry, and against wrong origins.
TEST(ConfigFiles, LaterFilesOverrideSingleSettings)
{
  const ConfigCheckResult result = CheckWith(R"({"services": {"orders": {"slots": 7}},
    "ranks": {"order": {"floor": null}}, "rules": {"read": null}})");
  CHECK(result.mDiagnostics.empty());
  CHECK_EQUAL(7, result.mConfig->FindService("orders")->mSlots);
  CHECK_EQUAL(400, result.mConfig->FindService("orders")->mMaxConnections);
  DOUBLES_EQUAL(0, result.mConfig->FindRank("order")->mFloor, 0);
  CHECK_EQUAL(2, result.mConfig->Rules().size());
  CHECK((result.mOrigins.at("services.orders.slots") == Origin{ "90-last.json", 1, 35 }));
  CHECK((result.mOrigins.at("services.orders.paths") == Origin{ "10-services.json", 4, 26 }));
  CHECK((result.mOrigins.at("limits.catalogue.max_queue").mFile == "20-ranks.json"));
  CHECK(!result.mOrigins.contains("ranks.order.floor"));
  // Every setting with an origin is a setting of the result.
  const auto flat = Flatten(*result.mConfig);
  for (const auto& [path, origin] : result.mOrigins) {
    CHECK(flat.contains(path));
  }
}

// Guards against reporting only the first error and against wrong positions.
TEST(ConfigFiles, ReportsAllErrorsWithPosition)
{
  const ConfigCheckResult result =
    CheckWith("{ /* \xC3\xA9 */ \"services\": {\n"
              "  \"orders\": { \"slts\": 1, \"slots\": 0 },\n"
              "  \"orders\": { \"max_connections\": 1.5 } },\n"
              "  \"rnks\": {}, \"rules\": { \"place\": 3,\n"
              "  \"read\": { \"rank\": \"brose\", \"idempotent\": 1 } } }");
  CHECK(!result.mConfig);
  const std::string expectations[] = {
    R"(90-last.json:2:15: services.orders: unknown setting "slts"; did you mean "slots"?)",
    R"(90-last.json:2:35: services.orders.slots: expected an integer from 1 to 100000 (requests))",
    R"(90-last.json:3:3: duplicate key "orders")",
    R"(90-last.json:3:34: services.orders.max_connections: expected an integer)",
    R"(90-last.json:4:3: unknown section "rnks"; did you mean "ranks"?)",
    R"(90-last.json:4:35: rules.place: expected an object)",
    R"(90-last.json:5:21: rules.read.rank: unknown rank "brose"; did you mean "browse"?)",
    R"(90-last.json:5:44: rules.read.idempotent: expected true or false)",
  };
  for (const std::string& expected : expectations) {
    CHECK_TEXT(Reports(result, expected), expected.c_str());
  }
  CHECK_EQUAL(8, result.mDiagnostics.size());
}

// Guards against syntax errors without a position.
TEST(ConfigFiles, ReportsPositionOfSyntaxErrors)
{
  CHECK(Reports(CheckWith("{\n  \"ranks\": {,}\n}"), "90-last.json:2:13: not valid JSON"));
  CHECK(Reports(CheckWith(""), "90-last.json:1:1: not valid JSON"));
  CHECK(Reports(CheckWith("\xEF\xBB\xBF{} x"), "90-last.json:1:4: not valid JSON"));
  CHECK(Reports(CheckWith("{\"ranks\": {\"\xFF\": 1}}"), "90-last.json:1:13: not valid JSON"));
  CHECK(Reports(CheckWith(std::string(10'000, '[')), "nested levels"));
  CHECK(Reports(CheckWith("[1]"), "90-last.json:1:1: expected an object of sections"));
}

// Guards against settings that are valid individually but not in combination.
TEST(ConfigFiles, ChecksSettingsAgainstEachOther)
{
  const std::string tests[][2] = {
    { R"({"ranks": {"browse": {"floor": 0.6}}})", "ranks.browse.floor: expected floors that sum" },
    { R"({"ranks": {"browse": {"worth": 50}}})", "expected a unique worth" },
    { R"({"ranks": {"browse": null}})", "rules.read.rank: unknown rank \"browse\"" },
    { R"({"ranks": {"brows": null}})", "no earlier file has one of this name; did you mean" },
    { R"({"ranks": {"new": {"worth": 3}}})", "ranks.new: setting \"target_ms\" is required" },
    { R"({"services": {"orders": {"paths": ["/catalogue"]}}})", "expected unique paths" },
    { R"({"services": {"orders": {"paths": ["/a/"]}}})", "item 0: expected a path" },
    { R"({"services": {"orders": {"paths": ["/a/../b"]}}})", "item 0: expected a path" },
    { R"({"services": {"orders": {"slots": 500}}})", "expected at most max_connections (400)" },
    { R"({"services": {"default": {"paths": ["/d"]}}})", "is reserved" },
    { R"({"services": {"a.b": {}}})", "name \"a.b\": expected a name" },
    { R"({"rules": {"read": {"path": "/elsewhere"}}})", "rules.read.path: expected a path under" },
    { R"({"rules": {"read": {"method": "post"}}})", "expected an upper-case HTTP method" },
    { R"({"limits": {"order": {}}})", "limits.order: expected the name of a service" },
    { R"({"limits": {"orders": {"min_concurrency": 51}}})", "expected at most the slots" },
    { R"({"retries": {"default": {"ratio": 1.01}}})", "expected a number from 0 to 1" },
  };
  for (const auto& [text, expected] : tests) {
    const ConfigCheckResult result = CheckWith(text);
    CHECK_TEXT(Reports(result, expected), expected.c_str());
    CHECK(!result.mConfig);
  }
  CHECK(Reports(CheckFiles({}), "(directory): services: expected at least one service"));
  CHECK(Reports(CheckFiles({ { "../a.json", "{}" } }), "expected a file name"));
}

// Guards against a malicious directory that makes the report or the time to create it unbounded.
TEST(ConfigFiles, LimitsTheNumberOfDiagnostics)
{
  std::string text = R"({"services": {)";
  for (int i = 0; i < 30'000; ++i) {
    text += (i > 0 ? ",\"s" : "\"s") + std::to_string(i) + "\": 1";
  }
  CHECK_EQUAL(kMaxDiagnostics + 1, CheckWith(text + "}}").mDiagnostics.size());
  CHECK(Reports(CheckWith(std::string(kMaxConfigBytes, ' ')), "expected at most 1000000"));
}

// Guards against files that are silently left out.
TEST(ConfigFiles, ReadsDirectoryWithoutSkippingFiles)
{
  const auto directory =
    std::filesystem::temp_directory_path() / ("bm_config_test." + std::to_string(getpid()));
  std::filesystem::create_directories(directory / "sub");
  for (const char* name : { "a.json", ".hidden", "a.json~" }) {
    std::ofstream(directory / name) << "{}";
  }
  std::ofstream(directory / "empty.json").close();
  const auto files = ReadConfigDirectory(directory);
  std::filesystem::remove_all(directory);
  CHECK((files.value() ==
         FileMap{ { "a.json", "{}" }, { "a.json~", "{}" }, { "empty.json", "" }, { "sub/", "" } }));
  CHECK(Reports(CheckFiles(files.value()), "sub/: expected a file name"));
  CHECK(ReadConfigDirectory(directory).error().mCode == ConfigError::NotADirectory);
}
