#pragma once

#include "include/heatherplank/Types.h"
#include "src/wire/Frame.h"

namespace heatherplank {

/** Action that the receiver of a packet is to take; see packet.fbs. */
enum class PacketDirective : std::uint8_t
{
  Route = 0,   // The receiver finds the flow's owner, or chooses one.
  Deliver = 1, // The sender believes that the receiver owns the flow.
  Adopt = 2,   // The arbiter chose the receiver as the owner of a new flow.
  Answer = 3,  // The packet is an answer on its way to the caller.
  Lend = 4,    // The receiver runs this one request; the sender keeps the flow.
};

/** Incarnation of a flow: assigned when the flow is first adopted, preserved by
 * hand-offs. A change of the epoch shows the caller that its flow was lost.
 */
using FlowEpoch = std::uint64_t;

/** A caller's datagram, or the answer to it, as sent through the tunnel. */
struct Packet
{
  FlowKey mFlow;
  ServiceId mService;
  Address mReturnTo;
  Address mHintTo;
  std::uint8_t mHops = 0;
  PacketDirective mDirective = PacketDirective::Route;
  HostId mArbiter;
  FlowEpoch mEpoch = 0;
  /** After decoding, a view into the datagram and valid as long as it. */
  ByteView mPayload;
};

/** Encodes a datagram, including its header. Thread safe. */
Bytes EncodePacket(const Packet& aPacket);

/** Decodes the payload of a frame of kind Packet; Malformed if it does not
 * verify or its directive is unknown. Thread safe.
 */
Result<Packet> DecodePacket(ByteView aPayload);

} // namespace heatherplank
