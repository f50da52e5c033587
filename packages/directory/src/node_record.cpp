#include "balsammount/directory.h"

#include <nlohmann/json.hpp>

#include <algorithm>
#include <array>
#include <limits>
#include <variant>

namespace balsammount {

namespace {

using Json = nlohmann::json;

struct Field
{
  const char* mName;
  std::variant<std::string NodeRecord::*, uint64_t NodeRecord::*, uint32_t NodeRecord::*,
               uint16_t NodeRecord::*, bool NodeRecord::*>
    mMember;
};

constexpr std::array kFields = {
  Field{ "node", &NodeRecord::mNodeId },
  Field{ "started", &NodeRecord::mStarted },
  Field{ "sequence", &NodeRecord::mSequence },
  Field{ "address", &NodeRecord::mAddress },
  Field{ "port", &NodeRecord::mPort },
  Field{ "service", &NodeRecord::mService },
  Field{ "data_centre", &NodeRecord::mDataCentre },
  Field{ "server", &NodeRecord::mServerId },
  Field{ "server_started", &NodeRecord::mServerStarted },
  Field{ "server_warm_until", &NodeRecord::mServerWarmUntil },
  Field{ "serving", &NodeRecord::mServing },
  Field{ "server_left", &NodeRecord::mServerLeft },
  Field{ "leaving", &NodeRecord::mLeaving },
};

bool Read(const Json& aValue, std::string& aTarget)
{
  if (!aValue.is_string()) {
    return false;
  }
  aTarget = aValue.get<std::string>();
  return true;
}

bool Read(const Json& aValue, bool& aTarget)
{
  if (!aValue.is_boolean()) {
    return false;
  }
  aTarget = aValue.get<bool>();
  return true;
}

// Numbers are times and counters. A larger one would make a record newer than all that follow.
constexpr uint64_t kMaxNumber = 9'000'000'000'000; // in ms, the year 2255

template <class T>
bool Read(const Json& aValue, T& aTarget)
{
  constexpr uint64_t kMax = std::min<uint64_t>(std::numeric_limits<T>::max(), kMaxNumber);
  if (!aValue.is_number_unsigned() || aValue.get<uint64_t>() > kMax) {
    return false;
  }
  aTarget = aValue.get<T>();
  return true;
}

Json ToJson(const NodeRecord& aRecord)
{
  Json json;
  for (const Field& field : kFields) {
    std::visit([&](auto aMember) { json[field.mName] = aRecord.*aMember; }, field.mMember);
  }
  return json;
}

// Replaces bytes that are not valid UTF-8.
std::string ToText(const Json& aJson)
{
  return aJson.dump(-1, ' ', false, Json::error_handler_t::replace);
}

Result<NodeRecord> FromJson(const Json& aJson)
{
  if (!aJson.is_object()) {
    return Failure{ DirectoryError::Malformed, "not a JSON object" };
  }
  NodeRecord record;
  for (const Field& field : kFields) {
    const auto found = aJson.find(field.mName);
    if (found == aJson.end()) {
      return Failure{ DirectoryError::MissingField, field.mName };
    }
    if (!std::visit([&](auto aMember) { return Read(*found, record.*aMember); }, field.mMember)) {
      return Failure{ DirectoryError::WrongType, field.mName };
    }
  }
  if (record.mNodeId.empty() || record.mAddress.empty()) {
    return Failure{ DirectoryError::MissingField, "node and address must not be empty" };
  }
  if (record.mPort == 0) {
    return Failure{ DirectoryError::BadValue, "port must not be 0" };
  }
  return record;
}

} // namespace

std::error_code make_error_code(DirectoryError aError)
{
  static constexpr std::array<const char*, 5> kMessages = { "success", "malformed record",
                                                            "missing field", "wrong type",
                                                            "invalid value" };
  static const EnumCategory sCategory("balsammount.directory", kMessages);
  return { static_cast<int>(aError), sCategory };
}

std::string EncodeNodeRecord(const NodeRecord& aRecord)
{
  return ToText(ToJson(aRecord));
}

Result<NodeRecord> DecodeNodeRecord(std::string_view aText)
{
  return FromJson(Json::parse(aText, nullptr, false));
}

std::string EncodeNodeRecords(const std::vector<NodeRecord>& aRecords)
{
  Json list = Json::array();
  for (const NodeRecord& record : aRecords) {
    list.push_back(ToJson(record));
  }
  return ToText(list);
}

Result<std::vector<NodeRecord>> DecodeNodeRecords(std::string_view aText, size_t& aSkipped)
{
  const Json list = Json::parse(aText, nullptr, false);
  if (!list.is_array()) {
    return Failure{ DirectoryError::Malformed, "not a JSON array" };
  }
  std::vector<NodeRecord> records;
  for (const Json& json : list) {
    if (auto record = FromJson(json)) {
      records.push_back(std::move(*record));
    } else {
      ++aSkipped;
    }
  }
  return records;
}

} // namespace balsammount
