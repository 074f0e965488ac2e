#pragma once

#include <cstdint>
#include <string_view>
#include <variant>
#include <vector>

#include "include/heatherplank/Clock.h"
#include "include/heatherplank/Types.h"
#include "src/steer/OwnershipMessages.h"
#include "src/wire/PacketCodec.h"

namespace heatherplank {

/** Names a packet that the driver keeps until an action settles it. */
using PacketToken = std::uint64_t;

/** A packet from the tunnel as ownership sees it: its headers and a token. */
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

/** Why a packet was refused; the caller is told "not run" and when to come
 * back. Order matters: kOwnershipRefusals counts them.
 */
enum class OwnershipRefusal : std::uint8_t
{
  /** The packet is for a service that is not this host's. */
  WrongService,
  /** No host of the service may take a new flow. */
  NoCandidate,
  /** The flow table is full of established flows. */
  FlowTableFull,
  /** Too many flows are being asked about. */
  TooManyAsks,
  /** More packets wait for one flow's owner than may be held. */
  TooManyHeld,
  /** A live host did not say whether it owns the flow. */
  PeerSilent,
  /** A host that was just held dead may still own the flow. */
  PeerFenced,
  /** This agent's view is too old to decide on. */
  ViewStale,
  /** The packet went round between hosts that disagree. */
  TooManyHops,
  /** The flow is on its way to another host, which does not answer. */
  Moving,
};
constexpr std::size_t kOwnershipRefusals = 10;

/** The name of a reason, as it stands in counters and answers. */
std::string_view ToString(OwnershipRefusal aReason);

/** Hand the packet to this host's admission: it owns the flow. */
struct DispatchPacket
{
  PacketToken mToken = 0;
  FlowKey mFlow;
  FlowEpoch mEpoch = 0;
};

/** Send the packet on to another agent with these headers. */
struct ForwardPacket
{
  PacketToken mToken = 0;
  Peer mTo;
  PacketDirective mDirective = PacketDirective::Route;
  std::uint8_t mHops = 0;
  HostId mArbiter;
  FlowEpoch mEpoch = 0;
};

/** Answer the packet's request at once: not run, come back after mRetryAfter.
 */
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

/** Put the flow's state into the HandOff and send it. Comes again if it must be
 * retried; the flow gets no packets meanwhile, so the state stands still.
 */
struct ExportFlow
{
  Address mTo;
  HandOff mHandOff;
};

/** Take over the state of the HandOff that was just given to OnMessage. */
struct ImportFlow
{
  FlowKey mFlow;
  FlowEpoch mEpoch = 0;
};

/** Free the flow's state; requests in progress end and are answered here. */
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
