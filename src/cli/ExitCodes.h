#pragma once

#include "include/heatherplank/Error.h"

namespace heatherplank {

/** What the binary's subcommands return to the shell; docs/ADMIN.md lists
 * them. Numbers are never reused. */
enum ExitCode : int
{
  kExitOk = 0,
  /** A failure that no other code names. */
  kExitFailure = 1,
  /** The command line or an input file is wrong. */
  kExitUsage = 2,
  /** A newer version is in force; nothing was changed. */
  kExitConflict = 3,
  /** The platform or a process can't be reached; nothing was changed. */
  kExitUnavailable = 4,
  /** A write may or may not have taken effect, and reading back failed. */
  kExitUnknown = 5,
  /** The operator answered no; nothing was changed. */
  kExitDeclined = 6,
  /** `status` found a process that lags behind the accepted version. */
  kExitLagging = 7,
};

/** The exit code of an error. Thread safe. */
inline ExitCode ToExitCode(const Error& aError)
{
  switch (aError.mKind) {
    case ErrorKind::InvalidInput:
    case ErrorKind::TooLarge:
    case ErrorKind::NotFound:
      return kExitUsage;
    case ErrorKind::Conflict:
      return kExitConflict;
    case ErrorKind::Unavailable:
      return kExitUnavailable;
    case ErrorKind::Timeout:
      return kExitUnknown;
    default:
      return kExitFailure;
  }
}

} // namespace heatherplank
