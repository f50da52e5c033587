#include "balsammount/event.h"

#include "stdout_sink.h"

#include <chrono>

namespace balsammount {

namespace {

using Clock = std::chrono::steady_clock;

// One line costs about 10 microseconds of a core.
constexpr double kLinesPerSecond = 50;
constexpr double kBurstLines = 300;

struct LineBudget
{
  double mTokens = kBurstLines;
  Clock::time_point mRefilled = Clock::now();
  uint64_t mDropped = 0;

  bool Take()
  {
    const auto now = Clock::now();
    const double passed = std::chrono::duration<double>(now - mRefilled).count();
    mTokens = std::min(kBurstLines, mTokens + passed * kLinesPerSecond);
    mRefilled = now;
    if (mTokens < 1) {
      ++mDropped;
      return false;
    }
    mTokens -= 1;
    return true;
  }
};

LineBudget& Budget()
{
  static LineBudget sBudget;
  return sBudget;
}

} // namespace

Event::Event(std::string_view aPart, std::string_view aName)
  : mWritten(Budget().Take())
{
  if (mWritten) {
    mLine["time"] = detail::TimeText(std::chrono::system_clock::now());
    mLine["part"] = aPart;
    mLine["event"] = aName;
  }
}

Event::~Event()
{
  if (!mWritten) {
    return;
  }
  LineBudget& budget = Budget();
  const uint64_t dropped = std::exchange(budget.mDropped, 0) + detail::TakeDroppedLines();
  if (dropped > 0) {
    mLine["dropped"] = dropped;
  }
  const std::string text =
    mLine.dump(-1, ' ', false, nlohmann::ordered_json::error_handler_t::replace) + "\n";
  if (!detail::WriteLine(text)) {
    budget.mDropped += dropped;
  }
}

} // namespace balsammount
