// The last place to catch an exception that nothing else handles. It ends the work of the handler
// that threw it, not the process.
#pragma once

#include <cstdint>
#include <exception>
#include <utility>

namespace balsammount {

// Logs and counts the exception. aPart is the name of the component.
void ReportUnhandled(const char* aPart, const std::exception_ptr& aException) noexcept;

// Number of exceptions reported since the process started.
uint64_t UnhandledExceptions();

// Calls the function and reports an exception. Returns false if there was one.
template <class Function, class... Arguments>
bool RunGuarded(const char* aPart, Function&& aFunction, Arguments&&... aArguments) noexcept
{
  try {
    std::forward<Function>(aFunction)(std::forward<Arguments>(aArguments)...);
    return true;
  } catch (...) {
    ReportUnhandled(aPart, std::current_exception());
    return false;
  }
}

} // namespace balsammount
