// What a backend server states about its load in a response.
#pragma once

#include <cstdint>
#include <functional>
#include <optional>
#include <string_view>

namespace balsammount {

struct ServerLoad
{
  uint32_t mRunning = 0;
  uint32_t mWaiting = 0;
  uint32_t mSlots = 0;
  // How long work takes at this moment, relative to the usual time; other work on the instance
  // changes it many times a second.
  double mSlowdown = 1;

  bool operator==(const ServerLoad&) const = default;
};

// Returns nullopt for a malformed value.
using ServerLoadDecoder = std::function<std::optional<ServerLoad>(std::string_view)>;

} // namespace balsammount
