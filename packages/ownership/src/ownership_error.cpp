#include "balsammount/ownership_error.h"

#include <array>

namespace balsammount {

std::error_code make_error_code(OwnershipError aError)
{
  static constexpr std::array<const char*, 8> kMessages = {
    "success",
    "key was already used for another request",
    "caller and key are too long",
    "key has no running request",
    "key memory is full",
    "value exceeds its size limit",
    "malformed value",
    "unsupported format version",
  };
  static const EnumCategory sCategory("balsammount.ownership", kMessages);
  return { static_cast<int>(aError), sCategory };
}

} // namespace balsammount
