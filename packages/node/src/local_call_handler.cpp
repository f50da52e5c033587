#include "local_call_handler.h"

#include "balsammount/event.h"

namespace balsammount {

namespace {

// Limits the memory for routes that are no longer in the configuration.
constexpr size_t kMaxRoutes = 1024;

} // namespace

bool LocalCallHandler::StartsChains(const CallContext& aContext)
{
  if (aContext.mRoute.empty()) {
    return false;
  }
  if (aContext.mCallerService == mService && mChainStartRoutes.size() < kMaxRoutes) {
    mChainStartRoutes.insert(aContext.mRoute);
  }
  return mChainStartRoutes.contains(aContext.mRoute);
}

std::shared_ptr<Call> LocalCallHandler::Handle(CallContext aContext, HttpRequest aRequest,
                                               RequestBudget aBudget, CallResultCallback aCallback)
{
  if (aContext.mService != mService) {
    // The sender has an outdated record of this node.
    aCallback(Refused(CallReason::Unavailable, std::move(aBudget)));
    return FinishedCall();
  }
  if (mQuarantine.IsQuarantined(aContext.mFingerprint)) {
    Event("quarantine", "held")
      .Add("request", aContext.mRequestId)
      .Add("fingerprint", aContext.mFingerprint);
    aCallback(Refused(CallReason::Quarantined, std::move(aBudget),
                      mQuarantine.RetryAfter(aContext.mFingerprint)));
    return FinishedCall();
  }
  if (mOwnership && !aContext.mKey.empty() && !aContext.mIdempotent) {
    return mOwnership->Handle(std::move(aContext), std::move(aRequest), std::move(aBudget),
                              std::move(aCallback));
  }
  const bool startsChains = StartsChains(aContext);
  return mExecutor.Execute(std::move(aContext), std::move(aRequest), std::move(aBudget),
                           [startsChains, callback = std::move(aCallback)](CallResult aResult) {
                             aResult.mStartsChains = startsChains;
                             callback(std::move(aResult));
                           });
}

} // namespace balsammount
