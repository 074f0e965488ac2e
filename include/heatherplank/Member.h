#pragma once

#include <cstdint>

#include "include/heatherplank/Types.h"

namespace heatherplank {

/** State of a host that its agent announces and each membership view holds. */
struct Member
{
  HostId mHost;
  ServiceId mService;
  DataCentreId mDataCentre;
  Incarnation mIncarnation = 0;
  HostState mState = HostState::Cold;
  /** Number of requests that the backend server runs concurrently. */
  std::uint16_t mSlots = 1;
  /** Share of flows relative to the service's other hosts; 100 is usual. */
  std::uint16_t mWeight = 100;
  /** UDP address at which the agent receives packets and agents' messages. */
  Address mTunnel;
  /** TCP address at which the agent accepts control connections. */
  Address mControl;

  auto operator<=>(const Member&) const = default;
};

} // namespace heatherplank
