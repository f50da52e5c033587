// Questions to a running node through its admin listener.
#pragma once

#include "output.h"

#include "balsammount/http_message.h"

#include <map>

namespace balsammount::detail {

// aNode is ADDRESS:PORT of an admin listener. A status of 400 or more is a failure.
Result<Json> QueryNode(const std::string& aNode, HttpRequest aRequest);

// Number of members by the configuration revision in force, the highest first.
Result<std::map<uint64_t, uint64_t, std::greater<>>> CountRevisions(const std::string& aNode);

} // namespace balsammount::detail
