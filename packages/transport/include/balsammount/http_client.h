// HTTP/1.1 client for one endpoint with a bounded pool of keep-alive connections.
#pragma once

#include "balsammount/exchange.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>

#include <chrono>
#include <cstddef>

namespace balsammount {

struct HttpClientLimits
{
  size_t mMaxIdleConnections = 400;
  // Below the idle timeout of the servers: a request on a connection that its server closes at the
  // same moment ends as Lost.
  std::chrono::milliseconds mMaxIdleTime{ 30'000 };
  size_t mMaxBodyBytes = kMaxBodyBytes;
  std::chrono::milliseconds mConnectTimeout{ 1000 };
  // Takes an answer without a length as whole when its connection ends in an orderly way. Without
  // this such an answer is Lost.
  bool mAcceptCloseDelimited = false;
};

// False for an answer that does not belong to the request, such as a second answer to an earlier
// one. It is dropped, and the next answer on the connection is read.
using ResponseFilter = std::function<bool(const HttpResponse&)>;

// Receives an answer as it arrives.
struct StreamCallbacks
{
  std::function<void(const HttpResponse& aHead)> mOnHead; // status and headers, no body
  std::function<void(std::string_view aData)> mOnData;
  // Called once unless cancelled; no failure when the answer ended completely.
  std::function<void(Result<void>)> mOnEnd;
};

class HttpClient
{
public:
  HttpClient(boost::asio::io_context& aContext, boost::asio::ip::tcp::endpoint aEndpoint,
             HttpClientLimits aLimits = {});
  ~HttpClient();
  HttpClient(const HttpClient&) = delete;
  HttpClient& operator=(const HttpClient&) = delete;

  // A failure with ConnectFailed proves that nothing was sent. Cancelling closes the connection.
  std::shared_ptr<Call> Send(HttpRequest aRequest, std::chrono::nanoseconds aTimeout,
                             ResponseCallback aCallback, ResponseFilter aFilter = nullptr);

  // Streams an answer of any length on a connection of its own. aIdleTimeout bounds the time until
  // the head and between two pieces.
  std::shared_ptr<Call> Stream(HttpRequest aRequest, std::chrono::nanoseconds aIdleTimeout,
                               StreamCallbacks aCallbacks);

private:
  struct State;
  std::shared_ptr<State> mState;
};

} // namespace balsammount
