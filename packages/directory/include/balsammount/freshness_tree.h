// The tree in which nodes ask each other for the age of their configuration. It follows from the
// list of nodes: the first node of the fleet is above the first node of each data centre, which is
// above the other nodes of that data centre. Nodes with different lists may disagree on it, which
// costs no more than a question without an answer.
#pragma once

#include "balsammount/directory.h"

#include <set>

namespace balsammount {

struct TreePosition
{
  size_t mDepth = 0;
  std::string mAbove; // id of the node to ask; empty at depth 0

  bool operator==(const TreePosition&) const = default;
};

// aOthers is ordered by id. Nodes that are leaving or in aSilent are left out.
TreePosition FindTreePosition(const NodeRecord& aSelf, const std::vector<NodeRecord>& aOthers,
                              const std::set<std::string>& aSilent = {});

} // namespace balsammount
