#include "balsammount/kernel.h"

#include <array>

namespace balsammount {

std::error_code make_error_code(KernelError aError)
{
  static constexpr std::array<const char*, 4> kMessages = { "success", "service not found",
                                                            "service name is already in use",
                                                            "service has a different type" };
  static const EnumCategory sCategory("balsammount.kernel", kMessages);
  return { static_cast<int>(aError), sCategory };
}

Result<void> Kernel::Register(std::string_view aName, std::shared_ptr<Service> aService)
{
  if (FindAny(aName)) {
    return Failure{ KernelError::DuplicateService, std::string(aName) };
  }
  mEntries.push_back({ std::string(aName), std::move(aService) });
  return {};
}

Result<std::shared_ptr<Service>> Kernel::FindAny(std::string_view aName) const
{
  for (const Entry& entry : mEntries) {
    if (entry.mName == aName) {
      return entry.mService;
    }
  }
  return Failure{ KernelError::UnknownService, std::string(aName) };
}

Result<void> Kernel::StartAll()
{
  while (mStarted < mEntries.size()) {
    if (auto result = mEntries[mStarted].mService->Start(); !result) {
      StopAll();
      return result;
    }
    ++mStarted;
  }
  return {};
}

void Kernel::StopAll()
{
  while (mStarted > 0) {
    mEntries[--mStarted].mService->Stop();
  }
}

std::vector<std::string> Kernel::Names() const
{
  std::vector<std::string> names;
  names.reserve(mEntries.size());
  for (const Entry& entry : mEntries) {
    names.push_back(entry.mName);
  }
  return names;
}

} // namespace balsammount
