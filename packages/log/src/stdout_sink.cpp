#include "stdout_sink.h"

#include <spdlog/fmt/chrono.h>
#include <spdlog/fmt/fmt.h>

#include <algorithm>
#include <climits>
#include <utility>

#include <poll.h>
#include <unistd.h>

namespace balsammount::detail {

namespace {

uint64_t gDroppedLines = 0;
int gOutputFd = STDOUT_FILENO;

} // namespace

bool WriteLine(std::string_view aLine)
{
  // A pipe that poll() reports as writable accepts PIPE_BUF bytes without blocking.
  while (!aLine.empty()) {
    pollfd output{ gOutputFd, POLLOUT, 0 };
    const bool isReady = poll(&output, 1, 0) == 1 && (output.revents & POLLOUT) != 0;
    const ssize_t count =
      isReady ? write(gOutputFd, aLine.data(), std::min<size_t>(aLine.size(), PIPE_BUF)) : -1;
    if (count <= 0) {
      ++gDroppedLines;
      return false;
    }
    aLine.remove_prefix(static_cast<size_t>(count));
  }
  return true;
}

void UseStandardError()
{
  gOutputFd = STDERR_FILENO;
}

uint64_t TakeDroppedLines()
{
  return std::exchange(gDroppedLines, 0);
}

std::string FormatTime(std::chrono::system_clock::time_point aTime)
{
  const auto milliseconds =
    std::chrono::duration_cast<std::chrono::milliseconds>(aTime.time_since_epoch()).count();
  return fmt::format("{:%Y-%m-%dT%H:%M:%S}.{:03}Z", fmt::gmtime(milliseconds / 1000),
                     milliseconds % 1000);
}

} // namespace balsammount::detail
