// Requests to the admin listener of a running node.
#pragma once

#include "output.h"

#include "balsammount/http_message.h"

#include <map>

namespace balsammount::detail {

// aNode is the ADDRESS:PORT of an admin listener. A status of 400 or above is a failure.
Result<Json> QueryNode(const std::string& aNode, HttpRequest aRequest);

// The number of members on each configuration revision, highest revision first.
Result<std::map<uint64_t, uint64_t, std::greater<>>> CountRevisions(const std::string& aNode);

} // namespace balsammount::detail
