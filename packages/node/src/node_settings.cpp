#include "balsammount/node_settings.h"

#include "balsammount/endpoint.h"

#include <nlohmann/json.hpp>

#include <array>
#include <fstream>
#include <functional>
#include <iterator>
#include <limits>
#include <variant>

namespace balsammount {

namespace {

using Json = nlohmann::json;
using Endpoint = NodeSettings::Endpoint;

// Describes one setting: its name, the member that holds it, and whether it is required.
struct Setting
{
  const char* mName;
  std::variant<std::string NodeSettings::*, Endpoint NodeSettings::*,
               std::vector<Endpoint> NodeSettings::*, uint16_t NodeSettings::*,
               uint32_t NodeSettings::*, uint64_t NodeSettings::*, double NodeSettings::*,
               std::chrono::milliseconds NodeSettings::*>
    mMember;
  bool mRequired;
};

constexpr std::array kSettings = {
  Setting{ "node_id", &NodeSettings::mNodeId, true },
  Setting{ "service", &NodeSettings::mService, true },
  Setting{ "data_centre", &NodeSettings::mDataCentre, true },
  Setting{ "region", &NodeSettings::mRegion, false },
  Setting{ "caller_listen", &NodeSettings::mCallerListen, true },
  Setting{ "egress_listen", &NodeSettings::mEgressListen, false },
  Setting{ "peer_listen", &NodeSettings::mPeerListen, true },
  Setting{ "peer_advertise", &NodeSettings::mPeerAdvertise, false },
  Setting{ "admin_listen", &NodeSettings::mAdminListen, true },
  Setting{ "backend", &NodeSettings::mBackend, true },
  Setting{ "store", &NodeSettings::mStore, true },
  Setting{ "contacts", &NodeSettings::mContacts, false },
  Setting{ "log_level", &NodeSettings::mLogLevel, false },
  Setting{ "log_format", &NodeSettings::mLogFormat, false },
  Setting{ "drain_seconds", &NodeSettings::mDrainSeconds, false },
  Setting{ "ready_listen", &NodeSettings::mReadyListen, false },
  Setting{ "fleet_retry_ratio", &NodeSettings::mFleetRetryRatio, false },
  Setting{ "fleet_retry_slack", &NodeSettings::mFleetRetrySlack, false },
  Setting{ "max_held_bytes", &NodeSettings::mMaxHeldBytes, false },
  Setting{ "max_sockets", &NodeSettings::mMaxSockets, false },
  Setting{ "config_convergence_ms", &NodeSettings::mConfigConvergence, false },
};

Failure Fail(SettingsError aError, const std::string& aName, const std::string& aDetail)
{
  return Failure{ aError, aName + ": " + aDetail };
}

Result<void> Assign(std::string& aTarget, const std::string& aName, const Json& aValue)
{
  if (!aValue.is_string() || aValue.get_ref<const std::string&>().empty()) {
    return Fail(SettingsError::WrongType, aName, "expected a non-empty string");
  }
  aTarget = aValue.get<std::string>();
  return {};
}

Result<void> Assign(uint32_t& aTarget, const std::string& aName, const Json& aValue)
{
  constexpr uint32_t kMax = 3600;
  if (!aValue.is_number_unsigned() || aValue.get<uint64_t>() > kMax) {
    return Fail(SettingsError::WrongType, aName, "expected an integer from 0 to 3600");
  }
  aTarget = aValue.get<uint32_t>();
  return {};
}

Result<void> Assign(uint16_t& aTarget, const std::string& aName, const Json& aValue)
{
  constexpr uint64_t kMin = 100;
  constexpr uint64_t kMax = std::numeric_limits<uint16_t>::max();
  if (!aValue.is_number_unsigned() || aValue.get<uint64_t>() < kMin ||
      aValue.get<uint64_t>() > kMax) {
    return Fail(SettingsError::WrongType, aName, "expected a number of sockets from 100 to 65535");
  }
  aTarget = aValue.get<uint16_t>();
  return {};
}

Result<void> Assign(uint64_t& aTarget, const std::string& aName, const Json& aValue)
{
  constexpr uint64_t kMin = 1024 * 1024;
  constexpr uint64_t kMax = uint64_t{ 1 } << 40;
  if (!aValue.is_number_unsigned() || aValue.get<uint64_t>() < kMin ||
      aValue.get<uint64_t>() > kMax) {
    return Fail(SettingsError::WrongType, aName, "expected a number of bytes from 2^20 to 2^40");
  }
  aTarget = aValue.get<uint64_t>();
  return {};
}

Result<void> Assign(std::chrono::milliseconds& aTarget, const std::string& aName,
                    const Json& aValue)
{
  constexpr uint64_t kMin = 100;
  constexpr uint64_t kMax = 3'600'000;
  if (!aValue.is_number_unsigned() || aValue.get<uint64_t>() < kMin ||
      aValue.get<uint64_t>() > kMax) {
    return Fail(SettingsError::WrongType, aName,
                "expected a number of milliseconds from 100 to 3600000");
  }
  aTarget = std::chrono::milliseconds(aValue.get<uint64_t>());
  return {};
}

Result<void> Assign(double& aTarget, const std::string& aName, const Json& aValue)
{
  if (!aValue.is_number() || aValue.get<double>() < 0 || aValue.get<double>() > 1) {
    return Fail(SettingsError::WrongType, aName, "expected a number from 0 to 1");
  }
  aTarget = aValue.get<double>();
  return {};
}

Result<void> Assign(Endpoint& aTarget, const std::string& aName, const Json& aValue)
{
  if (!aValue.is_string()) {
    return Fail(SettingsError::WrongType, aName, "expected a string \"ADDRESS:PORT\"");
  }
  auto endpoint = ParseEndpoint(aValue.get_ref<const std::string&>());
  if (!endpoint) {
    return Fail(SettingsError::BadAddress, aName, Describe(endpoint.error()));
  }
  aTarget = *endpoint;
  return {};
}

Result<void> Assign(std::vector<Endpoint>& aTarget, const std::string& aName, const Json& aValue)
{
  if (!aValue.is_array()) {
    return Fail(SettingsError::WrongType, aName, "expected a list of \"ADDRESS:PORT\" strings");
  }
  for (size_t i = 0; i < aValue.size(); ++i) {
    Endpoint endpoint;
    if (auto result = Assign(endpoint, aName + "[" + std::to_string(i) + "]", aValue[i]); !result) {
      return result;
    }
    aTarget.push_back(endpoint);
  }
  return {};
}

Result<void> CheckValues(const NodeSettings& aSettings)
{
  if (aSettings.mLogFormat != "text" && aSettings.mLogFormat != "json") {
    return Fail(SettingsError::BadValue, "log_format", "expected \"text\" or \"json\"");
  }
  constexpr std::array kLevels = { "trace", "debug", "info", "warning", "error" };
  if (std::find(kLevels.begin(), kLevels.end(), aSettings.mLogLevel) == kLevels.end()) {
    return Fail(SettingsError::BadValue, "log_level",
                "expected one of trace, debug, info, warning, error");
  }
  return {};
}

} // namespace

std::error_code make_error_code(SettingsError aError)
{
  static constexpr std::array<const char*, 8> kMessages = {
    "success",           "cannot read the settings file",
    "malformed JSON",    "unknown setting",
    "missing setting",   "wrong type",
    "malformed address", "invalid value"
  };
  static const EnumCategory sCategory("balsammount.settings", kMessages);
  return { static_cast<int>(aError), sCategory };
}

Result<NodeSettings> ParseNodeSettings(std::string_view aText)
{
  Json document;
  try {
    document = Json::parse(aText, nullptr, true, true);
  } catch (const Json::parse_error& error) {
    return Failure{ SettingsError::MalformedJson, error.what() };
  }
  if (!document.is_object()) {
    return Failure{ SettingsError::WrongType, "expected a JSON object" };
  }
  NodeSettings settings;
  for (const Setting& setting : kSettings) {
    const auto found = document.find(setting.mName);
    if (found == document.end()) {
      if (setting.mRequired) {
        return Failure{ SettingsError::MissingSetting, setting.mName };
      }
      continue;
    }
    const auto result =
      std::visit([&](auto aMember) { return Assign(settings.*aMember, setting.mName, *found); },
                 setting.mMember);
    if (!result) {
      return result.error();
    }
    document.erase(found);
  }
  if (!document.empty()) {
    return Failure{ SettingsError::UnknownSetting, document.begin().key() };
  }
  if (auto result = CheckValues(settings); !result) {
    return result.error();
  }
  return settings;
}

Result<NodeSettings> ReadNodeSettings(const std::string& aPath, const SettingsParser& aParse)
{
  std::ifstream file(aPath);
  if (!file) {
    return Failure{ SettingsError::Unreadable, aPath };
  }
  const std::string text{ std::istreambuf_iterator<char>(file), {} };
  auto settings = aParse(text);
  if (!settings) {
    return Failure{ settings.error().mCode, aPath + ": " + settings.error().mDetail };
  }
  return settings;
}

} // namespace balsammount
