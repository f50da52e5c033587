#include "balsammount/ownership_table.h"

#include <nlohmann/json.hpp>

#include <algorithm>

namespace balsammount {

namespace {

using nlohmann::json;

constexpr int kFormat = 1;
// JSON parsers that store numbers as doubles represent integers exactly only up to 2^53.
constexpr uint64_t kMaxInteger = uint64_t{ 1 } << 53U;
constexpr size_t kMaxNodes = kShardCount + kMaxVoters * (kMaxEarlierVoterSets + 1);

Failure Malformed(const char* aWhat)
{
  return { OwnershipError::Malformed, std::string("ownership table: ") + aWhat };
}

// Collects the nodes of a table, so that each name is stored once and referred to by index.
class NodeIndex
{
public:
  int64_t Add(const NodeIdentity& aNode)
  {
    if (aNode.mNode.empty()) {
      return -1;
    }
    const auto [place, inserted] = mIndex.emplace(aNode, mNodes.size());
    if (inserted) {
      mNodes.push_back(json::array({ aNode.mNode, aNode.mIncarnation }));
    }
    return static_cast<int64_t>(place->second);
  }
  json Add(const std::vector<NodeIdentity>& aNodes)
  {
    json indices = json::array();
    for (const NodeIdentity& node : aNodes) {
      indices.push_back(Add(node));
    }
    return indices;
  }
  json Take() { return std::move(mNodes); }

private:
  json mNodes = json::array();
  std::map<NodeIdentity, size_t> mIndex;
};

bool ReadInteger(const json& aValue, uint64_t& aTarget)
{
  if (!aValue.is_number_unsigned() || aValue.get<uint64_t>() > kMaxInteger) {
    return false;
  }
  aTarget = aValue.get<uint64_t>();
  return true;
}

bool ReadNodes(const json& aValue, std::vector<NodeIdentity>& aNodes)
{
  if (!aValue.is_array() || aValue.size() > kMaxNodes) {
    return false;
  }
  for (const json& entry : aValue) {
    NodeIdentity node;
    if (!entry.is_array() || entry.size() != 2 || !entry[0].is_string() ||
        !ReadInteger(entry[1], node.mIncarnation)) {
      return false;
    }
    node.mNode = entry[0].get<std::string>();
    if (node.mNode.empty() || node.mNode.size() > kMaxNodeNameBytes) {
      return false;
    }
    aNodes.push_back(std::move(node));
  }
  return true;
}

bool ReadVoters(const json& aValue, const std::vector<NodeIdentity>& aNodes,
                std::vector<NodeIdentity>& aVoters)
{
  if (!aValue.is_array() || aValue.empty() || aValue.size() > kMaxVoters) {
    return false;
  }
  for (const json& entry : aValue) {
    uint64_t index = 0;
    if (!ReadInteger(entry, index) || index >= aNodes.size()) {
      return false;
    }
    // A node that is listed twice would be counted twice in a majority.
    const auto same = [&](const NodeIdentity& aVoter) {
      return aVoter.mNode == aNodes[index].mNode;
    };
    if (std::ranges::any_of(aVoters, same)) {
      return false;
    }
    aVoters.push_back(aNodes[index]);
  }
  return true;
}

bool ReadShard(const json& aValue, const std::vector<NodeIdentity>& aNodes, uint64_t aVersion,
               ShardOwner& aShard)
{
  if (!aValue.is_array() || aValue.size() != 3 || !ReadInteger(aValue[1], aShard.mSinceVersion) ||
      !ReadInteger(aValue[2], aShard.mHandover) || aShard.mSinceVersion > aVersion) {
    return false;
  }
  if (aValue[0].is_number_integer() && !aValue[0].is_number_unsigned()) {
    return aValue[0].get<int64_t>() == -1;
  }
  uint64_t index = 0;
  if (!ReadInteger(aValue[0], index) || index >= aNodes.size()) {
    return false;
  }
  aShard.mOwner = aNodes[index];
  return true;
}

bool ReadEarlierVoters(const json& aValue, const std::vector<NodeIdentity>& aNodes,
                       uint64_t aVersion, EarlierVoters& aSet)
{
  return aValue.is_array() && aValue.size() == 2 && ReadInteger(aValue[0], aSet.mLast) &&
         aSet.mLast < aVersion && ReadVoters(aValue[1], aNodes, aSet.mVoters);
}

} // namespace

namespace detail {

json TableToJson(const OwnershipTable& aTable)
{
  NodeIndex nodes;
  json shards = json::array();
  for (const ShardOwner& shard : aTable.mShards) {
    shards.push_back(
      json::array({ nodes.Add(shard.mOwner), shard.mSinceVersion, shard.mHandover }));
  }
  json earlier = json::array();
  for (const EarlierVoters& set : aTable.mEarlierVoters) {
    earlier.push_back(json::array({ set.mLast, nodes.Add(set.mVoters) }));
  }
  json voters = nodes.Add(aTable.mVoters);
  return { { "format", kFormat },           { "service", aTable.mService },
           { "version", aTable.mVersion },  { "shards", std::move(shards) },
           { "voters", std::move(voters) }, { "earlier", std::move(earlier) },
           { "nodes", nodes.Take() } };
}

Result<OwnershipTable> TableFromJson(const json& aValue)
{
  if (!aValue.is_object()) {
    return Malformed("not an object");
  }
  const auto member = [&](const char* aName) -> const json& {
    static const json sNull;
    const auto found = aValue.find(aName);
    return found == aValue.end() ? sNull : *found;
  };
  if (!member("format").is_number_unsigned()) {
    return Malformed("format is missing or not an integer");
  }
  if (member("format") != kFormat) {
    return Failure{ OwnershipError::UnsupportedFormat, member("format").dump() };
  }
  OwnershipTable table;
  std::vector<NodeIdentity> nodes;
  if (!member("service").is_string()) {
    return Malformed("service is missing or not a string");
  }
  table.mService = member("service").get<std::string>();
  if (!ReadInteger(member("version"), table.mVersion) || table.mVersion == 0) {
    return Malformed("version is missing or not a positive integer");
  }
  if (!ReadNodes(member("nodes"), nodes)) {
    return Malformed("nodes are missing or invalid");
  }
  const json& shards = member("shards");
  if (!shards.is_array() || shards.empty() || shards.size() > kShardCount) {
    return Malformed("shards are missing or their number is out of range");
  }
  for (const json& entry : shards) {
    if (!ReadShard(entry, nodes, table.mVersion, table.mShards.emplace_back())) {
      return Malformed("a shard entry is invalid");
    }
  }
  if (!ReadVoters(member("voters"), nodes, table.mVoters)) {
    return Malformed("voters are missing or invalid");
  }
  const json& earlier = member("earlier");
  if (!earlier.is_array() || earlier.size() > kMaxEarlierVoterSets) {
    return Malformed("earlier voters are missing or too many");
  }
  for (const json& entry : earlier) {
    if (!ReadEarlierVoters(entry, nodes, table.mVersion, table.mEarlierVoters.emplace_back())) {
      return Malformed("an entry of the earlier voters is invalid");
    }
  }
  return table;
}

} // namespace detail

Result<std::string> EncodeTable(const OwnershipTable& aTable)
{
  // Invalid UTF-8 in names is replaced instead of throwing; DecodeTable rejects such names anyway.
  std::string text =
    detail::TableToJson(aTable).dump(-1, ' ', false, json::error_handler_t::replace);
  if (text.size() > kMaxTableBytes) {
    return Failure{ OwnershipError::TooLarge, std::to_string(text.size()) + " bytes" };
  }
  return text;
}

Result<OwnershipTable> DecodeTable(std::string_view aText)
{
  if (aText.size() > kMaxTableBytes) {
    return Failure{ OwnershipError::TooLarge, std::to_string(aText.size()) + " bytes" };
  }
  const json value = json::parse(aText, nullptr, false);
  if (value.is_discarded()) {
    return Malformed("not JSON");
  }
  return detail::TableFromJson(value);
}

} // namespace balsammount
