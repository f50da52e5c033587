// One node: all its parts, registered in a kernel and wired to each other.
#pragma once

#include "balsammount/deployment_options.h"
#include "balsammount/kernel.h"
#include "balsammount/node_settings.h"
#include "balsammount/server_lifecycle.h"

#include <boost/asio/io_context.hpp>

#include <functional>
#include <memory>

namespace balsammount {

class Node
{
public:
  Node(boost::asio::io_context& aContext, NodeSettings aSettings,
       DeploymentOptions aDeployment = {});
  ~Node();
  Node(const Node&) = delete;
  Node& operator=(const Node&) = delete;

  Result<void> Start();

  // Begins a graceful stop: no new work is taken, requests in flight are finished, then aDone is
  // called. After the settings' drain time it is called regardless.
  void Drain(std::function<void()> aDone);

  // Called when an operator asks for a drain through the admin listener.
  void SetDrainRequestCallback(std::function<void()> aCallback);

  // What the backend server says about itself, with ServerPresence::Announced. The node is bound by
  // it at once: a server that leaves gets no new request from here. aDone is called when a later
  // process of this node knows it as well, or cannot be told in time; it may be called at once.
  AnnouncementResult OnAnnouncement(const ServerAnnouncement& aAnnouncement,
                                    std::function<void()> aDone);
  // The backend server has ended or is about to.
  void OnDeparture(std::string_view aServerId, std::optional<uint64_t> aStarted,
                   std::function<void()> aDone);

  // Applies what can change while the node runs (the log level); logs what needs a restart.
  void Reload(const NodeSettings& aSettings);

  // Closes everything at once.
  void Stop();

private:
  struct Impl;
  std::unique_ptr<Impl> mImpl;
};

} // namespace balsammount
