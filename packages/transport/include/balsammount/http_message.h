// HTTP messages with complete bodies, shared by the HTTP/1.1 and HTTP/2 clients and servers.
#pragma once

#include "balsammount/body.h"

#include <cstddef>
#include <memory>
#include <string>
#include <string_view>
#include <vector>

namespace balsammount {

// Largest body that the listeners and clients of a node accept, in either direction. All hops have
// the same limit, so that no hop refuses a body that an earlier one accepted.
inline constexpr size_t kMaxBodyBytes = 8 * 1024 * 1024;

struct Header
{
  std::string mName;
  std::string mValue;

  bool operator==(const Header&) const = default;
};

// List of headers with case-insensitive names. Lookup is linear, as a message has few headers.
class Headers
{
public:
  // Returns the first value of the header, or an empty view if there is none.
  std::string_view Find(std::string_view aName) const;
  bool Has(std::string_view aName) const;
  void Add(std::string_view aName, std::string_view aValue);
  // Replaces all headers of that name.
  void Set(std::string_view aName, std::string_view aValue);
  void Remove(std::string_view aName);
  const std::vector<Header>& All() const { return mHeaders; }

  bool operator==(const Headers&) const = default;

private:
  std::vector<Header> mHeaders;
};

struct HttpRequest
{
  std::string mMethod = "GET";
  std::string mTarget = "/";
  Headers mHeaders;
  Body mBody;
  // Holds the response on behalf of the peer that sent this request; null: nobody does. Not a part
  // of the message.
  std::shared_ptr<ResourceHolder> mHolder = nullptr;

  friend bool operator==(const HttpRequest& aLeft, const HttpRequest& aRight)
  {
    return aLeft.mMethod == aRight.mMethod && aLeft.mTarget == aRight.mTarget &&
           aLeft.mHeaders == aRight.mHeaders && aLeft.mBody == aRight.mBody;
  }
};

struct HttpResponse
{
  unsigned mStatus = 200;
  Headers mHeaders;
  Body mBody;

  bool operator==(const HttpResponse&) const = default;
};

// Memory that a head takes in all forms that a node has of it at a time: the fields as parsed,
// those of the exchange, of the call, of the attempt and of the message that is sent on.
size_t HeadBytes(const Headers& aHeaders);
size_t HeadFieldBytes(size_t aNameBytes, size_t aValueBytes);

// Returns true for headers that apply to a single connection and are not forwarded.
bool IsHopByHop(std::string_view aName);

bool EqualsIgnoringCase(std::string_view aLeft, std::string_view aRight);

} // namespace balsammount
