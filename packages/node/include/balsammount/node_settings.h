// Settings of one node: its addresses, data centre, store and backend server. They come from a file
// on the instance and are separate from the operators' configuration, which comes from the store.
#pragma once

#include "balsammount/error.h"

#include <boost/asio/ip/tcp.hpp>

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
  std::string mService;    // the service of the backend server beside this node
  std::string mDataCentre; // name, as in other nodes' settings
  std::string mRegion;
  Endpoint mCallerListen; // callers, HTTP/1.1
  Endpoint mEgressListen; // the backend server's own calls, HTTP/1.1; port 0: none
  Endpoint mPeerListen;   // other nodes, HTTP/2; its UDP port carries gossip
  // Where other nodes reach the peer listener, when that differs from it: behind a proxy or a port
  // mapping. Port 0: the listener itself. Gossip is sent to it as well.
  Endpoint mPeerAdvertise;
  Endpoint mAdminListen;           // operators and metrics, HTTP/1.1
  Endpoint mBackend;               // the backend server, HTTP/1.1
  std::vector<Endpoint> mStore;    // tried in turn
  std::vector<Endpoint> mContacts; // other nodes' peer addresses, used when the store is down
  std::string mLogLevel = "info";
  std::string mLogFormat = "text"; // or "json"
  uint32_t mDrainSeconds = 30;     // a planned stop waits this long for requests in flight
  Endpoint mReadyListen;           // GET /ready; port 0: only on the admin listener
  // Bounds of the whole fleet's retries, as the deployment states them: retries per request, and
  // retries beyond that in a window of ten seconds. Ratio 0: as the services' configuration says.
  double mFleetRetryRatio = 0;
  uint32_t mFleetRetrySlack = 0;

  bool operator==(const NodeSettings&) const = default;
  // The address that this node tells the others.
  const Endpoint& AdvertisedPeer() const
  {
    return mPeerAdvertise.port() != 0 ? mPeerAdvertise : mPeerListen;
  }
};

// Reads JSON with comments. The detail of a failure names the setting and what was expected.
Result<NodeSettings> ParseNodeSettings(std::string_view aText);

using SettingsParser = std::function<Result<NodeSettings>(std::string_view)>;
Result<NodeSettings> ReadNodeSettings(const std::string& aPath,
                                      const SettingsParser& aParse = ParseNodeSettings);

} // namespace balsammount

template <>
struct std::is_error_code_enum<balsammount::SettingsError> : std::true_type
{
};
