#include "output.h"

#include "balsammount/request_story.h"

#include <fstream>

namespace balsammount {

namespace {

using detail::Json;

void PrintText(const CtlCall& aCall, const RequestStory& aStory)
{
  for (const LogRecord& record : aStory.mRecords) {
    aCall.Out() << detail::Printable(record.mTime) << "  " << detail::Printable(record.mNode)
                << "  " << detail::Printable(record.mPart) << ' '
                << detail::Printable(record.mEvent) << "  " << detail::Printable(record.mDetails)
                << '\n';
    if (const auto meaning = MeaningOf(record); !meaning.empty()) {
      aCall.Out() << "    " << meaning << '\n';
    }
  }
  if (aStory.mRecords.empty()) {
    aCall.Out() << "no line about this request: a backend server answered it without a failure, it "
                   "did not come in here, or its lines were dropped\n";
  }
  if (aStory.mDropped > 0 || aStory.mUnreadable > 0) {
    aCall.Out() << aStory.mDropped << " lines were not written under load, " << aStory.mUnreadable
                << " could not be read\n";
  }
}

void PrintJson(const CtlCall& aCall, const RequestStory& aStory)
{
  Json records = Json::array();
  for (const LogRecord& record : aStory.mRecords) {
    records.push_back({ { "time", record.mTime },
                        { "node", record.mNode },
                        { "part", record.mPart },
                        { "event", record.mEvent },
                        { "reason", record.mReason },
                        { "details", record.mDetails },
                        { "meaning", MeaningOf(record) } });
  }
  const Json story = { { "records", records },
                       { "dropped", aStory.mDropped },
                       { "unreadable", aStory.mUnreadable } };
  aCall.Out() << detail::ToText(story) << '\n';
}

ExitCode RunExplain(const CtlCall& aCall)
{
  RequestStory story;
  for (size_t i = 1; i < aCall.mArguments.size(); ++i) {
    const std::string& path = aCall.mArguments[i];
    std::ifstream log(path);
    if (!log) {
      return detail::Refuse(aCall, Failure{ std::make_error_code(std::errc::io_error), path });
    }
    ReadLog(log, path, aCall.mArguments[0], story);
  }
  SortByTime(story);
  if (aCall.mJson) {
    PrintJson(aCall, story);
  } else {
    PrintText(aCall, story);
  }
  return story.mRecords.empty() ? ExitCode::Refused : ExitCode::Ok;
}

} // namespace

std::span<const CtlCommand> LogCommands()
{
  static constexpr CtlCommand kCommands[] = {
    { "explain", "ID FILE...", "Tell what the logs of nodes say about a request", nullptr,
      RunExplain },
  };
  return kCommands;
}

} // namespace balsammount
