// The body of a message: immutable bytes that copies share, together with their charge to a budget.
#pragma once

#include "balsammount/resource_budget.h"

#include <memory>
#include <string>
#include <string_view>

namespace balsammount {

class Body
{
public:
  Body() = default;
  // Implicit, because a body is used like a string.
  Body(std::string aBytes)
    : Body(std::move(aBytes), HeldBytes())
  {
  }
  Body(std::string_view aBytes)
    : Body(std::string(aBytes))
  {
  }
  Body(const char* aBytes)
    : Body(std::string(aBytes))
  {
  }
  operator const std::string&() const { return Bytes(); }
  operator std::string_view() const { return Bytes(); }

  // aHeld is returned with the last copy of this body.
  Body(std::string aBytes, HeldBytes aHeld)
  {
    if (!aBytes.empty() || aHeld.Bytes() > 0) {
      mShared = std::make_shared<const Shared>(Shared{ std::move(aBytes), std::move(aHeld) });
    }
  }

  const std::string& Bytes() const
  {
    static const std::string sEmpty;
    return mShared ? mShared->mBytes : sEmpty;
  }
  // Whether the bytes are charged to a budget.
  bool IsCharged() const { return mShared && mShared->mHeld.Bytes() > 0; }

  // NOLINTBEGIN(readability-identifier-naming): the names of std::string
  const char* c_str() const { return Bytes().c_str(); }
  const char* data() const { return Bytes().data(); }
  size_t size() const { return Bytes().size(); }
  bool empty() const { return Bytes().empty(); }
  // NOLINTEND(readability-identifier-naming)
  auto begin() const { return Bytes().begin(); }
  auto end() const { return Bytes().end(); }

  friend bool operator==(const Body& aLeft, const Body& aRight)
  {
    return aLeft.Bytes() == aRight.Bytes();
  }
  friend bool operator==(const Body& aLeft, const std::string& aRight)
  {
    return aLeft.Bytes() == aRight;
  }
  friend bool operator==(const Body& aLeft, const char* aRight) { return aLeft.Bytes() == aRight; }

  friend std::string operator+(std::string aLeft, const Body& aRight)
  {
    return std::move(aLeft) + aRight.Bytes();
  }

private:
  struct Shared
  {
    std::string mBytes;
    HeldBytes mHeld;
  };
  std::shared_ptr<const Shared> mShared;
};

} // namespace balsammount
