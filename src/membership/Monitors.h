#pragma once

#include <cstddef>
#include <span>
#include <vector>

#include "include/heatherplank/Member.h"
#include "include/heatherplank/Types.h"

namespace heatherplank {

/** How many balancers a host beats to, which are its monitors. Agents and
 * balancers must be given the same. */
struct MonitorRule
{
  /** 0 for all balancers. */
  std::size_t mCount = 0;
  /** Up to so many balancers all are monitors, whatever mCount says. */
  std::size_t mAllUpTo = 0;

  bool AreAll(std::size_t aBalancers) const
  {
    return mCount == 0 || aBalancers <= mAllUpTo;
  }
  std::size_t CountOf(std::size_t aBalancers) const
  {
    return AreAll(aBalancers) ? aBalancers : mCount;
  }
};

/** The balancers that a host's agent sends heartbeats to, the highest by
 * rendezvous: one of another data centre, the others of its own; where either
 * has too few, more of the other. Agents and balancers choose the same from the
 * same list, and a balancer that comes or goes moves only its own share of
 * hosts. Thread safe.
 *
 * Failure met: a data centre is lost with its balancers and its hosts. Judged
 * by balancers of its own only, its hosts would stay in every view, since
 * nobody is left to miss them.
 */
std::vector<Member> ChooseMonitors(HostId aHost, DataCentreId aDataCentre,
                                   std::span<const Member> aBalancers,
                                   std::size_t aCount);

/** Whether aSelf is among ChooseMonitors, without making the list. */
bool IsMonitor(HostId aSelf, HostId aHost, DataCentreId aDataCentre,
               std::span<const Member> aBalancers, std::size_t aCount);

} // namespace heatherplank
