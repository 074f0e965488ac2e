#pragma once

#include <span>
#include <string>

#include "src/cli/ExitCodes.h"

namespace heatherplank {

/** The operator's commands. Each takes the words after its name that gflags
 * left over, reads its flags (--platform, --yes, ...) from gflags, writes to
 * standard output and, for errors, to standard error. Not thread safe.
 */
ExitCode RunCheck(std::span<const std::string> aArgs);
ExitCode RunApply(std::span<const std::string> aArgs);
ExitCode RunGet(std::span<const std::string> aArgs);
ExitCode RunPolicy(std::span<const std::string> aArgs);
ExitCode RunDrain(std::span<const std::string> aArgs);
ExitCode RunStatus(std::span<const std::string> aArgs);
ExitCode RunReport(std::span<const std::string> aArgs);

/** One line on what a command does and takes, for --help; empty for a command
 * that is not one of these. Thread safe. */
std::string_view CommandUsage(std::string_view aCommand);

} // namespace heatherplank
