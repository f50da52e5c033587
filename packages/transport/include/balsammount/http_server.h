// HTTP/1.1 server with keep-alive, pipelining, size limits and timeouts for slow clients. Answers
// 400 to a request with several Host headers, or with none in HTTP/1.1.
#pragma once

#include "balsammount/exchange.h"
#include "balsammount/kernel.h"
#include "balsammount/resource_budget.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>

#include <chrono>
#include <cstddef>

namespace balsammount {

struct HttpServerLimits
{
  size_t mMaxHeaderBytes = 16 * 1024;
  size_t mMaxBodyBytes = kMaxBodyBytes;
  // For all that the connections hold. A request that does not fit gets 503 not-run. A connection
  // that does not fit, and one that yields to another, is closed. Null: no common limit.
  std::shared_ptr<ResourceBudget> mBudget;
  size_t mMaxConnections = 2000; // without a budget; more get 503 not-run and are closed
  std::chrono::milliseconds mIdleTimeout{ 60'000 };   // between two requests on a connection
  std::chrono::milliseconds mHeaderTimeout{ 10'000 }; // from first byte to end of header
  std::chrono::milliseconds mReadTimeout{ 10'000 };   // from end of header to end of body
  std::chrono::milliseconds mWriteTimeout{ 10'000 };  // per response, or per write of a stream
  size_t mMaxStreamBacklogBytes = 8 * 1024 * 1024;    // data of a stream that is not yet written
};

// An exchange of HttpServer, which can also stream its response.
class HttpExchange : public Exchange
{
public:
  // Starts a chunked response. A client with a version before HTTP/1.1 gets 505. The OnCancel
  // callback is called if the client disconnects before EndStream.
  virtual void StartStream(HttpResponse aHead) = 0;

  // Returns false if the stream has ended, or if the backlog limit is exceeded because the client
  // reads too slowly; the connection is then closed.
  virtual bool WriteData(std::string_view aData) = 0;
  virtual void EndStream() = 0;

  // Closes the connection without a response, or in the middle of a streamed one.
  virtual void Abort() = 0;
};

class HttpServer final : public Service
{
public:
  HttpServer(boost::asio::io_context& aContext, boost::asio::ip::tcp::endpoint aEndpoint,
             HttpServerLimits aLimits, ExchangeHandler aHandler);
  ~HttpServer() override;

  Result<void> Start() override;

  // Closes each connection after its outstanding responses, but still accepts new connections. Used
  // while callers are being told that this server will stop.
  void CloseConnections();

  // Sets the limits for requests that start to arrive after this call.
  void SetLimits(const HttpServerLimits& aLimits);

  // Stops accepting and closes idle connections. A connection with requests in flight is closed
  // after the last response.
  void Stop() override;

  // Returns the bound port, also if the endpoint's port is 0.
  uint16_t Port() const;
  size_t Connections() const;

private:
  struct State;
  std::shared_ptr<State> mState;
};

} // namespace balsammount
