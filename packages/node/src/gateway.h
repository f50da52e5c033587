// Takes requests of callers and of the backend server beside this node, gives them their context,
// and forwards them.
#pragma once

#include "call_handler.h"
#include "executor.h"
#include "metrics.h"

#include "balsammount/config.h"
#include "balsammount/entry_throttle.h"
#include "balsammount/header_names.h"
#include "balsammount/random.h"
#include "balsammount/recent_overload.h"
#include "balsammount/recent_refusals.h"
#include "balsammount/weighted_split.h"

#include <map>
#include <memory>
#include <string>

namespace balsammount {

class Gateway final : public Service
{
public:
  Gateway(const Clock& aClock, Random& aRandom, const NodeSettings& aSettings,
          RecentOverload& aOverload, const HeaderNames& aNames, Executor& aExecutor,
          CallHandler& aCallHandler, Metrics& aMetrics);

  void HandleCaller(const std::shared_ptr<Exchange>& aExchange);
  void HandleEgress(const std::shared_ptr<Exchange>& aExchange);

  void ApplyConfig(const std::shared_ptr<const Config>& aConfig, uint64_t aRevision);

  // Requests that came in here and are not answered yet.
  size_t Pending() const { return mPending; }

private:
  // Fills in the context of a request that starts a call chain; nothing when it was answered.
  std::optional<CallContext> EntryContext(Exchange& aExchange, std::string_view aCaller);
  void HandleEntry(const std::shared_ptr<Exchange>& aExchange, std::string_view aCaller);
  bool UsesRoutes() const { return mConfig && !mConfig->Routes().empty(); }
  // How long the caller waits, at most aBound; nothing when it was answered for a malformed header.
  std::optional<std::chrono::milliseconds> CallerTimeout(Exchange& aExchange,
                                                         std::chrono::milliseconds aMaxTimeout);
  // A request under a configuration with routes.
  void HandleRouted(const std::shared_ptr<Exchange>& aExchange);
  std::optional<CallContext> RoutedContext(const HttpRequest& aRequest, const RoutePolicy& aRoute,
                                           std::chrono::milliseconds aTimeout);
  // False when the request was refused, because too many chains of its route fail.
  bool AdmitByThrottle(Exchange& aExchange, const CallContext& aContext,
                       std::chrono::milliseconds aTargetLatency);
  void UpdateThrottle(const CallContext& aContext, const CallResult& aResult, Duration aElapsed);
  const std::string& ChooseService(const RoutePolicy& aRoute);
  void Reject(Exchange& aExchange, unsigned aStatus, std::string_view aText);
  // Why and how a request ended, when it was not answered by a backend server.
  void LogFailure(const CallContext& aContext, const CallResult& aResult, Duration aElapsed) const;
  void HandleSubCall(const std::shared_ptr<Exchange>& aExchange,
                     const std::shared_ptr<InFlightRequest>& aParent);
  // Sees an answer before the caller does, and may change it.
  using ResultHook = std::function<void(const CallContext&, CallResult&)>;
  void Forward(const std::shared_ptr<Exchange>& aExchange, CallContext aContext,
               RequestBudget aBudget, ResultHook aOnResult);
  std::string NewRequestId();

  const Clock& mClock;
  Random& mRandom;
  NodeSettings mSettings;
  RecentOverload& mOverload;
  const HeaderNames& mNames;
  Executor& mExecutor;
  CallHandler& mCallHandler;
  Metrics& mMetrics;
  std::shared_ptr<const Config> mConfig;
  CallerBudget mCallerBudget;
  std::map<std::string, WeightedSplit> mSplits; // by route
  // By route; only routes that start chains of calls have one.
  EntryThrottles mThrottles;
  RecentRefusals mRefusals;
  uint64_t mIdPrefix;
  uint64_t mNextId = 1;
  uint64_t mRevision = 0;
  size_t mPending = 0;
};

} // namespace balsammount
