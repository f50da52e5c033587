#include "balsammount/unhandled.h"

#include "balsammount/event.h"

#include <string>

namespace balsammount {

namespace {

uint64_t gUnhandledExceptions = 0;

std::string Describe(const std::exception_ptr& aException)
{
  try {
    std::rethrow_exception(aException);
  } catch (const std::exception& exception) {
    return exception.what();
  } catch (...) {
    return "not derived from std::exception";
  }
}

} // namespace

void ReportUnhandled(const char* aPart, const std::exception_ptr& aException) noexcept
{
  ++gUnhandledExceptions;
  try {
    Event(aPart, "unhandled-exception")
      .Add("error", Describe(aException))
      .Add("count", gUnhandledExceptions);
  } catch (...) {
    // Without memory for the line, the counter is all that is left.
  }
}

uint64_t UnhandledExceptions()
{
  return gUnhandledExceptions;
}

} // namespace balsammount
