#include "local_target.h"

#include "balsammount/event.h"

namespace balsammount {

std::shared_ptr<Call> LocalTarget::Handle(CallContext aContext, HttpRequest aRequest,
                                          RequestBudget aBudget, AnswerCallback aCallback)
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
  if (mOwner && !aContext.mKey.empty() && !aContext.mIdempotent) {
    return mOwner->Handle(std::move(aContext), std::move(aRequest), std::move(aBudget),
                          std::move(aCallback));
  }
  return mExecutor.Execute(std::move(aContext), std::move(aRequest), std::move(aBudget),
                           std::move(aCallback));
}

} // namespace balsammount
