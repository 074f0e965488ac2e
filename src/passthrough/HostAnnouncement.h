#pragma once

#include <cstdint>
#include <optional>
#include <string>

#include "include/heatherplank/Clock.h"

namespace heatherplank {

/** What a host says of its own readiness. */
enum class HostPhase : std::uint8_t
{
  /** Takes new flows. */
  Ready,
  /** Keeps its flows, wants no new ones. */
  Draining,
  /** Ends now; holds nothing. */
  Gone,
};

/** A host's word on itself, as its agent hears it about once a heartbeat. */
struct HostAnnouncement
{
  /** Names the host; a host that starts again may keep it. */
  std::string mId;
  /** When the host started, Unix milliseconds by its own clock. Hosts that do
   * not say it are told apart by mId alone. */
  std::optional<std::int64_t> mStartedAt;
  /** Counts the host's calls since its start; none in a farewell. */
  std::optional<std::uint64_t> mSequence;
  HostPhase mPhase = HostPhase::Ready;
  std::string mService;
  /** Requests that it works on at once. */
  std::uint16_t mSlots = 1;
  /** How much longer it is slow after its start. */
  Duration mColdFor{};
};

} // namespace heatherplank
