// Connections to other nodes, by node id.
#pragma once

#include "call_context.h"

#include "balsammount/peer_client.h"

#include <boost/asio/io_context.hpp>

#include <map>
#include <memory>
#include <string>

namespace balsammount {

class Peers
{
public:
  explicit Peers(boost::asio::io_context& aContext, HeaderNames aNames = {},
                 std::shared_ptr<ResourceBudget> aBudget = nullptr)
    : mContext(aContext)
    , mNames(std::move(aNames))
    , mBudget(std::move(aBudget))
  {
  }

  // Adds a node or changes its address. A changed address closes the old connection.
  void Upsert(const std::string& aNodeId, const boost::asio::ip::tcp::endpoint& aEndpoint);
  // Calls in flight continue; the connection closes after the last of them.
  void Remove(const std::string& aNodeId);
  bool Has(const std::string& aNodeId) const { return mPeers.contains(aNodeId); }
  // The callback receives a node id, what a response of that node states of the store, and when the
  // request was sent.
  using StoreViewCallback = std::function<void(const std::string&, const StoreView&, SteadyTime)>;
  void SetStoreViewCallback(StoreViewCallback aCallback) { mOnStoreView = std::move(aCallback); }

  // Forwards a call to a node. A call to an unknown node is refused.
  std::shared_ptr<Call> Forward(const std::string& aNodeId, const CallContext& aContext,
                                HttpRequest aRequest, RequestBudget aBudget, SteadyTime aNow,
                                CallResultCallback aCallback,
                                const std::vector<Header>& aExtraHeaders = {});

  // Sends a control message, that is, a request without a call context.
  std::shared_ptr<Call> Send(const std::string& aNodeId, HttpRequest aRequest, Duration aTimeout,
                             ResponseCallback aCallback);

private:
  struct Peer
  {
    boost::asio::ip::tcp::endpoint mEndpoint;
    std::shared_ptr<PeerClient> mClient;
  };

  boost::asio::io_context& mContext;
  HeaderNames mNames;
  std::shared_ptr<ResourceBudget> mBudget;
  std::map<std::string, Peer> mPeers;
  StoreViewCallback mOnStoreView = [](const std::string&, const StoreView&, SteadyTime) {};
};

// The result of a call that failed without a response from the peer.
CallResult FailedCallResult(const std::error_code& aError, RequestBudget aBudget);

} // namespace balsammount
