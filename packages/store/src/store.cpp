#include "balsammount/store.h"

#include <array>

namespace balsammount {

std::error_code make_error_code(StoreError aError)
{
  static constexpr std::array<const char*, 8> kMessages = {
    "success",
    "store unavailable",
    "store request timed out",
    "the write may have taken effect",
    "key was modified concurrently",
    "malformed response from the store",
    "value too large",
    "lease not found",
  };
  static const EnumCategory sCategory("balsammount.store", kMessages);
  return { static_cast<int>(aError), sCategory };
}

std::string PrefixEnd(std::string aPrefix)
{
  while (!aPrefix.empty() && static_cast<unsigned char>(aPrefix.back()) == 0xFF) {
    aPrefix.pop_back();
  }
  if (!aPrefix.empty()) {
    aPrefix.back() = static_cast<char>(static_cast<unsigned char>(aPrefix.back()) + 1);
  }
  return aPrefix;
}

} // namespace balsammount
