// Settings of one node, read from a file on its instance: addresses, data centre, store and backend
// server. The operators' configuration is separate and comes from the store.
#pragma once

#include "balsammount/error.h"

#include <boost/asio/ip/tcp.hpp>

#include <chrono>
#include <cstdint>
#include <functional>
#include <string>
#include <string_view>
#include <vector>

namespace balsammount {

enum class SettingsError
{
  Unreadable = 1,
  MalformedJson,
  UnknownSetting,
  MissingSetting,
  WrongType,
  BadAddress,
  BadValue,
};

std::error_code make_error_code(SettingsError aError);

struct NodeSettings
{
  using Endpoint = boost::asio::ip::tcp::endpoint;

  std::string mNodeId;     // unique in the fleet
  std::string mService;    // service of the backend server beside this node
  std::string mDataCentre; // the same name in the settings of all its nodes
  std::string mRegion;
  Endpoint mCallerListen; // for callers, HTTP/1.1
  Endpoint mEgressListen; // for calls by the backend server, HTTP/1.1; port 0: none
  Endpoint mPeerListen;   // for other nodes, HTTP/2; gossip uses the same UDP port
  // Address at which other nodes reach the peer listener and send gossip, when the node is behind a
  // proxy or a port mapping. Port 0: the address of the listener.
  Endpoint mPeerAdvertise;
  Endpoint mAdminListen;           // for operators and metrics, HTTP/1.1
  Endpoint mBackend;               // the backend server, HTTP/1.1
  std::vector<Endpoint> mStore;    // tried in turn
  std::vector<Endpoint> mContacts; // peer addresses of other nodes, for use while the store is down
  std::string mLogLevel = "info";
  std::string mLogFormat = "text"; // or "json"
  uint32_t mDrainSeconds = 30;     // longest time that a graceful stop takes
  Endpoint mReadyListen;           // for GET /ready; port 0: on the admin listener only
  // Limits on the retries of the whole fleet: retries per request, and extra retries in a window of
  // ten seconds. Ratio 0: the limits in the configuration of the services apply instead.
  double mFleetRetryRatio = 0;
  uint32_t mFleetRetrySlack = 0;
  // Limit on the bytes that are held at a time for callers, other nodes and the backend server:
  // their connections, buffers, requests and responses.
  uint64_t mMaxHeldBytes = 64 * 1024 * 1024;
  // Limit on their sockets. The process uses some more descriptors for other purposes.
  uint16_t mMaxSockets = 3900;
  // Time after which an accepted configuration must be in force on every node. Used where the store
  // may lose watch requests: each node then checks its configuration within this time.
  std::chrono::milliseconds mConfigConvergence{ 2000 };

  bool operator==(const NodeSettings&) const = default;
  // Address that this node publishes to other nodes.
  const Endpoint& AdvertisedPeer() const
  {
    return mPeerAdvertise.port() != 0 ? mPeerAdvertise : mPeerListen;
  }
};

// Parses JSON with comments. The detail of a failure names the setting and what was expected.
Result<NodeSettings> ParseNodeSettings(std::string_view aText);

using SettingsParser = std::function<Result<NodeSettings>(std::string_view)>;
Result<NodeSettings> ReadNodeSettings(const std::string& aPath,
                                      const SettingsParser& aParse = ParseNodeSettings);

} // namespace balsammount

template <>
struct std::is_error_code_enum<balsammount::SettingsError> : std::true_type
{
};
