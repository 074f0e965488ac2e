#pragma once

#include <string>
#include <vector>

#include "include/heatherplank/Configuration.h"
#include "include/heatherplank/Error.h"

namespace heatherplank {

/** What differs between two configurations, one line each, as "+ service a",
 * "- host b of service a", "~ rule c of service a". Thread safe.
 */
std::vector<std::string> DescribeDifference(const Configuration& aFrom,
                                            const Configuration& aTo);

/** True if both hold the same, whatever their versions. Thread safe. */
bool HoldSame(const Configuration& aLeft, const Configuration& aRight);

/** Redoes on top of aTheirs what changed from aBase to aMine. Units that merge
 * on their own: each service, the policy, the list of data centres, each
 * drained host. Conflict, with the units named, if both sides changed one of
 * them differently; InvalidInput if the result does not pass the check (two
 * services that were given the same address, say). Thread safe.
 */
Result<ConfigurationPtr> MergeConfigurations(const Configuration& aBase,
                                             const Configuration& aMine,
                                             const Configuration& aTheirs);

} // namespace heatherplank
