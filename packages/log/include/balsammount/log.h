// Loggers that prefix each line with the name of a component.
#pragma once

#include <spdlog/spdlog.h>

#include <string_view>

namespace balsammount {

// Returns the logger of a component such as "admission". Creates it on first use, with the current
// level.
spdlog::logger& Log(std::string_view aPart);

// Redirects all lines to standard error. For programs that print their results to standard output.
void LogToStandardError();

// Selects "json" or "text" lines; any other value means "text".
void SetLogFormat(std::string_view aFormat);

// Sets the level of all existing and future loggers. Returns false if the level is unknown.
bool SetLogLevel(std::string_view aLevel);

} // namespace balsammount
