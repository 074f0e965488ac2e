#pragma once

#include <cstdint>

#include "include/heatherplank/Types.h"
#include "src/wire/MembershipMessages.h"

namespace heatherplank {

/** The service under which balancers are members of the balancers' table. */
ServiceId BalancerService();

/** Merges aFrom into aInto, two records of the same host. A newer incarnation
 * replaces the whole record. Within an incarnation, a later state or revision
 * replaces the content, and a later heartbeat replaces the verdict; at the same
 * heartbeat the more severe verdict wins. Returns true if aInto changed in more
 * than its heartbeat number. Thread safe.
 */
bool MergeRecord(MemberRecord& aInto, const MemberRecord& aFrom);

/** Hash of the member and its revision. Heartbeat number, age and verdict are
 * excluded, since they differ between tables that have converged. */
std::uint64_t HashRecord(const MemberRecord& aRecord);

} // namespace heatherplank
