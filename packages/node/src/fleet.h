// The nodes of the fleet, independent of how they were discovered.
#pragma once

#include <functional>
#include <string>
#include <vector>

namespace balsammount {

struct FleetNode
{
  std::string mNodeId;
  std::string mService;
};

using FleetView = std::function<std::vector<FleetNode>()>;

} // namespace balsammount
