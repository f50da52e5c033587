// How a node fits a deployment: the parts that differ between platforms.
#pragma once

#include "balsammount/config_revision.h"
#include "balsammount/header_names.h"
#include "balsammount/random.h"
#include "balsammount/store.h"

#include <boost/asio/io_context.hpp>

#include <functional>
#include <memory>

namespace balsammount {

// How the nodes of a fleet find each other.
enum class Discovery
{
  Gossip, // the nodes tell each other; the store holds a few contacts
  Store,  // every node keeps a record of itself in the store and follows the records of the others
};

// How a node learns of the backend server beside it.
enum class ServerPresence
{
  Probed,    // by connections
  Announced, // it announces itself (Node::OnAnnouncement); connections tell only when it is down
};

struct DeploymentOptions
{
  HeaderNames mHeaderNames;
  // Null: the etcd adapter with the settings' endpoints.
  std::function<std::unique_ptr<Store>(boost::asio::io_context&, Random&)> mMakeStore;
  std::string mConfigKey = "/balsammount/config";
  ConfigDecoder mDecodeConfig; // null: the product's own format
  std::string mNodesPrefix = "/balsammount/nodes/";
  Discovery mDiscovery = Discovery::Gossip;
  ServerPresence mServerPresence = ServerPresence::Probed;
  // A node that stops goes on to serve for this long, so that callers and other nodes learn of it
  // before they meet a closed port.
  std::chrono::milliseconds mDrainDelay{ 1000 };
  // Callers need the whole notice, other nodes only the end of it: so long before it is over they
  // are told to send nothing more. Until then the backend server goes on to serve them.
  std::chrono::milliseconds mPeerDrainDelay{ 1000 };
};

} // namespace balsammount
