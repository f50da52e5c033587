#include "response_check.h"

#include "balsammount/event.h"

namespace balsammount::detail {

namespace http = boost::beast::http;

namespace {

constexpr unsigned kSwitchingProtocols = 101;

// Returns whether the end of the body is known, or is the end of the connection.
bool IsEndKnown(const http::response_header<http::fields>& aHead, const ParsedFraming& aParsed)
{
  const Framing framing = FindFraming(aHead, aHead.version());
  const bool isChunked = framing == Framing::Chunked;
  return (isChunked || framing == Framing::NoTransferCoding) && aParsed.mChunked == isChunked;
}

} // namespace

FoldedLineFinder::Position FoldedLineFinder::Next(char aByte) const
{
  if (mPosition == Position::AfterReturn && aByte == '\n') {
    return Position::LineStart;
  }
  // An empty line ends the head.
  if (mPosition == Position::LineStart && aByte == '\r') {
    return Position::AfterHead;
  }
  return aByte == '\r' ? Position::AfterReturn : Position::InLine;
}

bool FoldedLineFinder::Find(std::string_view aBytes)
{
  for (const char byte : aBytes) {
    if (mPosition == Position::AfterHead) {
      return false;
    }
    if (mPosition == Position::LineStart && (byte == ' ' || byte == '\t')) {
      return true;
    }
    mPosition = Next(byte);
  }
  return false;
}

std::optional<std::string> StatusFault(unsigned aStatus)
{
  constexpr unsigned kMin = 100;
  constexpr unsigned kMax = 599;
  if (aStatus < kMin || aStatus > kMax) {
    return "status " + std::to_string(aStatus) + " is not between 100 and 599";
  }
  // A client of this package never asks for another protocol.
  if (aStatus == kSwitchingProtocols) {
    return "switch to a protocol that was not asked for";
  }
  return std::nullopt;
}

std::optional<std::string> HeadFault(const http::response_header<http::fields>& aHead,
                                     const ParsedFraming& aParsed)
{
  if (auto fault = StatusFault(aHead.result_int())) {
    return fault;
  }
  if (!IsEndKnown(aHead, aParsed)) {
    return "the end of the body is not known";
  }
  return std::nullopt;
}

Failure InvalidResponse(const std::string& aPeer, const std::string& aFault)
{
  Event("transport", "invalid-response").Add("peer", aPeer).Add("fault", aFault);
  return { TransportError::InvalidResponse, aPeer + ": " + aFault };
}

} // namespace balsammount::detail
