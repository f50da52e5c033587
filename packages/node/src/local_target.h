// Takes the calls for this node's own backend server, from other nodes and from this one.
#pragma once

#include "call_target.h"
#include "executor.h"
#include "quarantine_service.h"

#include <set>
#include <string>

namespace balsammount {

class LocalTarget final : public CallTarget
{
public:
  // aOwner takes the calls that have an idempotency key and must run at most once; null where keys
  // are not used.
  LocalTarget(const NodeSettings& aSettings, Executor& aExecutor, CallTarget* aOwner,
              const QuarantineService& aQuarantine)
    : mService(aSettings.mService)
    , mExecutor(aExecutor)
    , mOwner(aOwner)
    , mQuarantine(aQuarantine)
  {
  }

  std::shared_ptr<Call> Handle(CallContext aContext, HttpRequest aRequest, RequestBudget aBudget,
                               AnswerCallback aCallback) override;

private:
  // Backend servers do not call their own service. A route that is used from instances of the
  // service that it leads to is used by callers, which start chains of calls with it.
  bool StartsChains(const CallContext& aContext);

  std::string mService;
  std::set<std::string> mChainStarts; // routes
  Executor& mExecutor;
  CallTarget* mOwner;
  const QuarantineService& mQuarantine;
};

} // namespace balsammount
