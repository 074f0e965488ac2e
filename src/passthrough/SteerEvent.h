#pragma once

#include <cstdint>
#include <string_view>

namespace heatherplank {

/** What happened to packets at a balancer; each is counted. */
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
