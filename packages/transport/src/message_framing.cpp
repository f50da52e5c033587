#include "message_framing.h"

#include "balsammount/http_message.h"

#include <boost/beast/http/field.hpp>

#include <algorithm>

namespace balsammount::detail {

namespace http = boost::beast::http;

namespace {

std::string_view Trim(std::string_view aText)
{
  constexpr std::string_view kSpaces = " \t";
  const size_t first = aText.find_first_not_of(kSpaces);
  if (first == std::string_view::npos) {
    return {};
  }
  return aText.substr(first, aText.find_last_not_of(kSpaces) - first + 1);
}

// Returns the elements of the lists in all fields of a name, in order and without empty ones.
std::vector<std::string> ListElements(const http::fields& aFields, http::field aName)
{
  std::vector<std::string> elements;
  const auto [begin, end] = aFields.equal_range(aName);
  for (auto field = begin; field != end; ++field) {
    std::string_view rest(field->value().data(), field->value().size());
    for (bool more = true; more;) {
      const size_t comma = rest.find(',');
      more = comma != std::string_view::npos;
      const std::string_view element = Trim(rest.substr(0, comma));
      if (!element.empty()) {
        elements.emplace_back(element);
      }
      rest.remove_prefix(more ? comma + 1 : rest.size());
    }
  }
  return elements;
}

bool IsChunked(const std::string& aCoding)
{
  return EqualsIgnoringCase(aCoding, "chunked");
}

// Returns whether a response states a body that its status forbids (RFC 9110, section 8.6, and RFC
// 9112, section 6.1). Its sender and its recipient may find different ends.
bool StatesForbiddenBody(const http::response_header<http::fields>& aHead)
{
  const bool mayHaveBody =
    aHead.result_int() / 100 != 1 && aHead.result() != http::status::no_content;
  if (mayHaveBody) {
    return false;
  }
  const auto lengths = ListElements(aHead, http::field::content_length);
  return aHead.count(http::field::transfer_encoding) > 0 ||
         std::any_of(lengths.begin(), lengths.end(), [](const std::string& aLength) {
           return aLength.find_first_not_of('0') != std::string::npos;
         });
}

} // namespace

Framing FindFraming(const http::fields& aFields, unsigned aVersion)
{
  if (aFields.count(http::field::transfer_encoding) == 0) {
    return Framing::NoTransferCoding;
  }
  const auto codings = ListElements(aFields, http::field::transfer_encoding);
  const auto chunked = std::count_if(codings.begin(), codings.end(), IsChunked);
  // HTTP/1.0 has no transfer codings; an intermediary of that version may have passed the field on
  // without regard to it.
  if (aVersion < 11 || chunked != 1 || !IsChunked(codings.back())) {
    return Framing::Malformed;
  }
  return codings.size() == 1 ? Framing::Chunked : Framing::Unsupported;
}

unsigned StatusOfRequestFraming(const http::fields& aFields, unsigned aVersion,
                                const ParsedFraming& aParsed)
{
  constexpr unsigned kBadRequest = 400;
  constexpr unsigned kNotImplemented = 501;
  const Framing framing = FindFraming(aFields, aVersion);
  if (framing == Framing::Unsupported) {
    return kNotImplemented;
  }
  const bool isChunked = framing == Framing::Chunked;
  const bool hasLength = aFields.count(http::field::content_length) > 0;
  const bool agrees = aParsed == ParsedFraming{ isChunked, hasLength };
  return framing == Framing::Malformed || (isChunked && hasLength) || !agrees ? kBadRequest : 0;
}

std::optional<std::string> ResponseFramingFault(const http::response_header<http::fields>& aHead,
                                                const ParsedFraming& aParsed)
{
  const Framing framing = FindFraming(aHead, aHead.version());
  const bool isChunked = framing == Framing::Chunked;
  if ((!isChunked && framing != Framing::NoTransferCoding) || aParsed.mChunked != isChunked) {
    return "the end of the body is not known";
  }
  if (StatesForbiddenBody(aHead)) {
    return "a body that a response with this status does not have";
  }
  return std::nullopt;
}

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

std::vector<std::string> ConnectionOptions(const http::fields& aFields)
{
  return ListElements(aFields, http::field::connection);
}

} // namespace balsammount::detail
