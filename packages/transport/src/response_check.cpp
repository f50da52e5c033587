#include "balsammount/response_check.h"

#include "balsammount/event.h"

#include <algorithm>

namespace balsammount {

namespace {

constexpr unsigned kSwitchingProtocols = 101;

// tchar of RFC 9110, section 5.6.2.
bool IsTokenByte(char aByte)
{
  const bool isAlphanumeric = (aByte >= '0' && aByte <= '9') || (aByte >= 'A' && aByte <= 'Z') ||
                              (aByte >= 'a' && aByte <= 'z');
  return isAlphanumeric ||
         std::string_view("!#$%&'*+-.^_`|~").find(aByte) != std::string_view::npos;
}

bool IsControl(char aByte)
{
  return (static_cast<unsigned char>(aByte) < 0x20 && aByte != '\t') || aByte == 0x7f;
}

bool IsFieldValid(const Header& aField)
{
  const std::string& name = aField.mName;
  const std::string& value = aField.mValue;
  return !name.empty() && std::all_of(name.begin(), name.end(), IsTokenByte) &&
         std::none_of(value.begin(), value.end(), IsControl);
}

} // namespace

bool IsInterim(const HttpResponse& aResponse)
{
  return aResponse.mStatus / 100 == 1;
}

std::optional<std::string> ResponseFault(const HttpResponse& aResponse)
{
  constexpr unsigned kMinStatus = 100;
  constexpr unsigned kMaxStatus = 599;
  const unsigned status = aResponse.mStatus;
  if (status < kMinStatus || status > kMaxStatus) {
    return "status " + std::to_string(status) + " is not between 100 and 599";
  }
  if (status == kSwitchingProtocols) {
    return "switch to a protocol that was not asked for";
  }
  const auto& fields = aResponse.mHeaders.All();
  if (!std::all_of(fields.begin(), fields.end(), IsFieldValid)) {
    return "byte that is not allowed in the name or the value of a field";
  }
  return std::nullopt;
}

Failure InvalidResponse(const std::string& aPeer, const std::string& aFault)
{
  Event("transport", "invalid-response").Add("peer", aPeer).Add("fault", aFault);
  return { TransportError::InvalidResponse, aPeer + ": " + aFault };
}

} // namespace balsammount
