// Structured log events, one JSON object per line.
#pragma once

#include <nlohmann/json.hpp>

#include <chrono>
#include <string_view>

namespace balsammount {

// A log line such as {"time": ..., "part": "entry", "event": "refused", "request": ...}. The
// destructor writes it:
//
//   Event("entry", "refused").Add("request", id).Add("reason", reason);
//
// The rate of lines is limited. Lines over the limit, and lines that would block on the output, are
// dropped; the next line that is written reports their number as "dropped".
class Event
{
public:
  Event(std::string_view aPart, std::string_view aName);
  ~Event();
  Event(const Event&) = delete;
  Event& operator=(const Event&) = delete;

  // Writes the duration in milliseconds, with fractions.
  Event& Add(const char* aField, std::chrono::nanoseconds aValue)
  {
    return Add(aField, std::chrono::duration<double, std::milli>(aValue).count());
  }

  template <class T>
  Event& Add(const char* aField, const T& aValue)
  {
    if (mEnabled) {
      mLine[aField] = aValue;
    }
    return *this;
  }

private:
  bool mEnabled;
  nlohmann::ordered_json mLine;
};

} // namespace balsammount
