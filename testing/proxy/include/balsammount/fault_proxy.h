// A TCP proxy on loopback that stands for the link to one process, with faults on request.
#pragma once

#include "balsammount/error.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>

#include <chrono>
#include <memory>

namespace balsammount {

struct LinkFaults
{
  // Bytes towards the process, or from it, wait until the fault is over. New connections wait too.
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
  // Open connections pass nothing on any more; new ones work. Each is reset after aEnd: the kernel
  // here answers the keep-alive probes that would end it on a real link.
  void BlackholeConnections(std::chrono::milliseconds aResetDelay);
  // Resets both sides of every open connection, also in the middle of an answer.
  void ResetConnections();

private:
  struct State;
  std::shared_ptr<State> mState;
};

} // namespace balsammount
