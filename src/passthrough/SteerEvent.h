#pragma once

#include <cstdint>
#include <string_view>

namespace heatherplank {

/** Events in the handling of packets at a balancer, each with a counter. */
enum class SteerEvent : std::uint8_t
{
  Offered,
  OfferedAgain,
  Hinted,
  Searched,
  HeldForSearch,
  HintWrong,
  RefusedNoRoute,
  RefusedNoHost,
  RefusedByHosts,
  RefusedQuietly,
  DroppedNoRoute,
  DroppedNotReady,
  Malformed,
  Last = Malformed,
};

std::string_view ToString(SteerEvent aEvent);

} // namespace heatherplank
