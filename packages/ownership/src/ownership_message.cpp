#include "balsammount/ownership_message.h"

#include <nlohmann/json.hpp>

namespace balsammount {

namespace {

using nlohmann::json;
using std::chrono::milliseconds;

constexpr uint64_t kFormat = 1;
// Messages nest up to 6 levels deep. The MessagePack parser recurses, so the depth is checked
// first.
constexpr int kMaxDepth = 12;
constexpr size_t kMaxHeaders = 256;

class DepthCheck final : public nlohmann::json_sax<json>
{
public:
  bool null() override { return true; }
  bool boolean(bool /*aValue*/) override { return true; }
  bool number_integer(number_integer_t /*aValue*/) override { return true; }
  bool number_unsigned(number_unsigned_t /*aValue*/) override { return true; }
  bool number_float(number_float_t /*aValue*/, const string_t& /*aText*/) override { return true; }
  bool string(string_t& /*aValue*/) override { return true; }
  bool binary(binary_t& /*aValue*/) override { return true; }
  bool start_object(std::size_t /*aCount*/) override { return ++mDepth <= kMaxDepth; }
  bool key(string_t& /*aValue*/) override { return true; }
  bool end_object() override { return --mDepth >= 0; }
  bool start_array(std::size_t /*aCount*/) override { return ++mDepth <= kMaxDepth; }
  bool end_array() override { return --mDepth >= 0; }
  bool parse_error(std::size_t /*aPosition*/, const std::string& /*aToken*/,
                   const json::exception& /*aError*/) override
  {
    return false;
  }

private:
  int mDepth = 0;
};

Failure Malformed(const char* aWhat)
{
  return { OwnershipError::Malformed, std::string("ownership message: ") + aWhat };
}

// Reads the elements of an array in order. After an element of a wrong type, all later reads fail.
class ArrayReader
{
public:
  explicit ArrayReader(const json& aArray)
    : mArray(aArray)
    , mOk(aArray.is_array())
  {
  }
  bool Ok() const { return mOk && mNext == mArray.size(); }
  void Fail() { mOk = false; }

  const json& Next()
  {
    static const json sNull;
    if (!mOk || mNext >= mArray.size()) {
      mOk = false;
      return sNull;
    }
    return mArray[mNext++];
  }
  uint64_t Integer(uint64_t aMax = UINT64_MAX)
  {
    const json& value = Next();
    if (!value.is_number_unsigned() || value.get<uint64_t>() > aMax) {
      mOk = false;
      return 0;
    }
    return value.get<uint64_t>();
  }
  bool Boolean()
  {
    const json& value = Next();
    mOk = mOk && value.is_boolean();
    return mOk && value.get<bool>();
  }
  // Strings are encoded as binary, because keys and bodies may be invalid UTF-8.
  std::string Bytes()
  {
    const json& value = Next();
    if (!value.is_binary()) {
      mOk = false;
      return {};
    }
    const auto& bytes = value.get_binary();
    return { bytes.begin(), bytes.end() };
  }
  TablePtr Table()
  {
    const json& value = Next();
    if (value.is_null()) {
      return nullptr;
    }
    auto table = detail::TableFromJson(value);
    if (!table) {
      mOk = false;
      return nullptr;
    }
    return std::make_shared<const OwnershipTable>(std::move(*table));
  }

private:
  const json& mArray;
  size_t mNext = 0;
  bool mOk;
};

json Binary(std::string_view aBytes)
{
  return json::binary({ aBytes.begin(), aBytes.end() });
}

json TableOrNull(const TablePtr& aTable)
{
  return aTable ? detail::TableToJson(*aTable) : json();
}

json RecordToJson(const KeyRecord& aRecord)
{
  json response;
  if (aRecord.mResponse) {
    json headers = json::array();
    for (const auto& [name, value] : aRecord.mResponse->mHeaders) {
      headers.push_back(json::array({ Binary(name), Binary(value) }));
    }
    response = json::array({ static_cast<uint64_t>(aRecord.mResponse->mStatus), std::move(headers),
                             Binary(aRecord.mResponse->mBody) });
  }
  return json::array({ Binary(aRecord.mCaller), Binary(aRecord.mKey), aRecord.mFingerprint,
                       static_cast<uint64_t>(aRecord.mState), std::move(response),
                       static_cast<uint64_t>(aRecord.mRemaining.count()) });
}

bool ReadResponse(const json& aValue, std::shared_ptr<const RecordedResponse>& aTarget)
{
  ArrayReader reader(aValue);
  RecordedResponse response;
  response.mStatus = static_cast<int>(reader.Integer(999));
  const json& headers = reader.Next();
  if (!headers.is_array() || headers.size() > kMaxHeaders) {
    return false;
  }
  for (const json& header : headers) {
    ArrayReader fields(header);
    std::string name = fields.Bytes();
    std::string value = fields.Bytes();
    if (!fields.Ok()) {
      return false;
    }
    response.mHeaders.emplace_back(std::move(name), std::move(value));
  }
  response.mBody = reader.Bytes();
  aTarget = std::make_shared<const RecordedResponse>(std::move(response));
  return reader.Ok();
}

// Limits that keep durations and times from overflowing the receiver's clock arithmetic.
constexpr uint64_t kMaxRemainingMs = 30ULL * 24 * 3600 * 1000;
constexpr uint64_t kMaxWallMs = uint64_t{ 1 } << 43U;

bool ReadRecord(const json& aValue, KeyRecord& aRecord)
{
  ArrayReader reader(aValue);
  aRecord.mCaller = reader.Bytes();
  aRecord.mKey = reader.Bytes();
  aRecord.mFingerprint = reader.Integer();
  aRecord.mState = static_cast<KeyState>(reader.Integer(static_cast<uint64_t>(KeyState::Unknown)));
  const json& response = reader.Next();
  aRecord.mRemaining = milliseconds(reader.Integer(kMaxRemainingMs));
  const bool completed = aRecord.mState == KeyState::Completed;
  return reader.Ok() && aRecord.mState != KeyState::Running && completed != response.is_null() &&
         (!completed || ReadResponse(response, aRecord.mResponse));
}

json ToJson(const ConfirmRequest& aBody)
{
  return json::array({ aBody.mId, aBody.mVersion, aBody.mFromStore });
}

void Read(ArrayReader& aReader, ConfirmRequest& aBody)
{
  aBody.mId = aReader.Integer();
  aBody.mVersion = aReader.Integer();
  aBody.mFromStore = aReader.Boolean();
}

json ToJson(const ConfirmResponse& aBody)
{
  return json::array({ aBody.mId, static_cast<uint64_t>(aBody.mOutcome), aBody.mVersion,
                       TableOrNull(aBody.mTable) });
}

void Read(ArrayReader& aReader, ConfirmResponse& aBody)
{
  aBody.mId = aReader.Integer();
  aBody.mOutcome = static_cast<ConfirmOutcome>(
    aReader.Integer(static_cast<uint64_t>(ConfirmOutcome::Unavailable)));
  aBody.mVersion = aReader.Integer();
  aBody.mTable = aReader.Table();
}

json ToJson(const ReleaseRequest& aBody)
{
  return json::array({ aBody.mVersion });
}

void Read(ArrayReader& aReader, ReleaseRequest& aBody)
{
  aBody.mVersion = aReader.Integer();
}

json ToJson(const ReleaseResponse& aBody)
{
  return json::array({ aBody.mPromised });
}

void Read(ArrayReader& aReader, ReleaseResponse& aBody)
{
  aBody.mPromised = aReader.Integer();
}

json ToJson(const HandoverChunk& aBody)
{
  json records = json::array();
  for (const KeyRecord& record : aBody.mRecords) {
    records.push_back(RecordToJson(record));
  }
  json cutoff;
  if (aBody.mCutoff) {
    const auto takeover =
      std::chrono::ceil<milliseconds>(aBody.mCutoff->mTakeover.time_since_epoch());
    cutoff = json::array({ static_cast<uint64_t>(takeover.count()),
                           static_cast<uint64_t>(aBody.mCutoff->mRemaining.count()) });
  }
  return json::array({ aBody.mHandover, aBody.mShard, aBody.mIndex, aBody.mLast, std::move(cutoff),
                       std::move(records) });
}

void Read(ArrayReader& aReader, HandoverChunk& aBody)
{
  aBody.mHandover = aReader.Integer();
  aBody.mShard = static_cast<ShardId>(aReader.Integer(kShardCount - 1));
  aBody.mIndex = static_cast<uint32_t>(aReader.Integer(UINT32_MAX));
  aBody.mLast = aReader.Boolean();
  if (const json& value = aReader.Next(); !value.is_null()) {
    ArrayReader cutoff(value);
    const WallTime takeover(milliseconds(cutoff.Integer(kMaxWallMs)));
    aBody.mCutoff = ShardCutoff{ takeover, milliseconds(cutoff.Integer(kMaxRemainingMs)) };
    if (!cutoff.Ok()) {
      aReader.Fail();
    }
  }
  const json& records = aReader.Next();
  if (!records.is_array()) {
    aReader.Fail();
    return;
  }
  for (const json& record : records) {
    if (!ReadRecord(record, aBody.mRecords.emplace_back())) {
      aReader.Fail();
      return;
    }
  }
}

json ToJson(const HandoverResponse& aBody)
{
  return json::array({ aBody.mHandover, aBody.mShard, aBody.mIndex, aBody.mAccepted });
}

void Read(ArrayReader& aReader, HandoverResponse& aBody)
{
  aBody.mHandover = aReader.Integer();
  aBody.mShard = static_cast<ShardId>(aReader.Integer(kShardCount - 1));
  aBody.mIndex = static_cast<uint32_t>(aReader.Integer(UINT32_MAX));
  aBody.mAccepted = aReader.Boolean();
}

json ToJson(const TableRequest& aBody)
{
  return json::array({ aBody.mVersion });
}

void Read(ArrayReader& aReader, TableRequest& aBody)
{
  aBody.mVersion = aReader.Integer();
}

json ToJson(const TableResponse& aBody)
{
  return json::array({ TableOrNull(aBody.mTable) });
}

void Read(ArrayReader& aReader, TableResponse& aBody)
{
  aBody.mTable = aReader.Table();
  if (!aBody.mTable) {
    aReader.Fail();
  }
}

template <size_t I = 0>
bool ReadBody(size_t aKind, const json& aValue, OwnershipBody& aTarget)
{
  if constexpr (I < std::variant_size_v<OwnershipBody>) {
    if (aKind != I) {
      return ReadBody<I + 1>(aKind, aValue, aTarget);
    }
    ArrayReader reader(aValue);
    Read(reader, aTarget.emplace<I>());
    return reader.Ok();
  }
  return false;
}

} // namespace

Result<std::string> EncodeMessage(const OwnershipMessage& aMessage)
{
  json body = std::visit([](const auto& aBody) { return ToJson(aBody); }, aMessage.mBody);
  const json value = json::array({ kFormat, aMessage.mBody.index(), Binary(aMessage.mService),
                                   Binary(aMessage.mFrom.mNode), aMessage.mFrom.mIncarnation,
                                   aMessage.mToIncarnation, std::move(body) });
  std::string bytes;
  json::to_msgpack(value, bytes);
  if (bytes.size() > kMaxMessageBytes) {
    return Failure{ OwnershipError::TooLarge, std::to_string(bytes.size()) + " bytes" };
  }
  return bytes;
}

Result<OwnershipMessage> DecodeMessage(std::string_view aBytes)
{
  if (aBytes.size() > kMaxMessageBytes) {
    return Failure{ OwnershipError::TooLarge, std::to_string(aBytes.size()) + " bytes" };
  }
  DepthCheck check;
  if (!json::sax_parse(aBytes, &check, json::input_format_t::msgpack)) {
    return Malformed("not MessagePack or nested too deeply");
  }
  const json value = json::from_msgpack(aBytes, true, false);
  ArrayReader reader(value);
  const uint64_t format = reader.Integer();
  if (format != kFormat) {
    return value.is_array() && !value.empty() && value[0].is_number_unsigned()
             ? Failure{ OwnershipError::UnsupportedFormat, std::to_string(format) }
             : Malformed("format is missing or not an integer");
  }
  OwnershipMessage message;
  const size_t kind = reader.Integer();
  message.mService = reader.Bytes();
  message.mFrom.mNode = reader.Bytes();
  message.mFrom.mIncarnation = reader.Integer();
  message.mToIncarnation = reader.Integer();
  const json& body = reader.Next();
  if (!reader.Ok() || message.mFrom.mNode.empty() ||
      message.mFrom.mNode.size() > kMaxNodeNameBytes) {
    return Malformed("the envelope is invalid");
  }
  if (!ReadBody(kind, body, message.mBody)) {
    return Malformed("the body is invalid");
  }
  return message;
}

} // namespace balsammount
