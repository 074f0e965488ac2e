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

/** Why a balancer has no host for a packet. */
enum class SteerRefusal : std::uint8_t
{
  /** No service has the address that the packet is for. */
  UnknownService,
  /** The service has no member that may take a new flow. */
  NoMember,
  /** The flow's host was not heard of for a moment: it may be paused. */
  HostSilent,
};

/** The name of a reason, as it stands in counters and answers. */
std::string_view ToString(SteerRefusal aReason);

/** Where a packet goes. */
struct SteerTarget
{
  /** Valid as long as the view that was asked. */
  const Member* mMember = nullptr;
  /** Deliver to a host that a hint names as the owner, else Route. */
  PacketDirective mDirective = PacketDirective::Route;
};

using SteerDecision = std::variant<SteerTarget, SteerRefusal>;

/** Chooses the host of a packet: the owner that a hint names, if that very
 * incarnation is in the view, or else the flow's arbiter. aView is null where
 * no service has the address. Members of another service are never chosen.
 * Thread safe as far as aHints, which belongs to one shard, is.
 */
SteerDecision Steer(std::uint64_t aFlowHash, const ServiceView* aView,
                    HintCache& aHints);

} // namespace heatherplank
