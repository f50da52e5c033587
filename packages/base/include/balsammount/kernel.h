// Service registry: the parts of a process find each other by name and are started and stopped in
// a fixed order.
#pragma once

#include "balsammount/error.h"

#include <memory>
#include <string>
#include <string_view>
#include <vector>

namespace balsammount {

enum class KernelError
{
  UnknownService = 1,
  DuplicateService,
  WrongType,
};

std::error_code make_error_code(KernelError aError);

class Service
{
public:
  virtual ~Service() = default;
  virtual Result<void> Start() { return {}; }
  virtual void Stop() {}
};

class Kernel
{
public:
  Result<void> Register(std::string_view aName, std::shared_ptr<Service> aService);

  template <class T>
  Result<std::shared_ptr<T>> Find(std::string_view aName) const
  {
    auto found = FindAny(aName);
    if (!found) {
      return found.error();
    }
    auto typed = std::dynamic_pointer_cast<T>(*found);
    if (!typed) {
      return Failure{ make_error_code(KernelError::WrongType), std::string(aName) };
    }
    return typed;
  }

  // Starts in the order of registration. On a failure, what has started is stopped again.
  Result<void> StartAll();

  // Stops what has started, the latest first.
  void StopAll();

  std::vector<std::string> Names() const;

private:
  struct Entry
  {
    std::string mName;
    std::shared_ptr<Service> mService;
  };

  Result<std::shared_ptr<Service>> FindAny(std::string_view aName) const;

  std::vector<Entry> mEntries;
  size_t mStarted = 0;
};

} // namespace balsammount

template <>
struct std::is_error_code_enum<balsammount::KernelError> : std::true_type
{
};
