#pragma once

#include <cstdint>
#include <span>
#include <vector>

#include "include/heatherplank/Clock.h"
#include "src/membership/MemberRecord.h"
#include "src/membership/MemberTable.h"
#include "src/membership/Monitors.h"

namespace heatherplank {

/** The monitors of a host, chosen by a balancer and sent to the host's agent,
 * which then need not hold the list of all balancers.
 *
 * Guards against: all machines of a large fleet start at once. The first
 * balancers to be reached send each agent the record of each balancer: with 300
 * balancers and 700 agents 18 MB, seconds of a balancer's link, in which
 * callers' packets wait. An assignment has the same size in any fleet.
 */
struct MonitorAssignment
{
  /** Balancers that an agent turns to if all its monitors are lost. */
  static constexpr std::size_t kSpares = 3;

  /** The monitors, then the spares. */
  std::vector<MemberRecord> mRecords;
  std::size_t mMonitors = 0;
  /** Made by a balancer that may not know all others yet. */
  bool mIsProvisional = false;

  std::span<const MemberRecord> Monitors() const
  {
    return std::span(mRecords).first(mMonitors);
  }
  std::span<const MemberRecord> Spares() const
  {
    return std::span(mRecords).subspan(mMonitors);
  }
  /** Identifies the balancers and their roles; 0 if there are none. */
  std::uint64_t Digest() const;
};

/** Chooses the monitors of aHost among the balancers in aTable. */
MonitorAssignment AssignMonitors(const Member& aHost, const MemberTable& aTable,
                                 const MonitorRule& aRule, Time aNow);

} // namespace heatherplank
