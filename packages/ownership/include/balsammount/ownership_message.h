// Messages between the ownership cores of a service, encoded as MessagePack.
#pragma once

#include "balsammount/ownership_table.h"

#include <variant>

namespace balsammount {

// Chunks of records, the largest single record and tables are all smaller.
inline constexpr size_t kMaxMessageBytes = 1024 * 1024;

using TablePtr = std::shared_ptr<const OwnershipTable>;

struct ConfirmRequest
{
  uint64_t mId = 0;
  uint64_t mVersion = 0;   // 0: the sender has no table
  bool mFromStore = false; // respond with a read of the store that starts after this arrived

  bool operator==(const ConfirmRequest&) const = default;
};

enum class ConfirmOutcome : uint8_t
{
  Confirmed,   // a voter confirms the version, or a reader has read mVersion from the store
  Stale,       // a later version exists or was promised
  Unavailable, // not a reader or voter, the store failed, or the version is not known here yet
};

struct ConfirmResponse
{
  uint64_t mId = 0;
  ConfirmOutcome mOutcome = ConfirmOutcome::Unavailable;
  uint64_t mVersion = 0; // 0: the store holds no table
  TablePtr mTable;       // null unless newer than the version in the request
};

struct ReleaseRequest
{
  uint64_t mVersion = 0; // the receiver shall confirm no lower version

  bool operator==(const ReleaseRequest&) const = default;
};

struct ReleaseResponse
{
  uint64_t mPromised = 0; // the sender confirms no lower version any more

  bool operator==(const ReleaseResponse&) const = default;
};

struct HandoverChunk
{
  uint64_t mHandover = 0;
  ShardId mShard = 0;
  uint32_t mIndex = 0;
  bool mLast = false;
  std::optional<ShardCutoff> mCutoff;
  std::vector<KeyRecord> mRecords;
};

struct HandoverResponse
{
  uint64_t mHandover = 0;
  ShardId mShard = 0;
  uint32_t mIndex = 0;
  bool mAccepted = false;

  bool operator==(const HandoverResponse&) const = default;
};

struct TableRequest
{
  uint64_t mVersion = 0; // the receiver responds if it has a later one

  bool operator==(const TableRequest&) const = default;
};

struct TableResponse
{
  TablePtr mTable;
};

using OwnershipBody = std::variant<ConfirmRequest, ConfirmResponse, ReleaseRequest, ReleaseResponse,
                                   HandoverChunk, HandoverResponse, TableRequest, TableResponse>;

struct OwnershipMessage
{
  std::string mService;
  NodeIdentity mFrom;
  uint64_t mToIncarnation = 0; // 0: any
  OwnershipBody mBody;
};

Result<std::string> EncodeMessage(const OwnershipMessage& aMessage);
Result<OwnershipMessage> DecodeMessage(std::string_view aBytes);

} // namespace balsammount
