// State of the backend server beside a node, derived from its announcements.
//
// Each start of a backend server is an incarnation, identified by the server id and the start time.
// Announcements may arrive out of order, even after those of the next incarnation.
#pragma once

#include "balsammount/clock.h"

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace balsammount {

struct ServerAnnouncement
{
  std::string mServerId;
  uint64_t mStarted = 0;  // ms of the server's wall clock
  uint64_t mSequence = 0; // increases with each announcement of one incarnation
  std::string mService;
  std::string mAddress;
  uint32_t mSlots = 0; // requests that it runs concurrently
  bool mLeaving = false;
  Duration mWarmUpLeft{}; // remaining time in which it is slow

  bool operator==(const ServerAnnouncement&) const = default;
};

// All incarnations of the server id that started at this time or earlier have departed.
struct DepartedServer
{
  std::string mServerId;
  uint64_t mLatestStart = 0; // ms of the wall clock

  bool operator==(const DepartedServer&) const = default;
};

enum class AnnouncementResult
{
  Applied,
  Late,    // of an earlier incarnation, or no newer than the last one that was applied
  Foreign, // for a service or address other than that of this node's backend server
};

const char* ToString(AnnouncementResult aResult);

// Tracks the current incarnation. An incarnation that is leaving never becomes available again.
class ServerLifecycle
{
public:
  ServerLifecycle(std::string aService, std::string aAddress)
    : mService(std::move(aService))
    , mAddress(std::move(aAddress))
  {
  }

  AnnouncementResult OnAnnouncement(const ServerAnnouncement& aAnnouncement);
  // Records that a server has stopped or is about to, even if this process has seen no announcement
  // of it. This applies to all incarnations with that id that started until aStarted; without it,
  // until aNow, and to the current one. Returns whether the current incarnation has departed.
  bool OnDeparture(std::string_view aServerId, std::optional<uint64_t> aStarted, WallTime aNow);
  // Restores a departure that was announced to an earlier process of this node.
  void RestoreDeparture(const std::string& aServerId, uint64_t aLatestStart);

  // Empty until an announcement has been applied.
  const std::optional<ServerAnnouncement>& Current() const { return mCurrent; }
  bool IsServing() const { return mCurrent && !mCurrent->mLeaving; }
  // The departure of the server with the current id, or else the last one. Null if there is none.
  const DepartedServer* Departed() const;

private:
  // Late messages are about recent servers, so few departures need to be kept.
  static constexpr size_t kMaxDepartures = 16;

  bool HasDeparted(const ServerAnnouncement& aAnnouncement) const;
  void MarkDeparted(const std::string& aServerId, uint64_t aLatestStart);

  std::string mService;
  std::string mAddress;
  std::optional<ServerAnnouncement> mCurrent;
  std::vector<DepartedServer> mDepartures; // one for each id, the last one at the end
};

} // namespace balsammount
