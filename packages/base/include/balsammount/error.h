// Typed failures. A package declares an enum class, a category made with EnumCategory and
// make_error_code; functions return Result<T>.
#pragma once

#include <boost/system/result.hpp>

#include <span>
#include <string>
#include <string_view>
#include <system_error>

namespace balsammount {

// An error code with the detail a person needs to find the cause (file, key, address).
struct Failure
{
  std::error_code mCode;
  std::string mDetail;

  bool operator==(const Failure&) const = default;
};

template <class T>
using Result = boost::system::result<T, Failure>;

// Thrown by Result::value() when the result holds a failure.
class FailureException final : public std::system_error
{
public:
  explicit FailureException(const Failure& aFailure)
    : std::system_error(aFailure.mCode, aFailure.mDetail)
  {
  }
};

[[noreturn]] void throw_exception_from_error(const Failure& aFailure,
                                             const boost::source_location& aLocation);

// "message: detail", or the message alone when there is no detail.
std::string Describe(const Failure& aFailure);

// A category whose messages are a table indexed by the enum's value.
class EnumCategory final : public std::error_category
{
public:
  EnumCategory(const char* aName, std::span<const char* const> aMessages)
    : mName(aName)
    , mMessages(aMessages)
  {
  }
  const char* name() const noexcept override { return mName; }
  std::string message(int aValue) const override;

private:
  const char* mName;
  std::span<const char* const> mMessages;
};

} // namespace balsammount
