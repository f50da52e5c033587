// One node: all its parts, registered in a kernel and wired to each other.
#pragma once

#include "balsammount/kernel.h"
#include "balsammount/node_settings.h"

#include <boost/asio/io_context.hpp>

#include <functional>
#include <memory>

namespace balsammount {

class Node
{
public:
  Node(boost::asio::io_context& aContext, NodeSettings aSettings);
  ~Node();
  Node(const Node&) = delete;
  Node& operator=(const Node&) = delete;

  Result<void> Start();

  // Begins a graceful stop: no new work is taken, requests in flight are finished, then aDone is
  // called. After the settings' drain time it is called regardless.
  void Drain(std::function<void()> aDone);

  // Called when an operator asks for a drain through the admin listener.
  void SetDrainRequestCallback(std::function<void()> aCallback);

  // Closes everything at once.
  void Stop();

private:
  struct Parts;
  std::unique_ptr<Parts> mParts;
};

} // namespace balsammount
