// Names of the headers that a node exchanges with callers and backend servers.
#pragma once

#include <string>

namespace balsammount {

// The defaults are balsammount's own names; a deployment may replace them. A header with an empty
// name is neither sent nor read.
struct HeaderNames
{
  // Exchanged with callers and sent to backend servers.
  std::string mRequestId = "Balsam-Request-Id";
  std::string mDeadline = "Balsam-Deadline-Ms"; // remaining time in ms
  std::string mRank = "Balsam-Rank";            // to backend servers only
  std::string mOutcome = "Balsam-Outcome";      // to callers only
  std::string mReason = "Balsam-Reason";        // to callers only

  // To the backend server.
  std::string mCallerService;  // service of the instance that received the request
  std::string mExpectedServer; // id of the backend server that may run the request

  // From the backend server.
  std::string mNotExecuted; // set if the request was not executed
  std::string mServerStamp; // set in responses that a backend server made

  // If true, the caller's request id, which is unique per attempt, is passed on to the backend
  // server, which repeats it in its response. Otherwise every hop generates its own id.
  bool mKeepRequestId = false;
  // If true, Retry-After has fractions of a second. Otherwise it is rounded up to whole seconds.
  bool mFractionalRetryAfter = false;

  bool operator==(const HeaderNames&) const = default;
};

} // namespace balsammount
