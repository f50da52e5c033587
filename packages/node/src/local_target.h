// Takes the calls for this node's own backend server, from other nodes and from this one.
#pragma once

#include "call_target.h"
#include "executor.h"
#include "quarantine_service.h"

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
  std::string mService;
  Executor& mExecutor;
  CallTarget* mOwner;
  const QuarantineService& mQuarantine;
};

} // namespace balsammount
