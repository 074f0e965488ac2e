#pragma once

#include "include/heatherplank/Types.h"
#include "src/wire/Frame.h"

namespace heatherplank {

/** What the receiver of a packet is asked to do; see packet.fbs. */
enum class PacketDirective : std::uint8_t
{
  Route = 0,
  Deliver = 1,
  Adopt = 2,
  Answer = 3,
  Lend = 4,
};

/** Which life of a flow: given at its first adoption, kept by hand-offs. A
 * caller that sees it change has lost its flow.
 */
using FlowEpoch = std::uint64_t;

/** A caller's datagram, or the answer to one, on the tunnel. */
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
  /** A view while decoded from a datagram: valid as long as that. */
  ByteView mPayload;
};

/** The datagram of a packet, with its header. Thread safe. */
Bytes EncodePacket(const Packet& aPacket);

/** Reads the payload of a frame of kind Packet; Malformed if it does not
 * verify. Thread safe.
 */
Result<Packet> DecodePacket(ByteView aPayload);

} // namespace heatherplank
