#include "balsammount/http_message.h"

#include <algorithm>
#include <array>

namespace balsammount {

namespace {

char ToLowerAscii(char aChar)
{
  return aChar >= 'A' && aChar <= 'Z' ? static_cast<char>(aChar - 'A' + 'a') : aChar;
}

// Copies of a head that a node has at a time.
constexpr size_t kHeadCopies = 6;
// Of one field in one copy, besides the bytes of its name and value. A string takes 32
// bytes, and the parser's fields take more.
constexpr size_t kFieldBytes = 80;

} // namespace

size_t HeadFieldBytes(size_t aNameBytes, size_t aValueBytes)
{
  return kHeadCopies * (kFieldBytes + aNameBytes + aValueBytes);
}

size_t HeadBytes(const Headers& aHeaders)
{
  size_t bytes = 0;
  for (const Header& header : aHeaders.All()) {
    bytes += HeadFieldBytes(header.mName.size(), header.mValue.size());
  }
  return bytes;
}

bool EqualsIgnoringCase(std::string_view aLeft, std::string_view aRight)
{
  return std::equal(aLeft.begin(), aLeft.end(), aRight.begin(), aRight.end(),
                    [](char aA, char aB) { return ToLowerAscii(aA) == ToLowerAscii(aB); });
}

std::string_view Headers::Find(std::string_view aName) const
{
  for (const Header& header : mHeaders) {
    if (EqualsIgnoringCase(header.mName, aName)) {
      return header.mValue;
    }
  }
  return {};
}

bool Headers::Has(std::string_view aName) const
{
  return std::any_of(mHeaders.begin(), mHeaders.end(), [&](const Header& aHeader) {
    return EqualsIgnoringCase(aHeader.mName, aName);
  });
}

void Headers::Add(std::string_view aName, std::string_view aValue)
{
  mHeaders.push_back({ std::string(aName), std::string(aValue) });
}

void Headers::Set(std::string_view aName, std::string_view aValue)
{
  Remove(aName);
  Add(aName, aValue);
}

void Headers::Remove(std::string_view aName)
{
  std::erase_if(mHeaders,
                [&](const Header& aHeader) { return EqualsIgnoringCase(aHeader.mName, aName); });
}

bool IsHopByHop(std::string_view aName)
{
  static constexpr std::array<std::string_view, 8> kNames = {
    "connection", "keep-alive", "proxy-connection",  "te",
    "trailer",    "upgrade",    "transfer-encoding", "content-length"
  };
  return std::any_of(kNames.begin(), kNames.end(),
                     [&](std::string_view aHop) { return EqualsIgnoringCase(aHop, aName); });
}

} // namespace balsammount
