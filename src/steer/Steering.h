#pragma once

#include <array>
#include <cstddef>
#include <cstdint>
#include <string_view>
#include <variant>

#include "include/heatherplank/Member.h"
#include "include/heatherplank/Types.h"
#include "src/steer/HintCache.h"
#include "src/steer/ServiceView.h"
#include "src/wire/PacketCodec.h"

namespace heatherplank {

/** Why a balancer does not forward a packet to a host. */
enum class SteerRefusal : std::uint8_t
{
  /** No service has the address that the packet is for. */
  UnknownService,
  /** The service has no member that may adopt a new flow. */
  NoMember,
  /** The flow's host is unresponsive for a short time: it may be stalled. */
  HostUnresponsive,
};

/** The name of a reason in counters and replies. */
std::string_view ToString(SteerRefusal aReason);

/** The destination of a packet. */
struct SteerTarget
{
  /** Valid while the view that was passed to Steer exists. */
  const Member* mMember = nullptr;
  /** Deliver if a hint names the member as the owner, else Route. */
  PacketDirective mDirective = PacketDirective::Route;
};

using SteerDecision = std::variant<SteerTarget, SteerRefusal>;

/** Chooses the host for a packet: the owner that a hint names, if the view
 * shows the same incarnation of it, else the flow's arbiter. aView is null if
 * no service has the address. Members of another service are never chosen.
 * Thread safe if aHints is used by one thread at a time.
 */
SteerDecision Steer(std::uint64_t aFlowHash, const ServiceView* aView,
                    HintCache& aHints);

} // namespace heatherplank
