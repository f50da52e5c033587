// HTTP/1.1 server: keep-alive, bounded headers and bodies, bounded time for slow clients.
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
  size_t mMaxBodyBytes = 1024 * 1024;
  size_t mMaxConnections = 2000;
  std::chrono::milliseconds mIdleTimeout{ 60'000 };  // between requests of a connection
  std::chrono::milliseconds mReadTimeout{ 10'000 };  // from the first byte to the whole request
  std::chrono::milliseconds mWriteTimeout{ 10'000 }; // for the whole answer
};

class HttpServer final : public Service
{
public:
  HttpServer(boost::asio::io_context& aContext, boost::asio::ip::tcp::endpoint aEndpoint,
             HttpServerLimits aLimits, ExchangeHandler aHandler);
  ~HttpServer() override;

  Result<void> Start() override;

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
