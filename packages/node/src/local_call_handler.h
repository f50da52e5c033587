// Handles calls from this and other nodes to the backend server beside this node.
#pragma once

#include "call_handler.h"
#include "executor.h"
#include "quarantine_service.h"

#include <set>
#include <string>

namespace balsammount {

class LocalCallHandler final : public CallHandler
{
public:
  // aOwnership handles calls that have an idempotency key and must run at most once; null in a
  // deployment without keys.
  LocalCallHandler(const NodeSettings& aSettings, Executor& aExecutor, CallHandler* aOwnership,
                   const QuarantineService& aQuarantine)
    : mService(aSettings.mService)
    , mExecutor(aExecutor)
    , mOwnership(aOwnership)
    , mQuarantine(aQuarantine)
  {
  }

  std::shared_ptr<Call> Handle(CallContext aContext, HttpRequest aRequest, RequestBudget aBudget,
                               CallResultCallback aCallback) override;

private:
  // Returns whether callers start call chains with the route of the call. Backend servers do not
  // call their own service, so a route is used by callers if a call on it has come from an instance
  // of the called service.
  bool StartsChains(const CallContext& aContext);

  std::string mService;
  std::set<std::string> mChainStartRoutes;
  Executor& mExecutor;
  CallHandler* mOwnership;
  const QuarantineService& mQuarantine;
};

} // namespace balsammount
