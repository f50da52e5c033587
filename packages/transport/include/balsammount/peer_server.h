// HTTP/2 server for requests from other nodes.
#pragma once

#include "balsammount/exchange.h"
#include "balsammount/kernel.h"
#include "balsammount/resource_budget.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>

#include <cstddef>
#include <cstdint>

namespace balsammount {

struct PeerServerLimits
{
  uint32_t mMaxConcurrentStreams = 2000; // per connection
  size_t mMaxBodyBytes = kMaxBodyBytes;
  size_t mMaxHeaderBytes = 32 * 1024;
  // For the connections, and for the requests and responses of each stream. A request that does not
  // fit is refused as not run. Null: no common limit.
  std::shared_ptr<ResourceBudget> mBudget = nullptr;
};

class PeerServer final : public Service
{
public:
  PeerServer(boost::asio::io_context& aContext, boost::asio::ip::tcp::endpoint aEndpoint,
             PeerServerLimits aLimits, ExchangeHandler aHandler);
  ~PeerServer() override;

  Result<void> Start() override;

  // Stops accepting connections and sends GOAWAY. Streams in flight are still answered.
  void Stop() override;

  uint16_t Port() const;

private:
  struct State;
  std::shared_ptr<State> mState;
};

} // namespace balsammount
