#include "balsammount/ownership_error.h"

#include <array>

namespace balsammount {

std::error_code make_error_code(OwnershipError aError)
{
  static constexpr std::array<const char*, 8> kMessages = {
    "success",
    "the key was used for another request",
    "caller or key is too long",
    "no running record of the key",
    "key memory is full",
    "value exceeds its size bound",
    "malformed value",
    "unsupported format version",
  };
  static const EnumCategory sCategory("balsammount.ownership", kMessages);
  return { static_cast<int>(aError), sCategory };
}

} // namespace balsammount
