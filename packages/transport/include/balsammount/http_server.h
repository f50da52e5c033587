// HTTP/1.1 server: keep-alive, pipelining, bounded headers and bodies, bounded time for slow
// clients. A request without exactly one Host header is answered 400.
#pragma once

#include "balsammount/exchange.h"
#include "balsammount/kernel.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>

#include <chrono>
#include <cstddef>

namespace balsammount {

struct HttpServerLimits
{
  size_t mMaxHeaderBytes = 16 * 1024;
  size_t mMaxBodyBytes = kMaxBodyBytes;
  size_t mMaxConnections = 2000;                    // more are answered with 503 not-run and closed
  std::chrono::milliseconds mIdleTimeout{ 60'000 }; // between requests of a connection
  std::chrono::milliseconds mHeaderTimeout{ 10'000 }; // from the first byte to the whole header
  std::chrono::milliseconds mReadTimeout{ 10'000 };   // from the header to the whole body
  std::chrono::milliseconds mWriteTimeout{ 10'000 };  // for the whole answer, or one streamed piece
  size_t mMaxStreamBacklogBytes = 8 * 1024 * 1024;    // streamed and not yet written
};

// The exchanges of an HttpServer: besides a whole answer they can stream one.
class HttpExchange : public Exchange
{
public:
  // Starts an answer whose body follows in chunks. Needs HTTP/1.1; an older client gets 505. A
  // client that goes away before EndStream is reported to the callback of OnCancel.
  virtual void StartStream(HttpResponse aHead) = 0;

  // False when the stream is over, or when the client reads too slowly: its connection is closed.
  virtual bool WriteData(std::string_view aData) = 0;
  virtual void EndStream() = 0;

  // Closes the connection without an answer, or in the middle of a streamed one.
  virtual void Abort() = 0;
};

class HttpServer final : public Service
{
public:
  HttpServer(boost::asio::io_context& aContext, boost::asio::ip::tcp::endpoint aEndpoint,
             HttpServerLimits aLimits, ExchangeHandler aHandler);
  ~HttpServer() override;

  Result<void> Start() override;

  // Every connection closes after the answers that it is due; new ones are still accepted. For the
  // time in which callers learn that this server leaves.
  void CloseConnections();

  // Applies to requests that begin to arrive from now on.
  void SetLimits(const HttpServerLimits& aLimits);

  // Stops accepting, closes idle connections; a connection with a request in flight closes after
  // its answer.
  void Stop() override;

  // The bound port; useful when the endpoint's port is 0.
  uint16_t Port() const;
  size_t Connections() const;

private:
  struct State;
  std::shared_ptr<State> mState;
};

} // namespace balsammount
