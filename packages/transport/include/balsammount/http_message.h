// HTTP messages with whole bodies, shared by the HTTP/1.1 and HTTP/2 sides.
#pragma once

#include <cstddef>
#include <string>
#include <string_view>
#include <vector>

namespace balsammount {

// Largest body that the listeners and clients of a node take, in either direction. One limit for
// every hop: a body that one hop takes must not be refused by the next.
inline constexpr size_t kMaxBodyBytes = 8 * 1024 * 1024;

struct Header
{
  std::string mName;
  std::string mValue;

  bool operator==(const Header&) const = default;
};

// Header names compare without case. A message has few headers, so a list is searched.
class Headers
{
public:
  // The first value of that name, or an empty view.
  std::string_view Find(std::string_view aName) const;
  bool Has(std::string_view aName) const;
  void Add(std::string_view aName, std::string_view aValue);
  // Replaces every header of that name.
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

// True for the headers that belong to one connection and are not forwarded.
bool IsHopByHop(std::string_view aName);

bool EqualsIgnoringCase(std::string_view aLeft, std::string_view aRight);

} // namespace balsammount
