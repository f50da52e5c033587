// Collects the log records of one request from the logs of several nodes.
#pragma once

#include "balsammount/error.h"

#include <istream>
#include <string>
#include <string_view>
#include <vector>

namespace balsammount {

struct LogRecord
{
  std::string mTime; // ISO 8601, as logged
  std::string mNode; // from the line's prefix, else from the "start" event, else the file name
  std::string mPart;
  std::string mEvent;
  std::string mReason;  // empty when the event has none
  std::string mDetails; // the fields other than time, part, event and request, as "name=value ..."

  bool operator==(const LogRecord&) const = default;
};

struct RequestTrace
{
  std::vector<LogRecord> mRecords; // ordered by time after SortByTime
  size_t mUnreadable = 0;          // lines with a "{" that is not the start of a JSON object
  uint64_t mDropped = 0;           // lines dropped by the nodes, as counted in their logs

  bool operator==(const RequestTrace&) const = default;
};

// Appends the records of one log. If text precedes the JSON object of a line, its last word is the
// name of the node.
void ReadLog(std::istream& aLog, std::string_view aFile, std::string_view aRequestId,
             RequestTrace& aTrace);

// Sorts the records by time. Call it after all logs are read.
void SortByTime(RequestTrace& aTrace);

// Describes what the record means for the request. Empty for an unknown event.
std::string_view Explain(const LogRecord& aRecord);

} // namespace balsammount
