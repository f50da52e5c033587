// Receives requests from callers and from the backend server beside this node, creates their call
// contexts and forwards them.
#pragma once

#include "call_handler.h"
#include "config_check.h"
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
  // Requests wait for this check. It must live as long as the gateway.
  void SetConfigCheck(ConfigCheck& aCheck) { mConfigCheck = &aCheck; }

  // Refuses requests of callers from now on. The calls of requests that are running are still
  // served.
  void RefuseNewRequests() { mRefusesNew = true; }

  // Requests received by this node that have not been answered yet.
  size_t Pending() const { return mPending; }

private:
  using Handler = void (Gateway::*)(const std::shared_ptr<Exchange>&, SteadyTime);
  // Handles the request when the configuration has been checked, unless its caller has left.
  void AfterCheck(const std::shared_ptr<Exchange>& aExchange, Handler aHandler);
  // The handlers receive the time at which the request arrived.
  void HandleCheckedCaller(const std::shared_ptr<Exchange>& aExchange, SteadyTime aArrived);
  void HandleCheckedEgress(const std::shared_ptr<Exchange>& aExchange, SteadyTime aArrived);
  // Rejects a request whose key or body is too long. Returns false if it has responded.
  bool IsWithinLimits(Exchange& aExchange, const ServicePolicy& aService);
  // Returns the context of a request that starts a call chain, or nullopt if the request has been
  // rejected.
  std::optional<CallContext> EntryContext(Exchange& aExchange, std::string_view aCaller,
                                          SteadyTime aArrived);
  void HandleEntry(const std::shared_ptr<Exchange>& aExchange, std::string_view aCaller,
                   SteadyTime aArrived);
  bool UsesRoutes() const { return mConfig && !mConfig->Routes().empty(); }
  // Returns the time that the caller waits, at most aMaxTimeout, or nullopt if the request has been
  // rejected because of a malformed header.
  std::optional<std::chrono::milliseconds> CallerTimeout(Exchange& aExchange,
                                                         std::chrono::milliseconds aMaxTimeout);
  // Handles a request when the configuration has routes.
  void HandleRouted(const std::shared_ptr<Exchange>& aExchange, SteadyTime aArrived);
  std::optional<CallContext> RoutedContext(const HttpRequest& aRequest, const RoutePolicy& aRoute,
                                           SteadyTime aDeadline);
  // Returns true if the request has been refused because this node is about to stop.
  bool RefuseIfStopping(Exchange& aExchange, const CallContext& aContext);
  // Returns the running request that the exchange is a call of, or null.
  std::shared_ptr<InFlightRequest> FindParent(const Exchange& aExchange, const RoutePolicy& aRoute,
                                              SteadyTime aArrived);
  // Returns false if the request has been refused because too many call chains of its route fail.
  bool AdmitByThrottle(Exchange& aExchange, const CallContext& aContext,
                       std::chrono::milliseconds aTargetLatency);
  void UpdateThrottle(const CallContext& aContext, const CallResult& aResult, Duration aElapsed);
  const std::string& ChooseService(const RoutePolicy& aRoute);
  void Reject(Exchange& aExchange, unsigned aStatus, std::string_view aText);
  // Logs a request that has ended without a successful response of a backend server.
  void LogFailure(const CallContext& aContext, const CallResult& aResult, Duration aElapsed) const;
  void HandleSubCall(const std::shared_ptr<Exchange>& aExchange,
                     const std::shared_ptr<InFlightRequest>& aParent, SteadyTime aArrived);
  // Sets when the caller stops waiting.
  void SetDeadline(CallContext& aContext, SteadyTime aDeadline) const;
  // Receives a result before the response is sent to the caller, and may change it.
  using ResultHook = std::function<void(const CallContext&, CallResult&)>;
  void Forward(const std::shared_ptr<Exchange>& aExchange, CallContext aContext,
               RequestBudget aBudget, ResultHook aOnResult);
  std::string NewRequestId();

  const Clock& mClock;
  Random& mRandom;
  NodeSettings mSettings;
  std::string mBackendAddress;
  RecentOverload& mOverload;
  const HeaderNames& mNames;
  Executor& mExecutor;
  CallHandler& mCallHandler;
  Metrics& mMetrics;
  ConfigCheck* mConfigCheck = nullptr; // null: requests do not wait
  std::shared_ptr<const Config> mConfig;
  CallerBudget mCallerBudget;
  std::map<std::string, WeightedSplit> mSplits; // by route
  // By route; only routes that start call chains have a throttle.
  EntryThrottles mThrottles;
  RecentRefusals mRefusals;
  uint64_t mIdPrefix;
  uint64_t mNextId = 1;
  uint64_t mRevision = 0;
  size_t mPending = 0;
  bool mRefusesNew = false;
};

} // namespace balsammount
