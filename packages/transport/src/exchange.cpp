#include "balsammount/exchange.h"

#include <array>

namespace balsammount {

std::error_code make_error_code(TransportError aError)
{
  static constexpr std::array<const char*, 8> kMessages = {
    "success",
    "connection failed",
    "request not processed by the peer",
    "connection lost before the whole answer",
    "no whole answer in time",
    "cancelled",
    "message too large",
    "cannot listen",
  };
  static const EnumCategory sCategory("balsammount.transport", kMessages);
  return { static_cast<int>(aError), sCategory };
}

bool ProvesNotRun(const std::error_code& aError)
{
  return aError == TransportError::ConnectFailed || aError == TransportError::NotProcessed;
}

} // namespace balsammount
