// How the end of an HTTP/1 message is found (RFC 9112, sections 6.1 and 6.3).
#pragma once

#include <boost/beast/http/fields.hpp>

#include <cstdint>
#include <optional>
#include <string>
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

// Returns the names in the Connection fields. Such fields concern this connection only.
std::vector<std::string> ConnectionOptions(const boost::beast::http::fields& aFields);

} // namespace balsammount::detail
