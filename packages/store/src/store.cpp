#include "balsammount/store.h"

#include <array>

namespace balsammount {

std::error_code make_error_code(StoreError aError)
{
  static constexpr std::array<const char*, 8> kMessages = {
    "success",
    "store unavailable",
    "no answer from the store in time",
    "the write may have taken effect",
    "the key was changed by someone else",
    "malformed answer from the store",
    "value too large",
    "no such lease",
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
