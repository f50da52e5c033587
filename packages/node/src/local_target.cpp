#include "local_target.h"

namespace balsammount {

namespace {

class NoCall final : public Call
{
public:
  void Cancel() override {}
};

} // namespace

std::shared_ptr<Call> LocalTarget::Handle(CallContext aContext, HttpRequest aRequest,
                                          RequestBudget aBudget, AnswerCallback aCallback)
{
  if (aContext.mService != mService) {
    // The sender has an outdated record of this node.
    aCallback(Refused(CallReason::Unavailable, std::move(aBudget)));
    return std::make_shared<NoCall>();
  }
  return mExecutor.Execute(std::move(aContext), std::move(aRequest), std::move(aBudget),
                           std::move(aCallback));
}

} // namespace balsammount
