#include "balsammount/exchange.h"

#include <array>

namespace balsammount {

std::error_code make_error_code(TransportError aError)
{
  static constexpr std::array<const char*, 11> kMessages = {
    "success",
    "connection failed",
    "request not processed by the peer",
    "connection lost before the whole answer",
    "invalid answer",
    "no whole answer in time",
    "cancelled",
    "message too large",
    "no socket available",
    "cannot listen",
    "expected ADDRESS:PORT with an IP address",
  };
  static const EnumCategory sCategory("balsammount.transport", kMessages);
  return { static_cast<int>(aError), sCategory };
}

std::shared_ptr<Call> FinishedCall()
{
  class Finished final : public Call
  {
  public:
    void Cancel() override {}
  };
  static const auto sCall = std::make_shared<Finished>();
  return sCall;
}

bool ProvesNotRun(const std::error_code& aError)
{
  return aError == TransportError::ConnectFailed || aError == TransportError::NotProcessed ||
         aError == TransportError::NoResources;
}

} // namespace balsammount
