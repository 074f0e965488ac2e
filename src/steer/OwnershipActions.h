#pragma once

#include <cstdint>
#include <string_view>
#include <variant>
#include <vector>

#include "include/heatherplank/Clock.h"
#include "include/heatherplank/Types.h"
#include "src/wire/OwnershipMessages.h"
#include "src/wire/PacketCodec.h"

namespace heatherplank {

/** Identifies a packet that the driver holds until an action completes it. */
using PacketToken = std::uint64_t;

/** The headers of a packet from the tunnel, and its token. */
struct PacketEvent
{
  PacketToken mToken = 0;
  FlowKey mFlow;
  ServiceId mService;
  Address mHintTo;
  std::uint8_t mHops = 0;
  PacketDirective mDirective = PacketDirective::Route;
  HostId mArbiter;
  FlowEpoch mEpoch = 0;
};

/** Why a packet was refused; the caller receives "not run" and a retry-after.
 * The enumerators index OwnershipCounters::mRefusals; kOwnershipRefusals is
 * their number.
 */
enum class OwnershipRefusal : std::uint8_t
{
  /** The packet is for another service than this host's. */
  WrongService,
  /** No host of the service may adopt a new flow. */
  NoCandidate,
  /** The flow table is full of established flows. */
  FlowTableFull,
  /** Too many lookups are in progress. */
  TooManyAsks,
  /** Too many packets already wait for the owner of the flow. */
  TooManyHeld,
  /** A live host did not reply whether it owns the flow. */
  PeerSilent,
  /** A host that was recently declared dead may still own the flow. */
  PeerFenced,
  /** This agent's view is too old for decisions. */
  ViewStale,
  /** The packet was forwarded too often, between hosts whose views differ. */
  TooManyHops,
  /** The flow is being handed off to a host that does not reply, or was found
   * to be owned by another host. */
  Moving,
};
constexpr std::size_t kOwnershipRefusals = 10;

/** The name of a reason in counters and replies. */
std::string_view ToString(OwnershipRefusal aReason);

/** Pass the packet to this host's admission: it owns the flow. */
struct DispatchPacket
{
  PacketToken mToken = 0;
  FlowKey mFlow;
  FlowEpoch mEpoch = 0;
};

/** Forward the packet to another agent with these headers. */
struct ForwardPacket
{
  PacketToken mToken = 0;
  Peer mTo;
  PacketDirective mDirective = PacketDirective::Route;
  std::uint8_t mHops = 0;
  HostId mArbiter;
  FlowEpoch mEpoch = 0;
};

/** Answer the packet's request at once: not run, retry after mRetryAfter. */
struct RefusePacket
{
  PacketToken mToken = 0;
  FlowKey mFlow;
  OwnershipRefusal mReason{};
  Duration mRetryAfter{};
};

/** Send a message to an agent, or a Hint to a balancer. */
struct SendMessage
{
  Address mTo;
  OwnershipMessage mMessage;
};

/** Put the flow's state into the HandOff and send it. Repeated on each retry;
 * the flow gets no packets meanwhile, so its state does not change.
 */
struct ExportFlow
{
  Address mTo;
  HandOff mHandOff;
};

/** Import the state of the HandOff that was just passed to OnMessage. */
struct ImportFlow
{
  FlowKey mFlow;
  FlowEpoch mEpoch = 0;
};

/** Free the state of a flow that this host no longer owns. Requests in progress
 * are still answered here. */
struct DropFlow
{
  FlowKey mFlow;
  FlowEpoch mEpoch = 0;
};

using OwnershipAction =
  std::variant<DispatchPacket, ForwardPacket, RefusePacket, SendMessage,
               ExportFlow, ImportFlow, DropFlow>;
using OwnershipActions = std::vector<OwnershipAction>;

} // namespace heatherplank
