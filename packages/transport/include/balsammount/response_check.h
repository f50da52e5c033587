// Decides whether a response is valid, by RFC 9110. Whoever takes a response from a backend server,
// the store or another node asks here before it delivers the response; one that is not valid is a
// failure. How the end of the body is found depends on the protocol and is checked there.
#pragma once

#include "balsammount/exchange.h"

#include <optional>
#include <string>

namespace balsammount {

// Returns true for interim responses such as 100 Continue, which precede the final response.
bool IsInterim(const HttpResponse& aResponse);

// Returns why the status or a field is not valid, or nullopt. No request asks for another protocol,
// so 101 is not valid.
std::optional<std::string> ResponseFault(const HttpResponse& aResponse);

// Returns the failure of a call whose response is not valid, and logs it.
Failure InvalidResponse(const std::string& aPeer, const std::string& aFault);

} // namespace balsammount
