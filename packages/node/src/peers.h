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
  explicit Peers(boost::asio::io_context& aContext, HeaderNames aNames = {})
    : mContext(aContext)
    , mNames(std::move(aNames))
  {
  }

  // Adds a node or changes its address. A changed address closes the old connection.
  void Upsert(const std::string& aNodeId, const boost::asio::ip::tcp::endpoint& aEndpoint);
  // Calls in flight go on; the connection closes with the last of them.
  void Remove(const std::string& aNodeId);
  bool Has(const std::string& aNodeId) const { return mPeers.contains(aNodeId); }
  // Called with the configuration revision that a node states in an answer.
  void SetRevisionCallback(std::function<void(const std::string&, uint64_t)> aCallback)
  {
    mOnRevision = std::move(aCallback);
  }

  // Forwards a call to a node. An unknown node is a refusal.
  std::shared_ptr<Call> Forward(const std::string& aNodeId, const CallContext& aContext,
                                HttpRequest aRequest, RequestBudget aBudget, SteadyTime aNow,
                                CallResultCallback aCallback,
                                const std::vector<Header>& aExtraHeaders = {});

  // Sends a plain request, for control messages.
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
  std::map<std::string, Peer> mPeers;
  std::function<void(const std::string&, uint64_t)> mOnRevision;
};

// The answer for a call that ended without a response of the peer.
CallResult FailedCallResult(const std::error_code& aError, RequestBudget aBudget);

} // namespace balsammount
