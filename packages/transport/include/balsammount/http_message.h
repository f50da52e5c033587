// HTTP messages with complete bodies, shared by the HTTP/1.1 and HTTP/2 clients and servers.
#pragma once

#include <cstddef>
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
  std::string mBody;

  bool operator==(const HttpRequest&) const = default;
};

struct HttpResponse
{
  unsigned mStatus = 200;
  Headers mHeaders;
  std::string mBody;

  bool operator==(const HttpResponse&) const = default;
};

// Returns true for headers that apply to a single connection and are not forwarded.
bool IsHopByHop(std::string_view aName);

bool EqualsIgnoringCase(std::string_view aLeft, std::string_view aRight);

} // namespace balsammount
