// The ownership table of a service: the value under /balsammount/owners/SERVICE in the store.
#pragma once

#include "balsammount/key_memory.h"

#include <nlohmann/json_fwd.hpp>

#include <tuple>

namespace balsammount {

inline constexpr size_t kMaxTableBytes = 64 * 1024;
inline constexpr size_t kMaxVoters = 9;
inline constexpr size_t kMaxEarlierVoterSets = 4;
inline constexpr size_t kMaxNodeNameBytes = 128;

// One process. The incarnation is fixed when the process starts and grows with each start of the
// node; it is not the counter that membership raises to refute a suspicion.
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
  NodeIdentity mOwner;        // no node name: unassigned
  uint64_t mSinceVersion = 0; // version since which it owns
  uint64_t mHandover = 0;     // id of the handover that gave it the records, 0 after a takeover

  bool operator==(const ShardOwner&) const = default;
};

// Voters of earlier versions that may still confirm one of them.
struct EarlierVoters
{
  uint64_t mLast = 0; // last version that they may confirm
  std::vector<NodeIdentity> mVoters;

  bool operator==(const EarlierVoters&) const = default;
};

struct OwnershipTable
{
  std::string mService;
  uint64_t mVersion = 0; // grows by one with each change
  std::vector<ShardOwner> mShards;
  std::vector<NodeIdentity> mVoters;
  // An owner that took over has to be released by a majority of each of these.
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
