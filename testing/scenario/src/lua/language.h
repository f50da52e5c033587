// Runs a scenario file.
#pragma once

#include "balsammount/cluster.h"

#include <string>

namespace balsammount {

// Returns the failure with its file and line, or an empty string when every expectation held.
std::string RunScenario(Cluster& aCluster, const std::string& aFile, uint64_t aSeed);

} // namespace balsammount
