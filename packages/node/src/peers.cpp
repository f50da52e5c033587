#include "peers.h"

namespace balsammount {

CallResult FailedCallResult(const std::error_code& aError, RequestBudget aBudget)
{
  if (ProvesNotRun(aError)) {
    return Refused(CallReason::Unavailable, std::move(aBudget));
  }
  if (aError == TransportError::TooLarge) {
    return Unknown(CallReason::TooLarge, std::move(aBudget));
  }
  const bool late = aError == TransportError::TimedOut;
  return Unknown(late ? CallReason::Deadline : CallReason::ConnectionLost, std::move(aBudget));
}

void Peers::Upsert(const std::string& aNodeId, const boost::asio::ip::tcp::endpoint& aEndpoint)
{
  Peer& peer = mPeers[aNodeId];
  if (!peer.mClient || peer.mEndpoint != aEndpoint) {
    peer.mEndpoint = aEndpoint;
    peer.mClient =
      std::make_shared<PeerClient>(mContext, aEndpoint, PeerClientLimits{ .mBudget = mBudget });
  }
}

void Peers::Remove(const std::string& aNodeId)
{
  mPeers.erase(aNodeId);
}

std::shared_ptr<Call> Peers::Forward(const std::string& aNodeId, const CallContext& aContext,
                                     HttpRequest aRequest, RequestBudget aBudget, SteadyTime aNow,
                                     CallResultCallback aCallback,
                                     const std::vector<Header>& aExtraHeaders)
{
  RemoveInternalHeaders(aRequest.mHeaders);
  if (mNames.mKeepRequestId) {
    // The peer sets both headers from the context.
    aRequest.mHeaders.Remove(mNames.mRequestId);
    aRequest.mHeaders.Remove(mNames.mDeadline);
  }
  WriteContext(aContext, aBudget.Left(), aNow, aRequest.mHeaders);
  for (const Header& header : aExtraHeaders) {
    aRequest.mHeaders.Add(header.mName, header.mValue);
  }
  auto budget = std::make_shared<RequestBudget>(std::move(aBudget));
  return Send(aNodeId, std::move(aRequest), aContext.mDeadline - aNow,
              [this, aNodeId, aNow, budget, id = aContext.mRequestId,
               callback = std::move(aCallback)](Result<HttpResponse> aResult) {
                if (!aResult) {
                  // It is unknown how many retries the peer spent before the connection was lost.
                  if (!ProvesNotRun(aResult.error().mCode)) {
                    budget->LimitTo(0);
                  }
                  callback(FailedCallResult(aResult.error().mCode, std::move(*budget)));
                  return;
                }
                CallResult callResult = DecodeCallResult(std::move(*aResult));
                RestoreRequestId(id, mNames, callResult.mResponse.mHeaders);
                mOnStoreView(aNodeId, callResult.mStoreView, aNow);
                budget->LimitTo(callResult.mBudget.Left());
                callResult.mBudget = std::move(*budget);
                callback(std::move(callResult));
              });
}

std::shared_ptr<Call> Peers::Send(const std::string& aNodeId, HttpRequest aRequest,
                                  Duration aTimeout, ResponseCallback aCallback)
{
  const auto found = mPeers.find(aNodeId);
  if (found == mPeers.end() || aTimeout <= Duration::zero()) {
    aCallback(Failure{ TransportError::ConnectFailed, aNodeId });
    return FinishedCall();
  }
  // The client must outlive its calls, even if the peer is removed before they end.
  auto client = found->second.mClient;
  return client->Send(std::move(aRequest), aTimeout,
                      [client, callback = std::move(aCallback)](Result<HttpResponse> aResult) {
                        callback(std::move(aResult));
                      });
}

} // namespace balsammount
