#include "wire.h"

#include "balsammount/hash.h"

#include <nlohmann/json.hpp>

#include <algorithm>
#include <array>

namespace balsammount::detail {

namespace {

using Json = nlohmann::json;

constexpr uint64_t kVersion = 1;
constexpr size_t kMessageFields = 9;
constexpr size_t kRecordFields = 9;
constexpr size_t kShortRecordFields = 5;

// Limits that keep sums from overflowing: the year 2500, and more incarnations than a process can
// reach.
constexpr uint64_t kMaxMillis = 16'725'225'600'000;
constexpr uint64_t kMaxIncarnation = uint64_t{ 1 } << 53;

constexpr uint64_t kStateMask = 3;
constexpr uint64_t kLeavingFlag = 4;
constexpr uint64_t kAvailableFlag = 8;
constexpr uint64_t kAllFlags = 15;

// Values on the wire. Leaving is a separate flag.
enum : uint64_t
{
  WireAlive = 0,
  WireSuspect = 1,
  WireDead = 2,
};

struct InvalidField
{
  const char* mName;
};

uint64_t ReadUnsigned(const Json& aValue, uint64_t aMax, const char* aName)
{
  if (!aValue.is_number_unsigned() || aValue.get<uint64_t>() > aMax) {
    throw InvalidField{ aName };
  }
  return aValue.get<uint64_t>();
}

std::string ReadText(const Json& aValue, size_t aMin, size_t aMax, const char* aName)
{
  if (!aValue.is_string()) {
    throw InvalidField{ aName };
  }
  const auto& text = aValue.get_ref<const std::string&>();
  const bool printable =
    std::all_of(text.begin(), text.end(), [](char aChar) { return aChar > ' ' && aChar <= '~'; });
  if (text.size() < aMin || text.size() > aMax || !printable) {
    throw InvalidField{ aName };
  }
  return text;
}

const Json& ReadArray(const Json& aValue, size_t aMin, size_t aMax, const char* aName)
{
  if (!aValue.is_array() || aValue.size() < aMin || aValue.size() > aMax) {
    throw InvalidField{ aName };
  }
  return aValue;
}

Endpoint ReadEndpoint(const Json& aAddress, const Json& aPort)
{
  Endpoint endpoint{ ReadText(aAddress, 2, kMaxAddress, "address"),
                     static_cast<uint16_t>(ReadUnsigned(aPort, 65535, "port")) };
  constexpr std::string_view kAddressCharacters = "0123456789abcdefABCDEF:.";
  if (endpoint.mAddress.find_first_not_of(kAddressCharacters) != std::string::npos) {
    throw InvalidField{ "address" };
  }
  return endpoint;
}

template <class T>
void Append(std::vector<uint8_t>& aBytes, T aValue)
{
  for (size_t i = 0; i < sizeof(T); ++i) {
    aBytes.push_back(static_cast<uint8_t>(aValue >> (8 * i)));
  }
}

template <class T>
T Extract(const std::vector<uint8_t>& aBytes, size_t aOffset)
{
  T value = 0;
  for (size_t i = 0; i < sizeof(T); ++i) {
    value |= static_cast<T>(static_cast<T>(aBytes[aOffset + i]) << (8 * i));
  }
  return value;
}

const std::vector<uint8_t>& ReadBinary(const Json& aValue, size_t aUnit, const char* aName)
{
  if (!aValue.is_binary() || aValue.get_binary().size() % aUnit != 0) {
    throw InvalidField{ aName };
  }
  return aValue.get_binary();
}

uint64_t EncodeFlags(const MemberRecord& aRecord)
{
  uint64_t state = WireAlive;
  if (aRecord.mState == MemberState::Suspect) {
    state = WireSuspect;
  } else if (aRecord.mState == MemberState::Dead) {
    state = WireDead;
  }
  return state | (aRecord.mLeaving ? kLeavingFlag : 0) | (aRecord.mAvailable ? kAvailableFlag : 0);
}

Json ToJson(const RecordUpdate& aUpdate)
{
  const MemberRecord& record = aUpdate.mRecord;
  Json json =
    aUpdate.mIdHash
      ? Json::array({ *aUpdate.mIdHash, static_cast<uint32_t>(record.mStartMs), record.mIncarnation,
                      EncodeFlags(record), record.mRevision })
      : Json::array({ record.mId, static_cast<uint64_t>(record.mStartMs), record.mIncarnation,
                      EncodeFlags(record), record.mPeer.mAddress, record.mPeer.mPort,
                      record.mDataCentre, record.mService, record.mRevision });
  if (record.mState == MemberState::Suspect) {
    json.push_back(aUpdate.mReporter);
  } else if (record.mState == MemberState::Dead) {
    json.push_back(static_cast<uint64_t>(aUpdate.mDeadAtMs));
  }
  return json;
}

void ReadFlags(uint64_t aFlags, MemberRecord& aRecord)
{
  aRecord.mLeaving = (aFlags & kLeavingFlag) != 0;
  aRecord.mAvailable = (aFlags & kAvailableFlag) != 0;
  switch (aFlags & kStateMask) {
    case WireAlive:
      aRecord.mState = aRecord.mLeaving ? MemberState::Leaving : MemberState::Alive;
      break;
    case WireSuspect:
      aRecord.mState = MemberState::Suspect;
      break;
    case WireDead:
      aRecord.mState = MemberState::Dead;
      break;
    default:
      throw InvalidField{ "state" };
  }
}

RecordUpdate ReadRecord(const Json& aValue)
{
  ReadArray(aValue, kShortRecordFields, kRecordFields + 1, "record");
  const bool isShort = aValue.size() <= kShortRecordFields + 1;
  const size_t fields = isShort ? kShortRecordFields : kRecordFields;
  if (aValue.size() < fields) {
    throw InvalidField{ "record" };
  }
  RecordUpdate update;
  MemberRecord& record = update.mRecord;
  ReadFlags(ReadUnsigned(aValue[3], kAllFlags, "flags"), record);
  record.mIncarnation = ReadUnsigned(aValue[2], kMaxIncarnation, "incarnation");
  record.mRevision = ReadUnsigned(aValue[fields - 1], UINT64_MAX, "revision");
  if (isShort) {
    update.mIdHash = ReadUnsigned(aValue[0], UINT64_MAX, "position");
    record.mStartMs = static_cast<int64_t>(ReadUnsigned(aValue[1], UINT32_MAX, "start"));
  } else {
    record.mId = ReadText(aValue[0], 1, kMaxId, "id");
    record.mStartMs = static_cast<int64_t>(ReadUnsigned(aValue[1], kMaxMillis, "start"));
    record.mPeer = ReadEndpoint(aValue[4], aValue[5]);
    record.mDataCentre = ReadText(aValue[6], 0, kMaxDataCentre, "data centre");
    record.mService = ReadText(aValue[7], 0, kMaxService, "service");
  }
  const bool suspect = record.mState == MemberState::Suspect;
  const bool dead = record.mState == MemberState::Dead;
  if ((aValue.size() > fields) != (suspect || dead)) {
    throw InvalidField{ "state" };
  }
  if (suspect) {
    update.mReporter = static_cast<uint32_t>(ReadUnsigned(aValue[fields], UINT32_MAX, "accuser"));
  } else if (dead) {
    update.mDeadAtMs =
      static_cast<int64_t>(ReadUnsigned(aValue[fields], kMaxMillis, "time of death"));
  }
  return update;
}

Json EncodeBody(const Message& aMessage)
{
  Json body = Json::array();
  std::vector<uint8_t> bytes;
  switch (aMessage.mType) {
    case MessageType::Ping:
      body.push_back(aMessage.mTarget);
      break;
    case MessageType::PingRequest:
      body = Json::array(
        { aMessage.mTarget, aMessage.mTargetEndpoint.mAddress, aMessage.mTargetEndpoint.mPort });
      break;
    case MessageType::Sync:
      for (const DigestEntry& entry : aMessage.mDigest) {
        Append(bytes, entry.mIdHash);
        Append(bytes, entry.mVersion);
      }
      body = Json::array({ aMessage.mLow, aMessage.mHigh, Json::binary(std::move(bytes)) });
      break;
    case MessageType::SyncReply:
      if (aMessage.mThrough) {
        for (const uint64_t idHash : aMessage.mRequested) {
          Append(bytes, idHash);
        }
        body = Json::array({ *aMessage.mThrough, Json::binary(std::move(bytes)) });
      }
      break;
    case MessageType::Ack:
    case MessageType::Nack:
    case MessageType::Gossip:
      break;
  }
  return body;
}

void ReadSync(const Json& aBody, Message& aMessage)
{
  ReadArray(aBody, 3, 3, "body");
  aMessage.mLow = ReadUnsigned(aBody[0], UINT64_MAX, "low");
  aMessage.mHigh = ReadUnsigned(aBody[1], UINT64_MAX, "high");
  const auto& bytes = ReadBinary(aBody[2], kDigestEntryBytes, "digest");
  for (size_t i = 0; i < bytes.size(); i += kDigestEntryBytes) {
    aMessage.mDigest.push_back(
      { Extract<uint64_t>(bytes, i), Extract<uint32_t>(bytes, i + kIdHashBytes) });
  }
}

void ReadSyncReply(const Json& aBody, Message& aMessage)
{
  if (aBody.empty()) {
    return;
  }
  ReadArray(aBody, 2, 2, "body");
  aMessage.mThrough = ReadUnsigned(aBody[0], UINT64_MAX, "through");
  const auto& bytes = ReadBinary(aBody[1], kIdHashBytes, "wanted");
  for (size_t i = 0; i < bytes.size(); i += kIdHashBytes) {
    aMessage.mRequested.push_back(Extract<uint64_t>(bytes, i));
  }
}

void ReadBody(const Json& aBody, Message& aMessage)
{
  ReadArray(aBody, 0, 3, "body");
  switch (aMessage.mType) {
    case MessageType::Ping:
      aMessage.mTarget = ReadText(ReadArray(aBody, 1, 1, "body")[0], 1, kMaxId, "target");
      break;
    case MessageType::PingRequest:
      ReadArray(aBody, 3, 3, "body");
      aMessage.mTarget = ReadText(aBody[0], 1, kMaxId, "target");
      aMessage.mTargetEndpoint = ReadEndpoint(aBody[1], aBody[2]);
      break;
    case MessageType::Sync:
      ReadSync(aBody, aMessage);
      break;
    case MessageType::SyncReply:
      ReadSyncReply(aBody, aMessage);
      break;
    case MessageType::Ack:
    case MessageType::Nack:
    case MessageType::Gossip:
      ReadArray(aBody, 0, 0, "body");
      break;
  }
}

Message ReadMessage(const Json& aJson)
{
  Message message;
  message.mType = static_cast<MessageType>(
    ReadUnsigned(aJson[2], static_cast<uint64_t>(MessageType::SyncReply), "type"));
  if (static_cast<uint64_t>(message.mType) == 0) {
    throw InvalidField{ "type" };
  }
  message.mSequence = ReadUnsigned(aJson[3], UINT64_MAX, "sequence");
  message.mFrom = ReadText(aJson[4], 1, kMaxId, "sender");
  message.mRevision = ReadUnsigned(aJson[5], UINT64_MAX, "revision");
  message.mHolder = ReadText(aJson[6], 0, kMaxId, "holder");
  ReadBody(aJson[7], message);
  for (const Json& value : ReadArray(aJson[8], 0, kMaxMembershipDatagram, "records")) {
    message.mRecords.push_back(ReadRecord(value));
  }
  return message;
}

size_t MsgpackSize(uint64_t aValue)
{
  if (aValue < 128) {
    return 1;
  }
  if (aValue <= UINT8_MAX) {
    return 2;
  }
  if (aValue <= UINT16_MAX) {
    return 3;
  }
  return aValue <= UINT32_MAX ? 5 : 9;
}

size_t MsgpackSize(const std::string& aText)
{
  return aText.size() + (aText.size() < 32 ? 1 : 2);
}

} // namespace

uint32_t ClusterHash(std::string_view aCluster)
{
  return static_cast<uint32_t>(Hash64(aCluster));
}

size_t EncodedSize(const RecordUpdate& aUpdate)
{
  const MemberRecord& record = aUpdate.mRecord;
  size_t size =
    2 + MsgpackSize(record.mIncarnation) + MsgpackSize(record.mRevision); // array header and flags
  if (aUpdate.mIdHash) {
    size += MsgpackSize(*aUpdate.mIdHash) +
            MsgpackSize(uint64_t{ static_cast<uint32_t>(record.mStartMs) });
  } else {
    size += MsgpackSize(record.mId) + MsgpackSize(static_cast<uint64_t>(record.mStartMs)) +
            MsgpackSize(record.mPeer.mAddress) + MsgpackSize(uint64_t{ record.mPeer.mPort }) +
            MsgpackSize(record.mDataCentre) + MsgpackSize(record.mService);
  }
  if (record.mState == MemberState::Suspect) {
    size += MsgpackSize(uint64_t{ aUpdate.mReporter });
  } else if (record.mState == MemberState::Dead) {
    size += MsgpackSize(static_cast<uint64_t>(aUpdate.mDeadAtMs));
  }
  return size;
}

std::vector<uint8_t> Encode(const Message& aMessage, uint32_t aCluster)
{
  Json records = Json::array();
  for (const RecordUpdate& update : aMessage.mRecords) {
    records.push_back(ToJson(update));
  }
  return Json::to_msgpack(Json::array(
    { kVersion, aCluster, static_cast<uint64_t>(aMessage.mType), aMessage.mSequence, aMessage.mFrom,
      aMessage.mRevision, aMessage.mHolder, EncodeBody(aMessage), std::move(records) }));
}

Result<Message> Decode(std::span<const uint8_t> aBytes, uint32_t aCluster)
{
  if (aBytes.size() > kMaxMembershipDatagram) {
    return Failure{ MembershipError::TooLarge, std::to_string(aBytes.size()) + " bytes" };
  }
  const Json json = Json::from_msgpack(aBytes.begin(), aBytes.end(), true, false);
  if (json.is_discarded()) {
    return Failure{ MembershipError::BadEncoding, {} };
  }
  if (!json.is_array() || json.empty() || !json[0].is_number_unsigned()) {
    return Failure{ MembershipError::Malformed, "no version" };
  }
  if (json[0].get<uint64_t>() != kVersion) {
    return Failure{ MembershipError::BadVersion, json[0].dump() };
  }
  if (json.size() != kMessageFields || !json[1].is_number_unsigned()) {
    return Failure{ MembershipError::Malformed, "fields" };
  }
  if (json[1].get<uint64_t>() != aCluster) {
    return Failure{ MembershipError::WrongCluster, {} };
  }
  try {
    return ReadMessage(json);
  } catch (const InvalidField& invalid) {
    return Failure{ MembershipError::Malformed, invalid.mName };
  }
}

} // namespace balsammount::detail

namespace balsammount {

std::error_code make_error_code(MembershipError aError)
{
  static constexpr std::array<const char*, 6> kMessages = { "success",
                                                            "not MessagePack",
                                                            "malformed datagram",
                                                            "unsupported protocol version",
                                                            "datagram too large",
                                                            "datagram of another cluster" };
  static const EnumCategory sCategory("balsammount.membership", kMessages);
  return { static_cast<int>(aError), sCategory };
}

std::string_view ToString(MemberState aState)
{
  static constexpr std::array<std::string_view, 4> kNames = { "alive", "suspect", "leaving",
                                                              "dead" };
  return kNames.at(static_cast<size_t>(aState));
}

} // namespace balsammount
