// Writing of whole lines to standard output, or standard error, without blocking.
#pragma once

#include <chrono>
#include <cstdint>
#include <string>
#include <string_view>

namespace balsammount::detail {

// False, and the line counts as dropped, when the output would block.
bool WriteLine(std::string_view aLine);

void UseStandardError();

// The number of lines dropped since the last call.
uint64_t TakeDroppedLines();

// "2026-01-02T03:04:05.678Z".
std::string FormatTime(std::chrono::system_clock::time_point aTime);

} // namespace balsammount::detail
