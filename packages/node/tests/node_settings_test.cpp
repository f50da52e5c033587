#include "balsammount/node_settings.h"

#include <CppUTest/TestHarness.h>

using namespace balsammount;

namespace {

const std::string kValid = R"({
  // a comment
  "node_id": "n1", "service": "orders", "data_centre": "dc1",
  "caller_listen": "127.0.0.1:1", "egress_listen": "127.0.0.1:2", "peer_listen": "[::1]:3",
  "admin_listen": "127.0.0.1:4", "backend": "127.0.0.1:5", "store": ["127.0.0.1:6"]
})";

std::string Replace(std::string aText, const std::string& aFrom, const std::string& aTo)
{
  return aText.replace(aText.find(aFrom), aFrom.size(), aTo);
}

void CheckFails(const std::string& aText, SettingsError aError, const std::string& aDetail)
{
  const auto settings = ParseNodeSettings(aText);
  CHECK_FALSE(settings.has_value());
  CHECK(settings.error().mCode == aError);
  STRCMP_CONTAINS(aDetail.c_str(), settings.error().mDetail.c_str());
}

} // namespace

TEST_GROUP(NodeSettings){};

TEST(NodeSettings, ReadsValidSettings)
{
  const auto settings = ParseNodeSettings(kValid);
  CHECK(settings.has_value());
  STRCMP_EQUAL("orders", settings->mService.c_str());
  CHECK(settings->mPeerListen.address().is_v6());
  CHECK_EQUAL(6, settings->mStore.front().port());
}

// Guards against a node behind a proxy that publishes the address of its listener.
TEST(NodeSettings, AdvertisesListenerByDefault)
{
  const auto plain = ParseNodeSettings(kValid);
  CHECK(plain->AdvertisedPeer() == plain->mPeerListen);
  const auto proxied = ParseNodeSettings(
    Replace(kValid, "\"admin_listen\"", "\"peer_advertise\": \"127.0.0.1:9\", \"admin_listen\""));
  CHECK(proxied.has_value());
  CHECK_EQUAL(9, proxied->AdvertisedPeer().port());
}

// Guards against a node that silently ignores or misreads a setting.
TEST(NodeSettings, NamesFaultySetting)
{
  CheckFails("{", SettingsError::MalformedJson, "line 1");
  CheckFails(Replace(kValid, "\"service\"", "\"servce\""), SettingsError::MissingSetting,
             "service");
  CheckFails(Replace(kValid, "\"node_id\"", "\"x\": 1, \"node_id\""), SettingsError::UnknownSetting,
             "x");
  CheckFails(Replace(kValid, "127.0.0.1:5", "localhost:5"), SettingsError::BadAddress, "backend");
  CheckFails(Replace(kValid, "127.0.0.1:6", "127.0.0.1:99999"), SettingsError::BadAddress,
             "store[0]");
  CheckFails(Replace(kValid, "\"n1\"", "7"), SettingsError::WrongType, "node_id");
  CheckFails(Replace(kValid, "\"node_id\"", "\"max_held_bytes\": 1000, \"node_id\""),
             SettingsError::WrongType, "max_held_bytes");
}
