// How the end of an HTTP/1 message is found (RFC 9112, sections 6.1 and 6.3).
#pragma once

#include <boost/beast/http/message.hpp>

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace balsammount::detail {

enum class Framing
{
  NoTransferCoding, // by the length, or by the kind of the message
  Chunked,
  Unsupported, // the end can be found, but the body has a coding that is not supported
  Malformed,   // the end cannot be found reliably
};

// aVersion is that of the message, 10 or 11. All Transfer-Encoding fields count as one list.
Framing FindFraming(const boost::beast::http::fields& aFields, unsigned aVersion);

// What the parser has made of the fields.
struct ParsedFraming
{
  bool mChunked = false;
  bool mHasLength = false;

  bool operator==(const ParsedFraming&) const = default;
};

// Returns the status with which a request is refused before it runs, or 0 if the end of its body is
// known. The connection must be closed after a refusal, because what follows may be the body.
unsigned StatusOfRequestFraming(const boost::beast::http::fields& aFields, unsigned aVersion,
                                const ParsedFraming& aParsed);

// Returns why the end of a response is not known, or nullopt. It is known if the framing states it,
// or if it is the end of the connection. Otherwise no bytes may count as a complete response.
std::optional<std::string> ResponseFramingFault(
  const boost::beast::http::response_header<boost::beast::http::fields>& aHead,
  const ParsedFraming& aParsed);

// Finds a line of a head that continues the line before (RFC 9112, section 5.2). The parser joins
// such lines, so that a field on the second one, such as the length, would become part of the
// first.
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

// Returns the names in the Connection fields. Such fields concern this connection only.
std::vector<std::string> ConnectionOptions(const boost::beast::http::fields& aFields);

} // namespace balsammount::detail
