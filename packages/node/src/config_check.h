// Interface for requests that wait until it is known whether the configuration in force is the
// newest one.
#pragma once

#include <functional>

namespace balsammount {

class ConfigCheck
{
public:
  virtual ~ConfigCheck() = default;

  // Whether a request must not be handled yet. Sends the check if it is overdue.
  virtual bool MustWait() = 0;
  // Runs the action once when no request must wait any longer. To be called if MustWait returned
  // true.
  virtual void WhenChecked(std::function<void()> aAction) = 0;
};

} // namespace balsammount
