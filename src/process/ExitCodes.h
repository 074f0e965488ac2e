#pragma once

#include "include/heatherplank/Error.h"

namespace heatherplank {

/** Exit codes of the binary's subcommands; docs/ADMIN.md lists them. Numbers
 * are never reused. */
enum class ExitCode : int
{
  Ok = 0,
  /** A failure that no other code covers. */
  Failure = 1,
  /** The command line or an input file is wrong. */
  Usage = 2,
  /** A newer version is in force; nothing was changed. */
  Conflict = 3,
  /** The platform or a process can't be reached; nothing was changed. */
  Unavailable = 4,
  /** A write may or may not have taken effect, and reading back failed. */
  Unknown = 5,
  /** The operator declined; nothing was changed. */
  Declined = 6,
  /** `status` found a process that lags behind the accepted version. */
  Lagging = 7,
};

/** Returns the exit code of an error. Thread safe. */
inline ExitCode ToExitCode(const Error& aError)
{
  switch (aError.mKind) {
    case ErrorKind::InvalidInput:
    case ErrorKind::TooLarge:
    case ErrorKind::NotFound:
      return ExitCode::Usage;
    case ErrorKind::Conflict:
      return ExitCode::Conflict;
    case ErrorKind::Unavailable:
      return ExitCode::Unavailable;
    case ErrorKind::Timeout:
      return ExitCode::Unknown;
    default:
      return ExitCode::Failure;
  }
}

} // namespace heatherplank
