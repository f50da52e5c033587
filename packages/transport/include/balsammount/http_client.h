// HTTP/1.1 client for one endpoint, with a bounded pool of idle keep-alive connections.
#pragma once

#include "balsammount/exchange.h"
#include "balsammount/resource_budget.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>

#include <chrono>
#include <cstddef>

namespace balsammount {

struct HttpClientLimits
{
  size_t mMaxIdleConnections = 400;
  // Must be below the idle timeout of the servers: a request on a connection that the server closes
  // at the same time fails with ConnectionLost.
  std::chrono::milliseconds mMaxIdleTime{ 30'000 };
  size_t mMaxHeaderBytes = 64 * 1024;
  size_t mMaxBodyBytes = kMaxBodyBytes;
  // For the connections and for the responses. A response is charged to the holder of its request
  // if there is one. Null: no common limit.
  std::shared_ptr<ResourceBudget> mBudget;
  std::chrono::milliseconds mConnectTimeout{ 1000 };
  // Closes the idle connections after a call without a response in time. They may have become
  // silent with the connection of that call.
  bool mDropIdleAfterTimeout = false;
  // Accepts a response without a length, which ends with an orderly close of the connection. If
  // false, or if the connection failed before, such a response fails with ConnectionLost.
  bool mAcceptCloseDelimited = false;
};

// Whether a response that arrives on the connection of a request belongs to that request. A faulty
// server may repeat its response to an earlier request.
enum class ResponseMatch
{
  Own,       // delivered
  Other,     // dropped; the client reads the next response
  Ambiguous, // the call fails with ConnectionLost and the connection is closed
};
using ResponseFilter = std::function<ResponseMatch(const HttpResponse&)>;

// Callbacks for a response that is delivered as it arrives.
struct StreamCallbacks
{
  std::function<void(const HttpResponse& aHead)> mOnHead; // status and headers, no body
  std::function<void(std::string_view aData)> mOnData;
  // Called once unless the call is cancelled. Holds no failure if the response is complete.
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

  // Sends the request on an idle connection or on a new one. ConnectFailed and NoResources prove
  // that nothing was sent. TooLarge means that the response exceeds a limit or that more bytes
  // precede it than those of a few other responses; the connection is closed. Cancelling closes the
  // connection.
  std::shared_ptr<Call> Send(HttpRequest aRequest, std::chrono::nanoseconds aTimeout,
                             ResponseCallback aCallback, ResponseFilter aFilter = nullptr);

  // Streams a response of any length on a dedicated connection. aIdleTimeout limits the time until
  // the head arrives and the time between two reads of the body.
  std::shared_ptr<Call> Stream(HttpRequest aRequest, std::chrono::nanoseconds aIdleTimeout,
                               StreamCallbacks aCallbacks);

private:
  struct State;
  std::shared_ptr<State> mState;
};

} // namespace balsammount
