#pragma once

#include "src/cli/ExitCodes.h"
#include "src/process/ProcessOptions.h"

namespace heatherplank {

/** Runs a balancer until it is told to stop. Errors go to standard error, one
 * line with the remedy. Not thread safe; call once.
 */
ExitCode RunBalancerProcess(const ProcessOptions& aOptions);

} // namespace heatherplank
