// One node: creates its services, connects them and starts them in a kernel.
#pragma once

#include "balsammount/deployment_options.h"
#include "balsammount/kernel.h"
#include "balsammount/node_settings.h"
#include "balsammount/resource_budget.h"
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

  // Begins a graceful stop: the node stops accepting new requests and finishes those in flight.
  // Calls aDone when it is done, or when the drain time in the settings has passed.
  void Drain(std::function<void()> aDone);

  // Called when an operator asks for a drain through the admin listener.
  void SetDrainRequestCallback(std::function<void()> aCallback);

  // Applies an announcement of the backend server, with ServerPresence::Announced. It takes effect
  // at once: a server that is leaving gets no new request from this node. aDone is called when a
  // restarted process of this node would know of the departure as well, or when the store has not
  // confirmed that in time. This may be before the function returns.
  AnnouncementResult OnAnnouncement(const ServerAnnouncement& aAnnouncement,
                                    std::function<void()> aDone);
  // Records that the backend server has stopped or is about to. aDone is called as for an
  // announcement.
  void OnDeparture(std::string_view aServerId, std::optional<uint64_t> aStarted,
                   std::function<void()> aDone);

  // Applies the log level, the only setting that can change at run time, and logs whether other
  // changes need a restart.
  void Reload(const NodeSettings& aSettings);

  // Accounts for all that this process holds for its peers; for further listeners in this process.
  std::shared_ptr<ResourceBudget> Budget() const;

  // Stops all services without waiting for requests in flight.
  void Stop();

private:
  struct Impl;
  std::unique_ptr<Impl> mImpl;
};

} // namespace balsammount
