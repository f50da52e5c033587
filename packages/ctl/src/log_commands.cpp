#include "output.h"

#include "balsammount/request_trace.h"

#include <fstream>

namespace balsammount {

namespace {

using detail::Json;

void PrintText(const CtlContext& aContext, const RequestTrace& aTrace)
{
  for (const LogRecord& record : aTrace.mRecords) {
    aContext.Out() << detail::Printable(record.mTime) << "  " << detail::Printable(record.mNode)
                   << "  " << detail::Printable(record.mPart) << ' '
                   << detail::Printable(record.mEvent) << "  " << detail::Printable(record.mDetails)
                   << '\n';
    if (const auto explanation = Explain(record); !explanation.empty()) {
      aContext.Out() << "    " << explanation << '\n';
    }
  }
  if (aTrace.mRecords.empty()) {
    aContext.Out()
      << "no record of this request: a backend server answered it without a failure, it "
         "did not enter at these nodes, or its lines were dropped\n";
  }
  if (aTrace.mDropped > 0 || aTrace.mUnreadable > 0) {
    aContext.Out() << aTrace.mDropped << " lines were dropped under load, " << aTrace.mUnreadable
                   << " could not be parsed\n";
  }
}

void PrintJson(const CtlContext& aContext, const RequestTrace& aTrace)
{
  Json records = Json::array();
  for (const LogRecord& record : aTrace.mRecords) {
    records.push_back({ { "time", record.mTime },
                        { "node", record.mNode },
                        { "part", record.mPart },
                        { "event", record.mEvent },
                        { "reason", record.mReason },
                        { "details", record.mDetails },
                        { "meaning", Explain(record) } });
  }
  const Json trace = { { "records", records },
                       { "dropped", aTrace.mDropped },
                       { "unreadable", aTrace.mUnreadable } };
  aContext.Out() << detail::ToText(trace) << '\n';
}

ExitCode RunExplain(const CtlContext& aContext)
{
  RequestTrace trace;
  for (size_t i = 1; i < aContext.mArguments.size(); ++i) {
    const std::string& path = aContext.mArguments[i];
    std::ifstream log(path);
    if (!log) {
      return detail::ReportFailure(aContext,
                                   Failure{ std::make_error_code(std::errc::io_error), path });
    }
    ReadLog(log, path, aContext.mArguments[0], trace);
  }
  SortByTime(trace);
  if (aContext.mJson) {
    PrintJson(aContext, trace);
  } else {
    PrintText(aContext, trace);
  }
  return trace.mRecords.empty() ? ExitCode::Failed : ExitCode::Ok;
}

} // namespace

std::span<const CtlCommand> LogCommands()
{
  static constexpr CtlCommand kCommands[] = {
    { "explain", "ID FILE...", "Explain what the nodes' logs record about a request", nullptr,
      RunExplain },
  };
  return kCommands;
}

} // namespace balsammount
