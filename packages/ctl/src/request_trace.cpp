#include "balsammount/request_trace.h"

#include <nlohmann/json.hpp>

#include <algorithm>
#include <array>

namespace balsammount {

namespace {

using Json = nlohmann::ordered_json;

struct Explanation
{
  std::string_view mPart;
  std::string_view mEvent;
  std::string_view mReason; // empty matches any
  std::string_view mText;
};

// The first match applies, so specific reasons come before general ones.
constexpr std::array kExplanations = {
  Explanation{
    "entry", "throttled", "",
    "refused, not run: too many chains of this route failed; the caller was told when to "
    "retry" },
  Explanation{ "entry", "rejected", "",
               "rejected, not run: the request is malformed or matches no route" },
  Explanation{ "entry", "refused", "overload",
               "refused, not run: no upstream had room; see the upstreams' nodes for their load" },
  Explanation{ "entry", "refused", "deadline", "refused, not run: too close to the deadline" },
  Explanation{
    "entry", "refused", "unavailable",
    "refused, not run: no upstream was available; see the directory lines of this node" },
  Explanation{ "entry", "refused", "draining", "refused, not run: the upstreams were leaving" },
  Explanation{ "entry", "refused", "quarantined",
               "refused, not run: this request has crashed backend servers" },
  Explanation{ "entry", "refused", "", "refused, not run" },
  Explanation{ "entry", "unknown", "deadline",
               "no response before the deadline; a backend server may have run it" },
  Explanation{ "entry", "unknown", "none", "the caller disconnected before the response" },
  Explanation{ "entry", "unknown", "", "may have run: no response arrived" },
  Explanation{ "entry", "server-error", "",
               "a backend server ran it and failed; look for its calls on that server's node" },
  Explanation{ "routing", "again", "connection-lost",
               "the connection was lost before the response; as it may be run twice, another "
               "upstream gets it" },
  Explanation{ "routing", "again", "deadline",
               "not run by the first upstream, too close to the deadline; another may be faster" },
  Explanation{ "routing", "again", "", "not run by the first upstream; sent to another" },
  Explanation{ "backend", "server-refused", "", "not run: the backend server refused it" },
  Explanation{ "backend", "other-server", "",
               "a different backend server responded at this address" },
  Explanation{ "backend", "no-answer", "", "no complete response arrived from the backend server" },
  Explanation{ "quarantine", "held", "", "quarantined: this request has crashed backend servers" },
};

std::string TextOf(const Json& aRecord, const char* aName)
{
  const auto found = aRecord.find(aName);
  if (found == aRecord.end()) {
    return {};
  }
  return found->is_string() ? found->get<std::string>() : found->dump();
}

std::string DetailsOf(const Json& aRecord)
{
  std::string details;
  for (const auto& [name, value] : aRecord.items()) {
    if (name == "time" || name == "part" || name == "event" || name == "request") {
      continue;
    }
    details += (details.empty() ? "" : " ") + name + "=" + TextOf(aRecord, name.c_str());
  }
  return details;
}

std::string_view LastWord(std::string_view aText)
{
  const size_t end = aText.find_last_not_of(" \t");
  if (end == std::string_view::npos) {
    return {};
  }
  aText = aText.substr(0, end + 1);
  const size_t space = aText.find_last_of(" \t");
  return space == std::string_view::npos ? aText : aText.substr(space + 1);
}

} // namespace

void ReadLog(std::istream& aLog, std::string_view aFile, std::string_view aRequestId,
             RequestTrace& aTrace)
{
  std::string node(aFile);
  for (std::string line; std::getline(aLog, line);) {
    const size_t start = line.find('{');
    if (start == std::string::npos) {
      continue;
    }
    const Json record = Json::parse(line.substr(start), nullptr, false);
    if (!record.is_object()) {
      ++aTrace.mUnreadable;
      continue;
    }
    const std::string_view prefix = LastWord(std::string_view(line).substr(0, start));
    if (!prefix.empty()) {
      node = prefix;
    } else if (TextOf(record, "part") == "node" && TextOf(record, "event") == "start") {
      node = TextOf(record, "node");
    }
    if (const auto dropped = record.find("dropped");
        dropped != record.end() && dropped->is_number_unsigned()) {
      aTrace.mDropped += dropped->get<uint64_t>();
    }
    if (TextOf(record, "request") == aRequestId) {
      aTrace.mRecords.push_back({ TextOf(record, "time"), node, TextOf(record, "part"),
                                  TextOf(record, "event"), TextOf(record, "reason"),
                                  DetailsOf(record) });
    }
  }
}

void SortByTime(RequestTrace& aTrace)
{
  std::ranges::stable_sort(aTrace.mRecords, {}, &LogRecord::mTime);
}

std::string_view Explain(const LogRecord& aRecord)
{
  const auto found = std::ranges::find_if(kExplanations, [&](const Explanation& aExplanation) {
    return aExplanation.mPart == aRecord.mPart && aExplanation.mEvent == aRecord.mEvent &&
           (aExplanation.mReason.empty() || aExplanation.mReason == aRecord.mReason);
  });
  return found == kExplanations.end() ? "" : found->mText;
}

} // namespace balsammount
