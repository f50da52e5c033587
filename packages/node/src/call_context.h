// Context that travels with a request from the entry node to every hop, and the result of a call.
#pragma once

#include "balsammount/clock.h"
#include "balsammount/exchange.h"
#include "balsammount/header_names.h"
#include "balsammount/retry.h"
#include "balsammount/store.h"

#include <functional>
#include <optional>
#include <string>

namespace balsammount {

struct CallContext
{
  std::string mRequestId; // of this hop; the backend server repeats it on its sub-calls
  std::string mService;
  std::string mRank;
  std::string mKey;           // idempotency key of the caller; empty: none
  std::string mRoute;         // empty in a configuration without routes
  std::string mCallerService; // service of the instance that received the request
  bool mIdempotent = false;
  bool mIsRoot = false; // the call chain starts at this node; not sent to other nodes
  uint64_t mCallerHash = 0;
  uint64_t mRequestHash = 0; // of the root request, so that all hops shed the same requests
  uint64_t mFingerprint = 0; // of this hop's method, path, key and body
  SteadyTime mDeadline{};
  // The deadline on the wall clock. Prevents the execution of a request that a frozen node sends
  // long after the deadline, when the record of its key may have expired. Not sent with a request
  // that may run twice.
  WallTime mExpires = WallTime::max();
};

// Fingerprint of a request at one hop; it is equal on all nodes that handle the request for the
// same service.
uint64_t FingerprintOf(const std::string& aService, std::string_view aKey,
                       const HttpRequest& aRequest);

// Why a call was not run or its outcome is unknown. Sent to callers in the Balsam-Reason header.
enum class CallReason : uint8_t
{
  None,
  Overload,             // refused by admission control or by the shed level
  Deadline,             // cannot finish or did not finish before the deadline
  Draining,             // the backend server or its node is leaving
  Unavailable,          // no upstream, or the backend server is down
  Quarantined,          // the request has crashed backend servers
  ParentGone,           // the parent request of this sub-call is no longer in flight
  RetryBudget,          // the caller has retried the request too often
  ConnectionLost,       // lost after the request was dispatched
  KeyUnknown,           // an earlier attempt with this key may have run
  KeyMismatch,          // the key was used for a different request
  KeyMemoryFull,        // no memory is left to record another key
  OwnershipUnconfirmed, // the node cannot confirm that it owns the key's shard
  ConfigMissing,        // the node has no configuration yet
  TooLarge,
};

const char* ToString(CallReason aReason);
std::optional<CallReason> ParseCallReason(std::string_view aName);

// What a node has seen of the store. It states this with every response to another node.
struct StoreView
{
  uint64_t mConfigRevision = 0; // in force; 0: none
  uint64_t mConfigDigest = 0;   // of its text; 0: unknown
  // Time from when that was known to be the newest configuration until the arrival of the request
  // to which the node responds; negative if it was later. Nullopt: unknown.
  std::optional<Duration> mConfigAge;
  Revision mListRevision = 0; // of the last change of the node list; 0: unknown

  bool operator==(const StoreView&) const = default;
};

// Result of a call at one hop.
struct CallResult
{
  AttemptOutcome mOutcome = AttemptOutcome::NotRun;
  CallReason mReason = CallReason::None;
  HttpResponse mResponse;               // set when the outcome is Complete
  Duration mRetryAfter{};               // zero: none
  RequestBudget mBudget;                // retries that were not used
  uint32_t mShedLevel = 0;              // of the node that executed or refused the call
  Duration mServiceTime{};              // measured by the executing node; not sent to other nodes
  bool mLeaving = false;                // the executing node accepts no new requests
  std::optional<Duration> mOverloadAge; // since the last lack of capacity, here or downstream
  bool mStartsChains = false;           // the route is used by callers, not only by backend servers
  bool mReachedServer = false; // the request was sent to a backend server, even if it did not run
  bool mCallFailed = false;    // the backend server failed it because of one of its own calls
  StoreView mStoreView;        // of the executing node
  uint32_t mLoadPercent = 0;   // requests at the executing node in percent of its server's slots
};

using CallResultCallback = std::function<void(CallResult)>;

// Whether a node with spare capacity refused the call because too little time was left for it.
bool IsDeadlineRefusal(const CallResult& aResult);
// Whether the call was refused because the backend server or its node lacked capacity.
bool IsCapacityRefusal(const CallResult& aResult);

CallResult Refused(CallReason aReason, RequestBudget aBudget, Duration aRetryAfter = {});
CallResult Unknown(CallReason aReason, RequestBudget aBudget);

// Writes the context as headers between nodes. Values that differ with every request do not
// compress on the links between data centres, so those that the receiver can derive are left out:
// the fingerprint, and the request hash if it is the hash of the request id.
void WriteContext(const CallContext& aContext, uint32_t aRetries, SteadyTime aNow,
                  Headers& aHeaders);

struct ReceivedContext
{
  CallContext mContext;
  uint32_t mRetries = 0;
};
// Returns nullopt if a header is missing or malformed.
std::optional<ReceivedContext> ReadContext(const HttpRequest& aRequest, SteadyTime aNow);

// Removes all headers that only nodes may set.
void RemoveInternalHeaders(Headers& aHeaders);

// Replaces the request id in the headers of a backend server's response by one character for the
// transfer between nodes, because the receiving node knows it from the context.
void ShortenRequestId(std::string_view aRequestId, const HeaderNames& aNames, Headers& aHeaders);
void RestoreRequestId(std::string_view aRequestId, const HeaderNames& aNames, Headers& aHeaders);

void WriteStoreView(const StoreView& aView, Headers& aHeaders);
// Returns a default value for each header that is missing or malformed.
StoreView ReadStoreView(const Headers& aHeaders);

// Conversion to and from the responses between nodes.
HttpResponse EncodeCallResult(CallResult aResult);
CallResult DecodeCallResult(HttpResponse aResponse);

// The response to the caller: that of the backend server, or else status, outcome, reason and
// Retry-After.
HttpResponse CallerResponse(CallResult aResult, const HeaderNames& aNames = {});

} // namespace balsammount
