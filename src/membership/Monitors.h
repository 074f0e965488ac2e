#pragma once

#include <cstddef>
#include <span>
#include <vector>

#include "include/heatherplank/Member.h"
#include "include/heatherplank/Types.h"

namespace heatherplank {

/** The balancers that a host's agent sends heartbeats to: the aCount highest
 * by rendezvous among those of its data centre, or among all if it has none.
 * Agents and balancers choose the same from the same list, and a balancer that
 * comes or goes moves only its own share of hosts. Thread safe.
 */
std::vector<Member> ChooseMonitors(HostId aHost, DataCentreId aDataCentre,
                                   std::span<const Member> aBalancers,
                                   std::size_t aCount);

/** Whether aSelf is among ChooseMonitors, without making the list. */
bool IsMonitor(HostId aSelf, HostId aHost, DataCentreId aDataCentre,
               std::span<const Member> aBalancers, std::size_t aCount);

} // namespace heatherplank
