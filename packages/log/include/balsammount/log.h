// Log lines with a fixed prefix per part.
#pragma once

#include <spdlog/spdlog.h>

#include <string_view>

namespace balsammount {

// The logger of one part, for example "admission". Created on first use with the current level.
spdlog::logger& Log(std::string_view aPart);

// For programs whose standard output carries their results.
void LogToStandardError();

// "text" or "json" lines.
void SetLogFormat(std::string_view aFormat);

// For every part; can be changed while running. False when the level is unknown.
bool SetLogLevel(std::string_view aLevel);

} // namespace balsammount
