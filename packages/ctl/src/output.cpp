#include "output.h"

#include <ostream>

namespace balsammount::detail {

std::string ToText(const Json& aJson)
{
  return aJson.dump(-1, ' ', false, Json::error_handler_t::replace);
}

Json ToJson(const Diagnostic& aDiagnostic)
{
  return { { "file", aDiagnostic.mFile },
           { "line", aDiagnostic.mLine },
           { "column", aDiagnostic.mColumn },
           { "path", aDiagnostic.mPath },
           { "message", aDiagnostic.mMessage } };
}

Json ToJson(const std::vector<Diagnostic>& aDiagnostics)
{
  Json list = Json::array();
  for (const Diagnostic& diagnostic : aDiagnostics) {
    list.push_back(ToJson(diagnostic));
  }
  return list;
}

Json ToJson(const std::vector<FileChange>& aChanges)
{
  Json list = Json::array();
  for (const FileChange& change : aChanges) {
    list.push_back({ { "file", change.mFile }, { "change", NameOf(change.mKind) } });
  }
  return list;
}

std::string_view NameOf(FileChangeKind aKind)
{
  switch (aKind) {
    case FileChangeKind::Added:
      return "added";
    case FileChangeKind::Removed:
      return "removed";
    case FileChangeKind::Changed:
      break;
  }
  return "changed";
}

std::string Printable(std::string_view aText)
{
  std::string text(aText);
  for (char& byte : text) {
    if (static_cast<unsigned char>(byte) < ' ' || byte == '\x7F') {
      byte = '?';
    }
  }
  return text;
}

ExitCode ReportFailure(const CtlContext& aContext, const PushFailure& aFailure)
{
  const ExitCode code =
    aFailure.mCode == std::errc::invalid_argument ? ExitCode::Usage : ExitCode::Failed;
  if (aContext.mJson) {
    Json error = { { "category", aFailure.mCode.category().name() },
                   { "code", aFailure.mCode.value() },
                   { "message", Describe(aFailure) } };
    if (!aFailure.mDiagnostics.empty()) {
      error["diagnostics"] = ToJson(aFailure.mDiagnostics);
    }
    for (const MergeConflict& conflict : aFailure.mConflicts) {
      error["conflicts"].push_back({ { "file", conflict.mFile },
                                     { "mine", NameOf(conflict.mMine) },
                                     { "theirs", NameOf(conflict.mTheirs) } });
    }
    aContext.Out() << ToText({ { "error", std::move(error) } }) << '\n';
    return code;
  }
  aContext.Err() << "balsamctl: " << Printable(Describe(aFailure)) << '\n';
  for (const Diagnostic& diagnostic : aFailure.mDiagnostics) {
    aContext.Err() << Printable(Describe(diagnostic)) << '\n';
  }
  for (const MergeConflict& conflict : aFailure.mConflicts) {
    aContext.Err() << conflict.mFile << ": " << NameOf(conflict.mMine) << " here, "
                   << NameOf(conflict.mTheirs) << " in the store\n";
  }
  return code;
}

ExitCode ReportFailure(const CtlContext& aContext, const Failure& aFailure)
{
  return ReportFailure(aContext, PushFailure(aFailure.mCode, aFailure.mDetail));
}

} // namespace balsammount::detail
