// Wire format of the membership protocol. A datagram is a MessagePack array
// [version, cluster, type, sequence, sender, revision, holder, body, records]:
//
//  Ping         body [target id]
//  PingRequest  body [target id, target address, target port]
//  Ack, Nack    body []; the sequence is that of the ping or ping request
//  Gossip       body []
//  Sync         body [low, high, digest]; a range of id hashes, 12 digest bytes per record in it
//  SyncReply    body [through, wanted]; the last id hash covered, 8 bytes per requested id hash;
//               the body is empty when more datagrams of the reply follow
//
// A record is [id, start, incarnation, flags, address, port, data centre, service, revision],
// followed by the reporter for a suspect or the time of death for a dead member. The short form,
// for receivers that know the process, is [hash of the id, low 32 bits of the start, incarnation,
// flags, revision] with the same additions. It is about a third of the size.
#pragma once

#include "balsammount/membership.h"

namespace balsammount::detail {

enum class MessageType : uint8_t
{
  Ping = 1,
  PingRequest,
  Ack,
  Nack,
  Gossip,
  Sync,
  SyncReply,
};

struct RecordUpdate
{
  MemberRecord mRecord;
  uint32_t mReporter = 0; // low 32 bits of the id hash of the member that suspects it
  int64_t mDeadAtMs = 0;  // wall clock
  // Set in the short form, where mRecord has only the low 32 bits of the start, the incarnation,
  // the state, the flags and the revision.
  std::optional<uint64_t> mIdHash;

  bool operator==(const RecordUpdate&) const = default;
};

struct DigestEntry
{
  uint64_t mIdHash = 0;
  uint32_t mVersion = 0;

  bool operator==(const DigestEntry&) const = default;
};

struct Message
{
  MessageType mType = MessageType::Gossip;
  uint64_t mSequence = 0;
  std::string mFrom;
  uint64_t mRevision = 0;
  std::string mHolder; // empty when unknown
  std::string mTarget;
  Endpoint mTargetEndpoint;
  uint64_t mLow = 0;
  uint64_t mHigh = 0;
  std::vector<DigestEntry> mDigest;
  std::optional<uint64_t> mThrough;
  std::vector<uint64_t> mRequested;
  std::vector<RecordUpdate> mRecords;

  bool operator==(const Message&) const = default;
};

inline constexpr size_t kMaxId = 64;
inline constexpr size_t kMaxDataCentre = 32;
inline constexpr size_t kMaxService = 64;
inline constexpr size_t kMaxAddress = 45;
inline constexpr size_t kDigestEntryBytes = 12;
inline constexpr size_t kIdHashBytes = 8;

uint32_t ClusterHash(std::string_view aCluster);

std::vector<uint8_t> Encode(const Message& aMessage, uint32_t aCluster);
Result<Message> Decode(std::span<const uint8_t> aBytes, uint32_t aCluster);

// Number of bytes that the record adds to a datagram.
size_t EncodedSize(const RecordUpdate& aUpdate);

} // namespace balsammount::detail
