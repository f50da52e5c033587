// Estimates how many of the requests in flight a backend server does not hold, although it never
// answered them.
//
// Pattern: a server never answers a part of its requests. Each of them would take one of its slots
// at this node until the deadline, so the node would soon refuse what the server could run.
#pragma once

#include "balsammount/clock.h"

#include <algorithm>
#include <cstdint>
#include <optional>

namespace balsammount {

// Not thread safe; does not allocate.
class LostRequests
{
public:
  // Reports the requests that the server holds, as it states in a response, and those that are in
  // flight at this node when it arrives, the answered one not included.
  void OnReport(uint32_t aHeld, uint32_t aInFlight, SteadyTime aNow)
  {
    const uint32_t missing = aInFlight > aHeld ? aInFlight - aHeld : 0;
    mWindowLeast = std::min(mWindowLeast.value_or(missing), missing);
    ++mWindowReports;
    if (mWindowReports == 1) {
      mWindowStart = aNow;
    }
    if (mWindowReports >= kMinReports && aNow - mWindowStart >= kWindow) {
      mCount = *mWindowLeast > kTolerance ? *mWindowLeast - kTolerance : 0;
      mCountedAt = aNow;
      mWindowLeast.reset();
      mWindowReports = 0;
    }
  }

  // Reports a request that ended without a response. It may be one of those counted.
  void OnUnanswered() { mCount -= mCount > 0 ? 1 : 0; }

  // Forgets the estimate, after a restart of the server.
  void Reset() { *this = {}; }

  // Returns the estimate, at most half of the slots, so that a server whose statements are wrong is
  // not sent more than it can queue.
  uint32_t Count(uint32_t aSlots, SteadyTime aNow) const
  {
    return aNow - mCountedAt <= kValidity ? std::min(mCount, aSlots / 2) : 0;
  }

private:
  // Requests and responses on their way are not held by the server. Over a window there are moments
  // at which few are on their way, and the least difference counts.
  static constexpr Duration kWindow = std::chrono::milliseconds(100);
  static constexpr uint32_t kMinReports = 8;
  // The answered request may or may not be included in the server's statement.
  static constexpr uint32_t kTolerance = 1;
  static constexpr Duration kValidity = std::chrono::seconds(1);

  std::optional<uint32_t> mWindowLeast;
  uint32_t mWindowReports = 0;
  SteadyTime mWindowStart{};
  uint32_t mCount = 0;
  SteadyTime mCountedAt{};
};

} // namespace balsammount
