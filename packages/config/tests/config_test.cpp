#include "samples.h"

#include <CppUTest/TestHarness.h>

#include <algorithm>

using namespace balsammount;
using namespace balsammount::test;

TEST_GROUP(Classify)
{
  std::shared_ptr<const Config> mConfig = CheckFiles(SampleFiles()).mConfig;

  void Expect(const char* aMethod, const char* aPath, const char* aService, const char* aRank,
              bool aIdempotent)
  {
    const auto found = Classify(*mConfig, aMethod, aPath);
    CHECK_TEXT(found.has_value(), aPath);
    STRCMP_EQUAL_TEXT(aService, found->mService->mName.c_str(), aPath);
    STRCMP_EQUAL_TEXT(aRank, found->mRank->mName.c_str(), aPath);
    CHECK_EQUAL(aIdempotent, found->mIdempotent);
    CHECK(&mConfig->Ranks()[found->mRankIndex] == found->mRank);
  }
};

// Guards against a shorter prefix, or a rule for any method, that has precedence over a more
// specific rule.
TEST(Classify, MostSpecificRuleWins)
{
  Expect("GET", "/orders", "orders", "order", false);
  Expect("GET", "/orders/12?x=/orders/certify", "orders", "order", false);
  Expect("POST", "/orders/certify", "orders", "certify", false);
  Expect("GET", "/orders/certify/9/", "orders", "browse", true);
  Expect("GET", "/orders/certifyx", "orders", "order", false);
  Expect("GET", "/orders/catalogue/1", "catalogue", "browse", false);
  CHECK(Classify(*mConfig, "GET", "/ordersx").error().mCode == ConfigError::UnknownService);
  CHECK(Classify(Config(), "GET", "/orders").error().mCode == ConfigError::UnknownService);
}

// Guards against an encoded path that evades the rule for the path that the backend server decodes.
TEST(Classify, EncodedPathsDoNotEvadeRules)
{
  Expect("POST", "/orders/%63ertify", "orders", "certify", false);
  Expect("POST", "/orders%2Fcertify;v=1/x", "orders", "certify", false);
  Expect("POST", "/orders/certify;v=..", "orders", "certify", false);
}

// Guards against paths that a backend server may normalise to a different one.
TEST(Classify, RefusesAmbiguousPaths)
{
  for (const char* path :
       { "", "orders", "/orders/../x", "/orders/%2e%2E/x", "/orders/.", "/orders/..", "//orders",
         "/orders//certify", "/orders/%2", "/orders/%zz", "/orders/%00", "/orders/..;x/certify",
         "/orders/certify;v=/../", "/orders/;x/certify" }) {
    const auto found = Classify(*mConfig, "GET", path);
    CHECK_TEXT(!found.has_value() && found.error().mCode == ConfigError::MalformedPath, path);
  }
  const std::string deep = "/orders/" + std::string(5'000, 'a');
  CHECK(Classify(*mConfig, "GET", deep).has_value());
  CHECK(!Classify(*mConfig, "GET", deep + "/..").has_value());
}

TEST_GROUP(Config){};

// Guards against equality that depends on the order or the text of the files.
TEST(Config, EqualityIsByValue)
{
  const auto left = CheckFiles(SampleFiles()).mConfig;
  FileMap files = SampleFiles();
  files["30.json"] = R"({"limits": {"catalogue": {"max_queue": 10}}})";
  CHECK(*left == *CheckFiles(files).mConfig);
  files["30.json"] = R"({"limits": {"catalogue": {"max_queue": 11}}})";
  CHECK(!(*left == *CheckFiles(files).mConfig));
  ConfigValues values{ left->Services(), left->Ranks(), left->Rules() };
  std::ranges::reverse(values.mRules);
  std::ranges::reverse(values.mRanks);
  CHECK(*left == Config(values));
}
