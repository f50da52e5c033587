#include "balsammount/quarantine.h"

#include <nlohmann/json.hpp>

#include <algorithm>
#include <array>
#include <limits>
#include <map>
#include <optional>

namespace balsammount {

namespace {

using Json = nlohmann::json;

constexpr uint64_t kVersion = 1;
constexpr int kMaxDepth = 5;

// Year 2500. No node sends later times, and the limit keeps sums from overflowing.
constexpr WallMillis kMaxMillis = 16'725'225'600'000;

// Accepts only what a message may contain, so that the parser neither recurses deeply nor allocates
// memory for lengths that exceed the input.
class StructureCheck final : public nlohmann::json_sax<Json>
{
public:
  bool null() override { return false; }
  bool boolean(bool /*aValue*/) override { return false; }
  bool number_integer(number_integer_t /*aValue*/) override { return false; }
  bool number_unsigned(number_unsigned_t /*aValue*/) override { return true; }
  bool number_float(number_float_t /*aValue*/, const string_t& /*aText*/) override { return false; }
  bool string(string_t& /*aValue*/) override { return false; }
  bool binary(binary_t& /*aValue*/) override { return false; }
  bool start_object(size_t /*aSize*/) override { return false; }
  bool key(string_t& /*aValue*/) override { return false; }
  bool end_object() override { return false; }
  bool start_array(size_t aSize) override
  {
    return ++mDepth <= kMaxDepth && aSize <= kMaxCrashes * kMaxRecordsPerMessage;
  }
  bool end_array() override
  {
    --mDepth;
    return true;
  }
  bool parse_error(size_t /*aPosition*/, const std::string& /*aToken*/,
                   const nlohmann::detail::exception& /*aError*/) override
  {
    mBadEncoding = true;
    return false;
  }
  bool BadEncoding() const { return mBadEncoding; }

private:
  int mDepth = 0;
  bool mBadEncoding = false;
};

bool IsArray(const Json& aValue, size_t aSize)
{
  return aValue.is_array() && aValue.size() == aSize;
}

std::optional<WallMillis> ReadMillis(const Json& aValue)
{
  if (!aValue.is_number_unsigned() || aValue.get<uint64_t>() > kMaxMillis) {
    return std::nullopt;
  }
  return static_cast<WallMillis>(aValue.get<uint64_t>());
}

struct Crash
{
  uint64_t mServer = 0;
  WallMillis mAt = 0;
};

std::optional<std::vector<Crash>> ReadCrashes(const Json& aValue)
{
  std::vector<Crash> crashes;
  crashes.reserve(aValue.size());
  for (const Json& value : aValue) {
    if (!IsArray(value, 2) || !value[0].is_number_unsigned()) {
      return std::nullopt;
    }
    const auto at = ReadMillis(value[1]);
    if (!at) {
      return std::nullopt;
    }
    crashes.push_back({ value[0].get<uint64_t>(), *at });
  }
  return crashes;
}

std::optional<CrashEvidence> ReadEvidence(const Json& aValue, const std::vector<Crash>& aCrashes)
{
  if (!IsArray(aValue, 3) || !aValue[0].is_number_unsigned() ||
      aValue[0].get<uint64_t>() >= aCrashes.size()) {
    return std::nullopt;
  }
  const Crash& crash = aCrashes[aValue[0].get<uint64_t>()];
  const auto sinceStart = ReadMillis(aValue[1]);
  const auto untilCleared = ReadMillis(aValue[2]);
  if (!sinceStart || !untilCleared || *sinceStart > crash.mAt) {
    return std::nullopt;
  }
  return CrashEvidence{ crash.mAt, crash.mServer, crash.mAt - *sinceStart,
                        *untilCleared == 0 ? 0 : crash.mAt + *untilCleared - 1 };
}

std::optional<SuspectRecord> ReadRecord(const Json& aValue, const std::vector<Crash>& aCrashes)
{
  if (!IsArray(aValue, 3) || !aValue[0].is_number_unsigned() || !aValue[2].is_array() ||
      aValue[2].size() > kMaxCrashes) {
    return std::nullopt;
  }
  const auto released = ReadMillis(aValue[1]);
  if (!released) {
    return std::nullopt;
  }
  SuspectRecord record{ Fingerprint{ aValue[0].get<uint64_t>() }, *released, {} };
  for (const Json& value : aValue[2]) {
    const auto evidence = ReadEvidence(value, aCrashes);
    if (!evidence) {
      return std::nullopt;
    }
    record.mCrashes.push_back(*evidence);
  }
  return record;
}

uint64_t Unsigned(WallMillis aValue)
{
  return static_cast<uint64_t>(std::max<WallMillis>(0, aValue));
}

} // namespace

std::error_code make_error_code(QuarantineError aError)
{
  static constexpr std::array<const char*, 5> kMessages = {
    "success", "not MessagePack", "unsupported version of suspect records",
    "malformed suspect records", "message too large"
  };
  static const EnumCategory sCategory("balsammount.quarantine", kMessages);
  return { static_cast<int>(aError), sCategory };
}

std::vector<uint8_t> EncodeSuspects(std::span<const SuspectRecord> aRecords)
{
  Json crashes = Json::array();
  Json records = Json::array();
  std::map<std::pair<uint64_t, WallMillis>, uint64_t> indexes;
  for (const SuspectRecord& record : aRecords) {
    Json evidence = Json::array();
    for (const CrashEvidence& crash : record.mCrashes) {
      const auto [entry, inserted] =
        indexes.try_emplace({ crash.mServer, crash.mAt }, crashes.size());
      if (inserted) {
        crashes.push_back(Json::array({ crash.mServer, Unsigned(crash.mAt) }));
      }
      evidence.push_back(
        Json::array({ entry->second, Unsigned(crash.mAt - crash.mStarted),
                      crash.mClearedAt == 0 ? 0 : Unsigned(crash.mClearedAt - crash.mAt + 1) }));
    }
    records.push_back(Json::array({ static_cast<uint64_t>(record.mFingerprint),
                                    Unsigned(record.mReleasedAt), std::move(evidence) }));
  }
  return Json::to_msgpack(Json::array({ kVersion, std::move(crashes), std::move(records) }));
}

Result<std::vector<SuspectRecord>> DecodeSuspects(std::span<const uint8_t> aBytes)
{
  if (aBytes.size() > kMaxQuarantineMessage) {
    return Failure{ QuarantineError::TooLarge, std::to_string(aBytes.size()) + " bytes" };
  }
  StructureCheck check;
  if (!Json::sax_parse(aBytes.begin(), aBytes.end(), &check, Json::input_format_t::msgpack)) {
    return Failure{ check.BadEncoding() ? QuarantineError::BadEncoding : QuarantineError::Malformed,
                    {} };
  }
  const Json message = Json::from_msgpack(aBytes.begin(), aBytes.end(), true, false);
  if (message.is_discarded()) {
    return Failure{ QuarantineError::BadEncoding, {} };
  }
  if (!message.is_array() || message.empty() || !message[0].is_number_unsigned()) {
    return Failure{ QuarantineError::Malformed, "no version" };
  }
  if (message[0].get<uint64_t>() != kVersion) {
    return Failure{ QuarantineError::BadVersion, message[0].dump() };
  }
  if (message.size() != 3 || !message[1].is_array() || !message[2].is_array()) {
    return Failure{ QuarantineError::Malformed, "no deaths or records" };
  }
  if (message[2].size() > kMaxRecordsPerMessage) {
    return Failure{ QuarantineError::TooLarge, std::to_string(message[2].size()) + " records" };
  }
  const auto crashes = ReadCrashes(message[1]);
  if (!crashes) {
    return Failure{ QuarantineError::Malformed, "death" };
  }
  std::vector<SuspectRecord> records;
  records.reserve(message[2].size());
  for (const Json& value : message[2]) {
    auto record = ReadRecord(value, *crashes);
    if (!record) {
      return Failure{ QuarantineError::Malformed, "record " + std::to_string(records.size()) };
    }
    records.push_back(std::move(*record));
  }
  return records;
}

} // namespace balsammount
