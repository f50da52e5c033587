#include "balsammount/event.h"

#include "stdout_sink.h"

#include <chrono>

namespace balsammount {

namespace {

using Clock = std::chrono::steady_clock;

// Limits the CPU time spent on events: a line costs about 10 microseconds.
constexpr double kMaxLinesPerSecond = 50;
constexpr double kMaxBurstLines = 300;

// Token bucket. Lines over the limit are counted in mDropped.
struct LineRateLimiter
{
  double mTokens = kMaxBurstLines;
  Clock::time_point mLastRefill = Clock::now();
  uint64_t mDropped = 0;

  bool TryTake()
  {
    const auto now = Clock::now();
    const double elapsed = std::chrono::duration<double>(now - mLastRefill).count();
    mTokens = std::min(kMaxBurstLines, mTokens + elapsed * kMaxLinesPerSecond);
    mLastRefill = now;
    if (mTokens < 1) {
      ++mDropped;
      return false;
    }
    mTokens -= 1;
    return true;
  }
};

LineRateLimiter& RateLimiter()
{
  static LineRateLimiter sLimiter;
  return sLimiter;
}

} // namespace

Event::Event(std::string_view aPart, std::string_view aName)
  : mEnabled(RateLimiter().TryTake())
{
  if (mEnabled) {
    mLine["time"] = detail::FormatTime(std::chrono::system_clock::now());
    mLine["part"] = aPart;
    mLine["event"] = aName;
  }
}

Event::~Event()
{
  if (!mEnabled) {
    return;
  }
  LineRateLimiter& limiter = RateLimiter();
  const uint64_t dropped = std::exchange(limiter.mDropped, 0) + detail::TakeDroppedLines();
  if (dropped > 0) {
    mLine["dropped"] = dropped;
  }
  const std::string text =
    mLine.dump(-1, ' ', false, nlohmann::ordered_json::error_handler_t::replace) + "\n";
  if (!detail::WriteLine(text)) {
    limiter.mDropped += dropped;
  }
}

} // namespace balsammount
