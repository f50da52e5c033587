// Formats results and failures as text or JSON.
#pragma once

#include "balsammount/config_push.h"
#include "balsammount/ctl.h"

#include <nlohmann/json.hpp>

namespace balsammount::detail {

using Json = nlohmann::ordered_json;

// Serializes to one line. Invalid UTF-8 is replaced.
std::string ToText(const Json& aJson);

Json ToJson(const Diagnostic& aDiagnostic);
Json ToJson(const std::vector<Diagnostic>& aDiagnostics);
Json ToJson(const std::vector<FileChange>& aChanges);

std::string_view NameOf(FileChangeKind aKind);

// Replaces control characters, which file contents and author names may contain, for output to a
// terminal.
std::string Printable(std::string_view aText);

// Prints a failure with its diagnostics and conflicts, as JSON to the output or as text to the
// error stream. Returns Usage for an invalid argument, otherwise Failed.
ExitCode ReportFailure(const CtlContext& aContext, const PushFailure& aFailure);
ExitCode ReportFailure(const CtlContext& aContext, const Failure& aFailure);

} // namespace balsammount::detail
