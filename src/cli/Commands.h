#pragma once

#include <span>
#include <string>

#include "src/process/ExitCodes.h"

namespace heatherplank {

/** The operator's commands. Each takes the positional arguments after its name,
 * reads its flags (--platform, --yes, ...) from gflags, writes to standard
 * output and, for errors, to standard error. Not thread safe.
 */
ExitCode RunCheck(std::span<const std::string> aArgs);
ExitCode RunApply(std::span<const std::string> aArgs);
ExitCode RunGet(std::span<const std::string> aArgs);
ExitCode RunPolicy(std::span<const std::string> aArgs);
ExitCode RunDrain(std::span<const std::string> aArgs);
ExitCode RunStatus(std::span<const std::string> aArgs);
ExitCode RunReport(std::span<const std::string> aArgs);

/** Returns the usage line of one of these commands, for --help; empty for any
 * other command. Thread safe. */
std::string_view CommandUsage(std::string_view aCommand);

} // namespace heatherplank
