#pragma once

#include <cstdint>
#include <optional>
#include <string>

#include "include/heatherplank/Clock.h"
#include "include/heatherplank/Types.h"

namespace heatherplank {

/** Readiness that a host announces. */
enum class HostPhase : std::uint8_t
{
  /** Takes new flows. */
  Ready,
  /** Serves its open flows, takes no new ones. */
  Draining,
  /** Exits now and holds no flows. */
  Gone,
};

/** State that a host sends to its agent, about once per announcement interval
 * (FlowAgentSettings::mHostHeartbeatMs). */
struct HostAnnouncement
{
  /** Identifies the host; a restarted host may keep its id. */
  std::string mId;
  /** Start time of the host, in Unix milliseconds by its own clock. Hosts that
   * don't send it are distinguished by mId alone. */
  std::optional<std::int64_t> mStartedAt;
  /** Number of the announcement since the host's start; none with Gone. */
  std::optional<std::uint64_t> mSequence;
  HostPhase mPhase = HostPhase::Ready;
  std::string mService;
  /** Where the host receives packets; none with Gone. */
  std::optional<Address> mAddress;
  /** Requests that the host processes concurrently. */
  std::uint16_t mSlots = 1;
  /** Remaining time during which the host is slower after its start. */
  Duration mColdRemaining{};
};

} // namespace heatherplank
