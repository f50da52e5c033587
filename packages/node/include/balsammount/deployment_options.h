// Options of a node that depend on the platform it is deployed on.
#pragma once

#include "balsammount/config_revision.h"
#include "balsammount/header_names.h"
#include "balsammount/random.h"
#include "balsammount/server_load.h"
#include "balsammount/store.h"

#include <boost/asio/io_context.hpp>

#include <functional>
#include <memory>

namespace balsammount {

// How the nodes of a fleet find each other.
enum class Discovery
{
  Gossip, // by a gossip protocol; the store holds a few addresses to start from
  Store,  // every node publishes its own record in the store and watches the records of the others
};

// How a node learns of the backend server beside it.
enum class ServerPresence
{
  Probed,    // by opening connections to it
  Announced, // by its announcements (Node::OnAnnouncement); failed connections show that it is down
};

struct DeploymentOptions
{
  HeaderNames mHeaderNames;
  // Null: the etcd adapter with the settings' endpoints.
  std::function<std::unique_ptr<Store>(boost::asio::io_context&, Random&)> mMakeStore;
  std::string mConfigKey = "/balsammount/config";
  ConfigDecoder mDecodeConfig; // null: balsammount's own format
  // Time after which a configuration that the store has acknowledged is in force on every node that
  // the store answers, even if the store loses watch requests. Zero: watches of the store end when
  // it loses them, and the configuration is not read again.
  std::chrono::milliseconds mConfigConvergence{ 0 };
  std::string mNodesPrefix = "/balsammount/nodes/";
  Discovery mDiscovery = Discovery::Gossip;
  ServerPresence mServerPresence = ServerPresence::Probed;
  // The header of responses in which backend servers state their load; empty: none.
  std::string mServerLoadHeader;
  ServerLoadDecoder mDecodeServerLoad;
  // A draining node keeps serving for this long, so that callers and other nodes learn of the drain
  // before its ports close.
  std::chrono::milliseconds mDrainDelay{ 1000 };
  // The last part of the drain delay. At its start the other nodes are told to send no more
  // requests; until then the backend server keeps serving them. Only callers need the whole drain
  // delay.
  std::chrono::milliseconds mPeerDrainDelay{ 1000 };
};

} // namespace balsammount
