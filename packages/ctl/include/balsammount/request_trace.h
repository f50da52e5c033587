// What the logs of several nodes say about one request.
#pragma once

#include "balsammount/error.h"

#include <istream>
#include <string>
#include <string_view>
#include <vector>

namespace balsammount {

// A log line about the request.
struct LogRecord
{
  std::string mTime; // as written, ISO 8601; orders the records
  std::string mNode; // from the file's start line, else the text before the record or the file
  std::string mPart;
  std::string mEvent;
  std::string mReason;  // empty when the event has none
  std::string mDetails; // the other fields, as "name=value name=value"

  bool operator==(const LogRecord&) const = default;
};

struct RequestTrace
{
  std::vector<LogRecord> mRecords; // in the order of time
  size_t mUnreadable = 0;          // lines that look like JSON and are not
  uint64_t mDropped = 0;           // lines that the nodes did not write, by their own count

  bool operator==(const RequestTrace&) const = default;
};

// Adds the records of one log. Text before the JSON object of a line is taken as a prefix whose
// last word names the node.
void ReadLog(std::istream& aLog, std::string_view aFile, std::string_view aRequestId,
             RequestTrace& aTrace);

// Orders the records; call it when all logs are read.
void SortByTime(RequestTrace& aTrace);

// One sentence: what the record means for the request.
std::string_view Explain(const LogRecord& aRecord);

} // namespace balsammount
