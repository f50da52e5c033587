// Error codes of the ownership package.
#pragma once

#include "balsammount/error.h"

namespace balsammount {

enum class OwnershipError
{
  FingerprintMismatch = 1, // the key was reused with another method, path or body (status 422)
  KeyTooLong,
  UnknownKey,
  MemoryFull,
  TooLarge,
  Malformed,
  UnsupportedFormat,
};

std::error_code make_error_code(OwnershipError aError);

} // namespace balsammount

template <>
struct std::is_error_code_enum<balsammount::OwnershipError> : std::true_type
{
};
