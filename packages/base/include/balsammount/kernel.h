// Registry of the services within a process: looks them up by name, starts them in order of
// registration and stops them in reverse.
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

// A component of the process with a lifetime managed by Kernel.
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
  // Fails with DuplicateService if the name is in use.
  Result<void> Register(std::string_view aName, std::shared_ptr<Service> aService);

  // Fails with UnknownService, or with WrongType if the service is not a T.
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

  // Starts the services in order of registration. If one fails, stops the started ones and returns
  // its failure.
  Result<void> StartAll();

  // Stops the started services in reverse order.
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
