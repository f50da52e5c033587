// What the backend server beside a node has announced about itself.
//
// Each start of a backend server is an incarnation, told by its id and its time of start. An
// announcement can be late: it may come after a later one, or after the next incarnation's.
#pragma once

#include "balsammount/clock.h"

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace balsammount {

struct ServerAnnouncement
{
  std::string mServerId;
  uint64_t mStarted = 0;  // ms of the server's wall clock
  uint64_t mSequence = 0; // increases with each announcement of an incarnation
  std::string mService;
  std::string mAddress;
  uint32_t mSlots = 0; // requests that it runs at the same time
  bool mLeaving = false;
  Duration mWarmUpLeft{}; // it is slow for this much longer

  bool operator==(const ServerAnnouncement&) const = default;
};

// All incarnations of an id that started no later than this have left.
struct DepartedServer
{
  std::string mServerId;
  uint64_t mLatestStart = 0; // ms of the wall clock

  bool operator==(const DepartedServer&) const = default;
};

enum class AnnouncementResult
{
  Applied,
  Late,    // of an earlier incarnation, or older than the last one that was applied
  Foreign, // for another service or address than this node's backend server
};

const char* ToString(AnnouncementResult aResult);

// The incarnation that is in force. Leaving is final for an incarnation.
class ServerLifecycle
{
public:
  ServerLifecycle(std::string aService, std::string aAddress)
    : mService(std::move(aService))
    , mAddress(std::move(aAddress))
  {
  }

  AnnouncementResult OnAnnouncement(const ServerAnnouncement& aAnnouncement);
  // The server ends, or has ended; also one that has not announced itself to this process. Without
  // a start the incarnation of that id in force is meant, or all that have started until now. False
  // when another one is in force, or none.
  bool OnDeparture(std::string_view aServerId, std::optional<uint64_t> aStarted, WallTime aNow);
  // Incarnations that had announced to an earlier process of this node that they leave.
  void RestoreDeparture(const std::string& aServerId, uint64_t aLatestStart);

  // Nothing until an announcement was applied.
  const std::optional<ServerAnnouncement>& Current() const { return mCurrent; }
  bool IsServing() const { return mCurrent && !mCurrent->mLeaving; }
  // The last server that departed.
  const std::optional<DepartedServer>& Departed() const { return mDeparted; }

private:
  bool HasDeparted(const ServerAnnouncement& aAnnouncement) const;

  std::string mService;
  std::string mAddress;
  std::optional<ServerAnnouncement> mCurrent;
  std::optional<DepartedServer> mDeparted;
};

} // namespace balsammount
