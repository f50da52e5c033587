// Structured log lines: one JSON object per decision or change.
#pragma once

#include <nlohmann/json.hpp>

#include <chrono>
#include <string_view>

namespace balsammount {

// A line such as {"time": ..., "part": "entry", "event": "refused", "request": ...}, written when
// the object is destroyed:
//
//   Event("entry", "refused").Add("request", id).Add("reason", reason);
//
// The number of lines is bounded. Lines over the bound, and lines that standard output does not
// take at once, are dropped; the next line that is written tells how many ("dropped").
class Event
{
public:
  Event(std::string_view aPart, std::string_view aName);
  ~Event();
  Event(const Event&) = delete;
  Event& operator=(const Event&) = delete;

  // Durations are written in milliseconds, with fractions.
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
