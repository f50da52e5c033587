// Time as an interface, so that decisions can run on a manual clock.
#pragma once

#include <chrono>
#include <cstdint>

namespace balsammount {

// Monotonic time. It goes on while the process is stopped, which the ownership rights rely on.
using SteadyTime = std::chrono::steady_clock::time_point;
using WallTime = std::chrono::system_clock::time_point;
using Duration = std::chrono::nanoseconds;

// For times that other processes read. The wall clock is after 1970.
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
};

class SystemClock final : public Clock
{
public:
  SteadyTime Now() const override { return std::chrono::steady_clock::now(); }
  WallTime WallNow() const override { return std::chrono::system_clock::now(); }
};

// Moves only when told to. Starts one hour after the epoch of both clocks, so that tests may go
// back.
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
