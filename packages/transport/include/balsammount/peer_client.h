// HTTP/2 client for one other node. All requests share one connection, which is opened on demand
// and replaced when it has gone silent.
#pragma once

#include "balsammount/exchange.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>

#include <chrono>

namespace balsammount {

// A connection with requests in flight that has been quiet for mPingAfter is probed by a PING; it
// is closed when no byte arrives within mPingTimeout. Together they stay under one second.
struct PeerClientLimits
{
  std::chrono::milliseconds mConnectTimeout{ 500 };
  std::chrono::milliseconds mPingAfter{ 200 };
  std::chrono::milliseconds mPingTimeout{ 500 };
  size_t mMaxBodyBytes = kMaxBodyBytes;
};

class PeerClient
{
public:
  PeerClient(boost::asio::io_context& aContext, boost::asio::ip::tcp::endpoint aEndpoint,
             PeerClientLimits aLimits = {});
  ~PeerClient();
  PeerClient(const PeerClient&) = delete;
  PeerClient& operator=(const PeerClient&) = delete;

  // ConnectFailed and NotProcessed prove that the request did not run there. Cancelling resets the
  // stream.
  std::shared_ptr<Call> Send(HttpRequest aRequest, std::chrono::nanoseconds aTimeout,
                             ResponseCallback aCallback);

private:
  struct State;
  std::shared_ptr<State> mState;
};

} // namespace balsammount
