// Takes the calls for this node's own backend server, from other nodes and from this one.
#pragma once

#include "call_target.h"
#include "executor.h"

namespace balsammount {

class LocalTarget final : public CallTarget
{
public:
  LocalTarget(const NodeSettings& aSettings, Executor& aExecutor)
    : mService(aSettings.mService)
    , mExecutor(aExecutor)
  {
  }

  std::shared_ptr<Call> Handle(CallContext aContext, HttpRequest aRequest, RequestBudget aBudget,
                               AnswerCallback aCallback) override;

private:
  std::string mService;
  Executor& mExecutor;
};

} // namespace balsammount
