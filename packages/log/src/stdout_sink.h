// Non-blocking output of log lines to standard output or standard error.
#pragma once

#include <chrono>
#include <cstdint>
#include <string>
#include <string_view>

namespace balsammount::detail {

// Returns false and counts the line as dropped if the output would block.
bool WriteLine(std::string_view aLine);

// Redirects the lines from standard output to standard error.
void UseStandardError();

// Returns the number of lines dropped since the last call.
uint64_t TakeDroppedLines();

// Formats a UTC time such as "2026-01-02T03:04:05.678Z".
std::string FormatTime(std::chrono::system_clock::time_point aTime);

} // namespace balsammount::detail
