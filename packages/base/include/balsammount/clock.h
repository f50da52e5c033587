// Clock interface, so that tests and simulations can control the time.
#pragma once

#include <chrono>
#include <cstdint>

namespace balsammount {

// Monotonic time. It advances while the process is stopped; the expiry of ownership rights relies
// on that.
using SteadyTime = std::chrono::steady_clock::time_point;
using WallTime = std::chrono::system_clock::time_point;
using Duration = std::chrono::nanoseconds;

// Timestamp format shared with other processes. aTime must not be before 1970.
inline uint64_t MillisecondsSinceEpoch(WallTime aTime)
{
  return static_cast<uint64_t>(
    std::chrono::duration_cast<std::chrono::milliseconds>(aTime.time_since_epoch()).count());
}

class Clock
{
public:
  virtual ~Clock() = default;
  virtual SteadyTime Now() const = 0;
  virtual WallTime WallNow() const = 0;
  // The time for which the machine has been suspended, which Now does not count.
  virtual Duration SuspendedTime() const { return Duration::zero(); }
};

class SystemClock final : public Clock
{
public:
  SteadyTime Now() const override { return std::chrono::steady_clock::now(); }
  WallTime WallNow() const override { return std::chrono::system_clock::now(); }
  Duration SuspendedTime() const override;
};

// Clock for tests that moves only by Advance. Both times start one hour after their epoch, so that
// a test can subtract from them.
class ManualClock final : public Clock
{
public:
  SteadyTime Now() const override { return mNow; }
  WallTime WallNow() const override { return mWallNow; }
  void Advance(Duration aBy)
  {
    mNow += aBy;
    mWallNow += std::chrono::duration_cast<WallTime::duration>(aBy);
  }

private:
  SteadyTime mNow{ std::chrono::hours(1) };
  WallTime mWallNow{ std::chrono::hours(1) };
};

} // namespace balsammount
