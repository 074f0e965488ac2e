#pragma once

#include <cstdint>

#include "include/heatherplank/Types.h"

namespace heatherplank {

/** What an agent announces of its host, and what every view holds of it. */
struct Member
{
  HostId mHost;
  ServiceId mService;
  DataCentreId mDataCentre;
  Incarnation mIncarnation = 0;
  HostState mState = HostState::Cold;
  /** Requests that the backend server runs at once. */
  std::uint16_t mSlots = 1;
  /** Share of flows relative to its peers; 100 is the usual weight. */
  std::uint16_t mWeight = 100;
  /** Where the agent takes packets and agents' messages (UDP). */
  Address mTunnel;
  /** Where the agent takes control connections (TCP). */
  Address mControl;

  auto operator<=>(const Member&) const = default;
};

} // namespace heatherplank
