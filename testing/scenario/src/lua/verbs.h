// The verbs of the scenario language that act on the cluster; see README.md.
#pragma once

#include "balsammount/cluster.h"

#include <span>

namespace balsammount {

// The arguments are a JSON array. Throws std::runtime_error or a JSON exception.
using VerbFunction = nlohmann::json (*)(Cluster&, const nlohmann::json&);

struct Verb
{
  const char* mName;
  VerbFunction mFunction;
};

std::span<const Verb> Verbs();

} // namespace balsammount
