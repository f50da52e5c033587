// Interface of the components that take a call and produce its result.
#pragma once

#include "call_context.h"

namespace balsammount {

class CallHandler
{
public:
  virtual ~CallHandler() = default;

  // The callback is called exactly once, perhaps before this returns, unless the call is cancelled.
  virtual std::shared_ptr<Call> Handle(CallContext aContext, HttpRequest aRequest,
                                       RequestBudget aBudget, CallResultCallback aCallback) = 0;
};

} // namespace balsammount
