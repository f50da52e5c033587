// A TCP proxy on loopback that simulates the network link to one process and injects faults.
#pragma once

#include "balsammount/error.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>

#include <chrono>
#include <memory>

namespace balsammount {

struct LinkFaults
{
  // Hold the bytes of one direction until the fault is cleared, also on new connections. The server
  // is the process behind the proxy.
  bool mHoldToServer = false;
  bool mHoldToClient = false;
  bool mRefuse = false; // new connections are reset
  std::chrono::milliseconds mDelay{ 0 };

  bool operator==(const LinkFaults&) const = default;
};

class FaultProxy
{
public:
  FaultProxy(boost::asio::io_context& aContext, const boost::asio::ip::tcp::endpoint& aListen,
             const boost::asio::ip::tcp::endpoint& aTarget);
  ~FaultProxy();
  FaultProxy(const FaultProxy&) = delete;
  FaultProxy& operator=(const FaultProxy&) = delete;

  Result<void> Start();
  boost::asio::ip::tcp::endpoint Endpoint() const;
  size_t Connections() const;

  void SetFaults(const LinkFaults& aFaults);
  const LinkFaults& Faults() const;
  // Stops forwarding on open connections and resets each after aResetDelay; new connections work.
  // On a real link, failed keep-alive probes would end them, but here the kernel answers the
  // probes.
  void BlackholeConnections(std::chrono::milliseconds aResetDelay);
  // Resets both sides of every open connection, even in the middle of a response.
  void ResetConnections();

private:
  struct State;
  std::shared_ptr<State> mState;
};

} // namespace balsammount
