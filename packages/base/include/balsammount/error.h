// Error handling. A package declares an error enum, an EnumCategory for it and make_error_code, and
// its functions return Result<T>.
#pragma once

#include <boost/system/result.hpp>

#include <span>
#include <string>
#include <string_view>
#include <system_error>

namespace balsammount {

// An error code with the context that identifies the cause, such as a file, key or address.
struct Failure
{
  std::error_code mCode;
  std::string mDetail;

  bool operator==(const Failure&) const = default;
};

template <class T>
using Result = boost::system::result<T, Failure>;

// Thrown by Result::value() if the result holds a failure.
class FailureException final : public std::system_error
{
public:
  explicit FailureException(const Failure& aFailure)
    : std::system_error(aFailure.mCode, aFailure.mDetail)
  {
  }
};

// Customization point that Boost.System calls from Result::value().
[[noreturn]] void throw_exception_from_error(const Failure& aFailure,
                                             const boost::source_location& aLocation);

// Returns "message: detail", or only the message if the detail is empty.
std::string Describe(const Failure& aFailure);

// Error category that looks up messages in a table indexed by the enum value.
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
