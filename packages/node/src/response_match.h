// Decides whether a response of the backend server belongs to the request that waits for one, and
// whether it proves that the request did not run.
#pragma once

#include "balsammount/header_names.h"
#include "balsammount/http_client.h"

#include <string_view>

namespace balsammount {

// Returns whether the backend server states in the response that it did not run the request. This
// holds for the request that the response belongs to, see MatchResponse.
bool StatesNotRun(const HeaderNames& aNames, const HttpResponse& aResponse);

// Compares the request id that the backend server repeats. Returns Own for every response if the
// deployment does not keep request ids.
ResponseMatch MatchResponse(const HeaderNames& aNames, std::string_view aRequestId,
                            const HttpResponse& aResponse);

} // namespace balsammount
