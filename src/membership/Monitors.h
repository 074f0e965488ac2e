#pragma once

#include <cstddef>
#include <span>
#include <vector>

#include "include/heatherplank/Member.h"
#include "include/heatherplank/Types.h"

namespace heatherplank {

/** How many balancers monitor a host, that is, receive its heartbeats. Agents
 * and balancers must use the same rule. */
struct MonitorRule
{
  /** Number of monitors per host; 0 for all balancers. */
  std::size_t mCount = 0;
  /** With up to this many balancers, all are monitors regardless of mCount. */
  std::size_t mMaxBalancersAllMonitor = 0;

  bool IncludesAll(std::size_t aBalancers) const
  {
    return mCount == 0 || aBalancers <= mMaxBalancersAllMonitor;
  }
  std::size_t CountOf(std::size_t aBalancers) const
  {
    return IncludesAll(aBalancers) ? aBalancers : mCount;
  }
};

/** Returns the balancers that a host's agent sends heartbeats to, chosen by
 * rendezvous hashing: one in another data centre, the others in the host's. If
 * either has too few balancers, the other provides more. Agents and balancers
 * make the same choice from the same list, and adding or removing a balancer
 * changes the monitors of only its share of hosts. Thread safe.
 *
 * Guards against: a data centre fails with its balancers and its hosts. If its
 * hosts were monitored only by its balancers, no process would declare them
 * dead, and they would stay in every view.
 */
std::vector<Member> ChooseMonitors(HostId aHost, DataCentreId aDataCentre,
                                   std::span<const Member> aBalancers,
                                   std::size_t aCount);

/** Returns whether ChooseMonitors would include aSelf, without building the
 * list. */
bool IsMonitor(HostId aSelf, HostId aHost, DataCentreId aDataCentre,
               std::span<const Member> aBalancers, std::size_t aCount);

} // namespace heatherplank
