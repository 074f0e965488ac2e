#pragma once

#include <cstdint>
#include <optional>
#include <span>

#include "include/heatherplank/Types.h"
#include "src/wire/Frame.h"

namespace heatherplank {

/** Bytes that may be in flight to a caller: 16 packets of 1,200 bytes, times
 * four because acknowledgements may be late. */
constexpr std::uint32_t kMaxWindowBytes = 76800;

/** Header of a packet of an opaque flow. The payload is never read. */
struct FlowPacket
{
  Address mSource;
  Address mDestination;
  bool mSyn = false;
  bool mAck = false;
  bool mFin = false;
  bool mReset = false;
  /** The host returned the packet to its agent: it does not hold the flow or
   * could not accept the packet. */
  bool mReturned = false;
  /** Written by PacketFormat::Tag; a packet that the host returns keeps it. */
  std::uint32_t mTag = 0;
  std::uint32_t mSequence = 0;
  std::uint32_t mAcknowledged = 0;
  std::uint16_t mDataLength = 0;
  /** Number of earlier copies of this opening packet that the caller sent. */
  std::uint32_t mRetransmissions = 0;
  /** The caller will send this opening packet again if it gets no reply. */
  bool mWillRetransmit = false;

  /** The flow of a packet that the caller sent. */
  FlowKey FlowFromCaller() const { return { mSource, mDestination }; }
  /** The flow of a packet that the host sent. */
  FlowKey FlowFromHost() const { return { mDestination, mSource }; }
};

/** Network format of packets of opaque flows. Stateless, thread safe. */
class PacketFormat
{
public:
  virtual ~PacketFormat() = default;

  /** Parses a datagram; none if it isn't a packet of this format. */
  virtual std::optional<FlowPacket> Parse(ByteView aDatagram) const = 0;

  /** Prepares a packet for a host: writes a tag that the packet keeps if the
   * host returns it to its agent, and clears FlowPacket::mReturned.
   * Precondition: Parse accepts aPacket. */
  virtual void Tag(std::span<std::uint8_t> aPacket,
                   std::uint32_t aTag) const = 0;

  /** Makes a reset from the load balancer to the flow's caller. aSequence: the
   * sequence number that the caller expects; any before the flow is open. */
  virtual Bytes MakeReset(const FlowKey& aFlow,
                          std::uint32_t aSequence) const = 0;
};

} // namespace heatherplank
