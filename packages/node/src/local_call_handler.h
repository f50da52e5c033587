// Takes the calls for this node's own backend server, from other nodes and from this one.
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
  // aOwner takes the calls that have an idempotency key and must run at most once; null where keys
  // are not used.
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
  // Backend servers do not call their own service. A route that is used from instances of the
  // service that it leads to is used by callers, which start chains of calls with it.
  bool StartsChains(const CallContext& aContext);

  std::string mService;
  std::set<std::string> mChainStartRoutes; // routes
  Executor& mExecutor;
  CallHandler* mOwnership;
  const QuarantineService& mQuarantine;
};

} // namespace balsammount
