// What travels with a request from the entry node to every hop, and how a call ends.
#pragma once

#include "balsammount/clock.h"
#include "balsammount/exchange.h"
#include "balsammount/header_names.h"
#include "balsammount/retry.h"

#include <functional>
#include <optional>
#include <string>

namespace balsammount {

struct CallContext
{
  std::string mRequestId; // of this hop; the backend server repeats it on its own calls
  std::string mService;
  std::string mRank;
  std::string mKey;           // idempotency key of the caller; empty when none
  std::string mRoute;         // name of the route; empty without routes
  std::string mCallerService; // service of the instance where the request came in
  bool mIdempotent = false;
  bool mIsRoot = false; // starts its call chain at this node; not sent to other nodes
  uint64_t mCallerHash = 0;
  uint64_t mRequestHash = 0; // of the root request, so that every hop sheds the same requests
  uint64_t mFingerprint = 0; // of this hop's method, path, key and body
  SteadyTime mDeadline{};
  // The deadline on the wall clock. A request that a frozen node sends long afterwards must not
  // run: the record of its key may have been forgotten. Not sent with a request that may run twice.
  WallTime mExpires = WallTime::max();
};

// Of a request at one hop; the same at every hop of the same service.
uint64_t FingerprintOf(const std::string& aService, std::string_view aKey,
                       const HttpRequest& aRequest);

// Why a call was not run or its end is not known. Sent in the Balsam-Reason header.
enum class CallReason : uint8_t
{
  None,
  Overload,             // refused by admission or by the shed level
  Deadline,             // cannot finish, or did not finish, before the deadline
  Draining,             // the backend server or its node is leaving
  Unavailable,          // no upstream, or the backend server is down
  Quarantined,          // the request has crashed backend servers
  ParentGone,           // the request that this call belongs to is no longer in flight
  RetryBudget,          // the caller has resent the request too often
  ConnectionLost,       // after dispatch
  KeyUnknown,           // an earlier attempt with this key may have run
  KeyMismatch,          // the key was used with another request
  KeyMemoryFull,        // no new keyed request can be recorded
  OwnershipUnconfirmed, // the node cannot confirm that it owns the key's shard
  ConfigMissing,        // the node has no configuration yet
  TooLarge,
};

const char* ToString(CallReason aReason);
std::optional<CallReason> ParseCallReason(std::string_view aName);

// How a call ended at one hop.
struct CallResult
{
  AttemptOutcome mOutcome = AttemptOutcome::NotRun;
  CallReason mReason = CallReason::None;
  HttpResponse mResponse;               // set when the outcome is Complete
  Duration mRetryAfter{};               // zero: no advice
  RequestBudget mBudget;                // retries that were not spent
  uint32_t mShedLevel = 0;              // of the node that executed or refused it
  Duration mServiceTime{};              // measured by the executing node; not sent to others
  bool mLeaving = false;                // the executing node takes no new work
  std::optional<Duration> mOverloadAge; // since a lack of capacity was seen, here or further down
  bool mStartsChains = false;   // callers send requests of this route, not only backend servers
  bool mReachedServer = false;  // the request was sent to a backend server, whether it ran or not
  uint64_t mConfigRevision = 0; // in force at the executing node; 0: not stated
  uint32_t mLoadPercent = 0;    // requests at the executing node per 100 slots of its server
};

using CallResultCallback = std::function<void(CallResult)>;

// Refused for too little time by a node that has room: the request is late, not the node full.
bool IsDeadlineRefusal(const CallResult& aResult);
// Refused because the backend server or its node had no room.
bool IsCapacityRefusal(const CallResult& aResult);

CallResult Refused(CallReason aReason, RequestBudget aBudget, Duration aRetryAfter = {});
CallResult Unknown(CallReason aReason, RequestBudget aBudget);

// Metadata headers between nodes. What differs with every request costs bytes on the links between
// data centres, so what the receiver can derive is left out: the fingerprint, and the hash of a
// request that is its id's.
void WriteContext(const CallContext& aContext, uint32_t aRetries, SteadyTime aNow,
                  Headers& aHeaders);

struct ReceivedContext
{
  CallContext mContext;
  uint32_t mRetries = 0;
};
// Nothing when a header is missing or malformed.
std::optional<ReceivedContext> ReadContext(const HttpRequest& aRequest, SteadyTime aNow);

// Removes every header that only the nodes may set.
void RemoveInternalHeaders(Headers& aHeaders);

// Between nodes the context tells the request id, so the header of a backend server's answer that
// repeats it is sent as one character.
void ShortenRequestId(std::string_view aRequestId, const HeaderNames& aNames, Headers& aHeaders);
void RestoreRequestId(std::string_view aRequestId, const HeaderNames& aNames, Headers& aHeaders);

// The configuration revision that a node states with every answer to another; 0: not stated.
void WriteConfigRevision(uint64_t aRevision, Headers& aHeaders);
uint64_t ReadConfigRevision(const Headers& aHeaders);

// Between nodes.
HttpResponse EncodeCallResult(CallResult aResult);
CallResult DecodeCallResult(HttpResponse aResponse);

// Towards callers: status, outcome, reason and Retry-After, or the backend server's own answer.
HttpResponse CallerResponse(CallResult aResult, const HeaderNames& aNames = {});

} // namespace balsammount
