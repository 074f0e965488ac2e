#pragma once

#include <string>

#include "include/heatherplank/Configuration.h"
#include "include/heatherplank/Error.h"

namespace heatherplank {

/** Returns a copy of the configuration with the named policy; InvalidInput if
 * no policy has the name. Thread safe. */
Result<ConfigurationPtr> WithPolicy(const Configuration& aFrom,
                                    const std::string& aName);

/** Returns a copy of the configuration in which the host is drained, or not
 * drained if aDrain is false; InvalidInput if no service lists the host. Thread
 * safe. */
Result<ConfigurationPtr> WithDrain(const Configuration& aFrom,
                                   const std::string& aHost, bool aDrain);

} // namespace heatherplank
