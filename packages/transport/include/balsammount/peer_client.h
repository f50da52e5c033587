// HTTP/2 client for another node. All requests share one connection, which is opened on demand and
// replaced when the peer stops responding.
#pragma once

#include "balsammount/exchange.h"
#include "balsammount/resource_budget.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>

#include <chrono>

namespace balsammount {

// A connection with requests in flight sends a PING when nothing has arrived for mPingAfter, and is
// closed when nothing arrives within mPingTimeout after that. The sum must stay below one second.
struct PeerClientLimits
{
  std::chrono::milliseconds mConnectTimeout{ 500 };
  std::chrono::milliseconds mPingAfter{ 200 };
  std::chrono::milliseconds mPingTimeout{ 500 };
  std::chrono::milliseconds mMaxIdleTime{ 15'000 }; // then the connection is closed
  size_t mMaxBodyBytes = kMaxBodyBytes;
  size_t mMaxHeaderBytes = 64 * 1024;
  // For the connection and for the responses, which are charged to the holders of their requests.
  // Null: no common limit.
  std::shared_ptr<ResourceBudget> mBudget = nullptr;
};

class PeerClient
{
public:
  PeerClient(boost::asio::io_context& aContext, boost::asio::ip::tcp::endpoint aEndpoint,
             PeerClientLimits aLimits = {});
  ~PeerClient();
  PeerClient(const PeerClient&) = delete;
  PeerClient& operator=(const PeerClient&) = delete;

  // ConnectFailed and NotProcessed prove that the peer did not process the request. TooLarge means
  // that the response exceeds a limit or the budget. Cancelling resets the stream.
  std::shared_ptr<Call> Send(HttpRequest aRequest, std::chrono::nanoseconds aTimeout,
                             ResponseCallback aCallback);

private:
  struct State;
  std::shared_ptr<State> mState;
};

} // namespace balsammount
