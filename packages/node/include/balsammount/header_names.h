// Names of the headers that a node exchanges with callers and backend servers.
#pragma once

#include <string>

namespace balsammount {

// The defaults are the product's own names. Another deployment may have names of its own; an empty
// name means that the header is neither sent nor read.
struct HeaderNames
{
  // Towards callers and backend servers.
  std::string mRequestId = "Balsam-Request-Id";
  std::string mDeadline = "Balsam-Deadline-Ms"; // remaining time in ms
  std::string mRank = "Balsam-Rank";            // to backend servers only
  std::string mOutcome = "Balsam-Outcome";      // to callers only
  std::string mReason = "Balsam-Reason";        // to callers only

  // Towards the backend server.
  std::string mCallerService;  // service of the instance where the request came in
  std::string mExpectedServer; // id of the backend server that may run the request

  // From the backend server.
  std::string mNotExecuted; // it did not run the request
  std::string mServerStamp; // marks an answer that a backend server made

  // The caller's request id is unique per attempt, and goes on to the backend server, which repeats
  // it in its answer. Otherwise every hop makes its own.
  bool mKeepRequestId = false;
  // Retry-After may hold fractions of a second. Otherwise it is rounded up.
  bool mFractionalRetryAfter = false;

  bool operator==(const HeaderNames&) const = default;
};

} // namespace balsammount
