#include "balsammount/error.h"

namespace balsammount {

void throw_exception_from_error(const Failure& aFailure,
                                const boost::source_location& /*aLocation*/)
{
  throw FailureException(aFailure);
}

std::string Describe(const Failure& aFailure)
{
  if (aFailure.mDetail.empty()) {
    return aFailure.mCode.message();
  }
  return aFailure.mCode.message() + ": " + aFailure.mDetail;
}

std::string EnumCategory::message(int aValue) const
{
  if (aValue < 0 || static_cast<size_t>(aValue) >= mMessages.size()) {
    return "unknown error " + std::to_string(aValue);
  }
  return mMessages[static_cast<size_t>(aValue)];
}

} // namespace balsammount
