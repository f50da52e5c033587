// The ownership table of a service, stored at /balsammount/owners/SERVICE.
#pragma once

#include "balsammount/key_memory.h"

#include <nlohmann/json_fwd.hpp>

#include <tuple>

namespace balsammount {

inline constexpr size_t kMaxTableBytes = 64 * 1024;
inline constexpr size_t kMaxVoters = 9;
inline constexpr size_t kMaxEarlierVoterSets = 4;
inline constexpr size_t kMaxNodeNameBytes = 128;

// Identifies one process of a node. The incarnation is fixed for the process and higher after each
// restart; it differs from the counter that membership increments to refute a suspicion.
struct NodeIdentity
{
  std::string mNode;
  uint64_t mIncarnation = 0;

  bool operator==(const NodeIdentity&) const = default;
  bool operator<(const NodeIdentity& aOther) const
  {
    return std::tie(mNode, mIncarnation) < std::tie(aOther.mNode, aOther.mIncarnation);
  }
};

struct ShardOwner
{
  NodeIdentity mOwner;        // an empty name: unassigned
  uint64_t mSinceVersion = 0; // the version that assigned the owner
  uint64_t mHandover = 0;     // id of the handover that sent it the records, 0 after a takeover

  bool operator==(const ShardOwner&) const = default;
};

// The voters of an earlier version, which may still confirm versions up to mLast.
struct EarlierVoters
{
  uint64_t mLast = 0; // the last version with these voters
  std::vector<NodeIdentity> mVoters;

  bool operator==(const EarlierVoters&) const = default;
};

struct OwnershipTable
{
  std::string mService;
  uint64_t mVersion = 0; // incremented by each change
  std::vector<ShardOwner> mShards;
  std::vector<NodeIdentity> mVoters;
  // A takeover requires releases by a majority of each of these sets.
  std::vector<EarlierVoters> mEarlierVoters;

  bool operator==(const OwnershipTable&) const = default;
};

Result<std::string> EncodeTable(const OwnershipTable& aTable);
Result<OwnershipTable> DecodeTable(std::string_view aText);

namespace detail {

nlohmann::json TableToJson(const OwnershipTable& aTable);
Result<OwnershipTable> TableFromJson(const nlohmann::json& aValue);

} // namespace detail

} // namespace balsammount
