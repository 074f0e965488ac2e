#pragma once

#include <string>
#include <vector>

#include "include/heatherplank/Configuration.h"
#include "include/heatherplank/Error.h"

namespace heatherplank {

/** Describes each difference between two configurations in one line, such as
 * "+ service a", "- host b of service a" or "~ rule c of service a". Thread
 * safe.
 */
std::vector<std::string> DescribeDifference(const Configuration& aFrom,
                                            const Configuration& aTo);

/** True if both have the same content, regardless of their versions. Thread
 * safe.
 */
bool HasSameContent(const Configuration& aLeft, const Configuration& aRight);

/** Three-way merge: applies the changes from aBase to aMine on top of aTheirs.
 * Each service, the policy, the list of data centres and each drained host are
 * merged as separate units. Conflict, naming the units, if both sides changed a
 * unit differently; InvalidInput if the result is invalid, for example because
 * two services were given the same address. Thread safe.
 */
Result<ConfigurationPtr> MergeConfigurations(const Configuration& aBase,
                                             const Configuration& aMine,
                                             const Configuration& aTheirs);

} // namespace heatherplank
