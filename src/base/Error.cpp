#include "include/heatherplank/Error.h"

#include <utility>

namespace heatherplank {

std::string_view ToString(ErrorKind aKind)
{
  switch (aKind) {
    case ErrorKind::InvalidInput:
      return "invalid_input";
    case ErrorKind::Malformed:
      return "malformed";
    case ErrorKind::TooLarge:
      return "too_large";
    case ErrorKind::NotFound:
      return "not_found";
    case ErrorKind::Conflict:
      return "conflict";
    case ErrorKind::Unavailable:
      return "unavailable";
    case ErrorKind::Timeout:
      return "timeout";
    case ErrorKind::Forbidden:
      return "forbidden";
    case ErrorKind::System:
      return "system";
  }
  return "unknown";
}

std::string Error::Describe() const
{
  return mRemedy.empty() ? mMessage : mMessage + "; " + mRemedy;
}

tl::unexpected<Error> Fail(ErrorKind aKind, std::string aMessage,
                           std::string aRemedy)
{
  return tl::unexpected<Error>(
    Error{ aKind, std::move(aMessage), std::move(aRemedy) });
}

} // namespace heatherplank
