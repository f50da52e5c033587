// Decides whether a response is valid, by RFC 9110 and RFC 9112. Every client of this package asks
// here before it delivers a response; what is not valid fails the call.
#pragma once

#include "message_framing.h"

#include "balsammount/exchange.h"

#include <boost/beast/http/message.hpp>

#include <optional>
#include <string>
#include <string_view>

namespace balsammount::detail {

// Finds a line of an HTTP/1 head that continues the line before (RFC 9112, section 5.2). The parser
// joins such lines, so that a field on the second one would become part of the first.
class FoldedLineFinder
{
public:
  // Takes the next bytes of the message. Returns true if a line up to the end of the head is
  // folded.
  bool Find(std::string_view aBytes);

private:
  enum class Position
  {
    InLine,
    AfterReturn, // after CR
    LineStart,
    AfterHead,
  };
  Position Next(char aByte) const;

  Position mPosition = Position::InLine;
};

// Returns why no response with this status can be valid, or nullopt.
std::optional<std::string> StatusFault(unsigned aStatus);

// Returns why the head of an HTTP/1 response is not valid, or nullopt. A head is valid only if the
// end of the body is known, or is the end of the connection.
std::optional<std::string> HeadFault(
  const boost::beast::http::response_header<boost::beast::http::fields>& aHead,
  const ParsedFraming& aParsed);

// Returns the failure of a call whose response is not valid, and logs it.
Failure InvalidResponse(const std::string& aPeer, const std::string& aFault);

} // namespace balsammount::detail
