#include "peer_handler.h"

namespace balsammount {

namespace {

// Tolerated difference between the wall clocks of two nodes.
constexpr std::chrono::seconds kClockSkew{ 5 };

HttpResponse BodyResponse(unsigned aStatus, std::string aBody)
{
  HttpResponse response;
  response.mStatus = aStatus;
  response.mBody = std::move(aBody);
  return response;
}

} // namespace

void PeerHandler::Handle(const std::shared_ptr<Exchange>& aExchange)
{
  // A forwarded call keeps the caller's path, which may equal that of a control message. Only the
  // call context distinguishes them.
  if (aExchange->Request().mHeaders.Has("bm-request-id")) {
    HandleCall(aExchange);
    return;
  }
  const std::string& target = aExchange->Request().mTarget;
  if (target == "/balsammount/config" && mConfig.Holder().Value()) {
    aExchange->Respond(BodyResponse(200, *mConfig.Holder().Value()));
  } else if (mDirectory && target.starts_with(kNodesTarget)) {
    aExchange->Respond(mDirectory->HandlePeer(aExchange->Request()));
  } else if (mDirectory && target == kViewTarget) {
    aExchange->Respond(mDirectory->HandleQuestion(aExchange->Request()));
  } else if (mOwnership && target == "/balsammount/ownership") {
    const bool accepted = mOwnership->OnMessage(aExchange->Request().mBody);
    aExchange->Respond(BodyResponse(accepted ? 204 : 400, {}));
  } else if (target == "/balsammount/quarantine") {
    HandleQuarantine(*aExchange);
  } else {
    aExchange->Respond(BodyResponse(404, {}));
  }
}

void PeerHandler::HandleQuarantine(Exchange& aExchange)
{
  if (aExchange.Request().mMethod == "GET") {
    aExchange.Respond(BodyResponse(200, mQuarantine.EncodeAll()));
    return;
  }
  const bool accepted = mQuarantine.OnMessage(aExchange.Request().mBody);
  aExchange.Respond(BodyResponse(accepted ? 204 : 400, {}));
}

void PeerHandler::HandleCall(const std::shared_ptr<Exchange>& aExchange)
{
  auto received = ReadContext(aExchange->Request(), mClock.Now());
  if (!received) {
    HttpResponse response = BodyResponse(400, "malformed call context\n");
    response.mHeaders.Set("bm-outcome", "not-run");
    aExchange->Respond(std::move(response));
    return;
  }
  if (mClock.WallNow() - kClockSkew > received->mContext.mExpires) {
    aExchange->Respond(
      EncodeCallResult(Refused(CallReason::Deadline, RequestBudget(received->mRetries))));
    return;
  }
  auto answered = std::make_shared<bool>(false);
  const std::string id = received->mContext.mRequestId;
  const auto call = mLocal.Handle(
    std::move(received->mContext), aExchange->Request(), RequestBudget(received->mRetries),
    [this, aExchange, answered, id, arrived = mClock.Now()](CallResult aResult) {
      *answered = true;
      ShortenRequestId(id, mNames, aResult.mResponse.mHeaders);
      if (mDirectory) {
        aResult.mStoreView = mDirectory->View(arrived);
      }
      aExchange->Respond(EncodeCallResult(std::move(aResult)));
    });
  if (!*answered) {
    aExchange->OnCancel([call] { call->Cancel(); });
  }
}

} // namespace balsammount
