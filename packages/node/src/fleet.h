// The nodes of the fleet, whichever way they were found.
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
