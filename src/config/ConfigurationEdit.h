#pragma once

#include <string>

#include "include/heatherplank/Configuration.h"
#include "include/heatherplank/Error.h"

namespace heatherplank {

/** The configuration with another policy in force; InvalidInput if no policy
 * has the name. Thread safe. */
Result<ConfigurationPtr> WithPolicy(const Configuration& aFrom,
                                    const std::string& aName);

/** The configuration with a host's drain begun or ended; InvalidInput if the
 * inventory has no such host. Thread safe. */
Result<ConfigurationPtr> WithDrain(const Configuration& aFrom,
                                   const std::string& aHost, bool aDrain);

} // namespace heatherplank
