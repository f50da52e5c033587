#include "balsammount/freshness_tree.h"

namespace balsammount {

TreePosition FindTreePosition(const NodeRecord& aSelf, const std::vector<NodeRecord>& aOthers,
                              const std::set<std::string>& aSilent)
{
  const NodeRecord* firstOfFleet = nullptr;
  for (const NodeRecord& node : aOthers) {
    if (node.mNodeId >= aSelf.mNodeId) {
      break;
    }
    if (node.mLeaving || aSilent.contains(node.mNodeId)) {
      continue;
    }
    if (!firstOfFleet) {
      firstOfFleet = &node;
    }
    if (node.mDataCentre == aSelf.mDataCentre) {
      const bool isFirstOfFleet = &node == firstOfFleet;
      return { isFirstOfFleet ? size_t{ 1 } : size_t{ 2 }, node.mNodeId };
    }
  }
  return firstOfFleet ? TreePosition{ 1, firstOfFleet->mNodeId } : TreePosition{};
}

} // namespace balsammount
