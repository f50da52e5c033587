// Printing of results and failures, as text or as JSON.
#pragma once

#include "balsammount/config_push.h"
#include "balsammount/ctl.h"

#include <nlohmann/json.hpp>

namespace balsammount::detail {

using Json = nlohmann::ordered_json;

// One line; bytes that are not UTF-8 are replaced.
std::string ToText(const Json& aJson);

Json ToJson(const Diagnostic& aDiagnostic);
Json ToJson(const std::vector<Diagnostic>& aDiagnostics);
Json ToJson(const std::vector<FileChange>& aChanges);

std::string_view NameOf(FileChangeKind aKind);

// Text for a terminal: control characters, which file contents and authors may hold, are replaced.
std::string Printable(std::string_view aText);

// Prints a failure with its diagnostics and conflicts. As JSON it goes to the output, as text to
// the error stream. Returns Usage for an invalid argument, otherwise Refused.
ExitCode ReportFailure(const CtlContext& aContext, const PushFailure& aFailure);
ExitCode ReportFailure(const CtlContext& aContext, const Failure& aFailure);

} // namespace balsammount::detail
