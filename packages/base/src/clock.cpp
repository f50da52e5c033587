#include "balsammount/clock.h"

#include <ctime>

namespace balsammount {

namespace {

// Two readings that are further apart than this are taken again, because the process was
// interrupted between them.
constexpr Duration kMaxReadingTime = std::chrono::milliseconds(1);
constexpr int kMaxReadings = 5;

Duration Read(clockid_t aClock)
{
  timespec time{};
  clock_gettime(aClock, &time);
  return std::chrono::seconds(time.tv_sec) + std::chrono::nanoseconds(time.tv_nsec);
}

} // namespace

Duration SystemClock::SuspendedTime() const
{
  Duration suspended{ 0 };
  for (int i = 0; i < kMaxReadings; ++i) {
    const Duration before = Read(CLOCK_MONOTONIC);
    suspended = Read(CLOCK_BOOTTIME) - before;
    if (Read(CLOCK_MONOTONIC) - before < kMaxReadingTime) {
      break;
    }
  }
  return suspended;
}

} // namespace balsammount
