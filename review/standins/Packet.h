#pragma once

#include <cstdint>
#include <optional>
#include <string>

#include "include/heatherplank/Types.h"
#include "src/wire/Frame.h"

namespace heatherplank::review {

constexpr std::uint8_t kSyn = 64;
constexpr std::uint8_t kAck = 4;
constexpr std::uint8_t kFin = 16;
constexpr std::uint8_t kReset = 8;
constexpr std::uint8_t kBounced = 32;

/** A packet as clients and hosts write it, with the fields of the protocol's
 * page. Written here anew, so that the stand-ins do not share the codec that
 * they test. */
struct Packet
{
  Address mSource;
  Address mDestination;
  std::uint8_t mFlags = 0;
  std::uint32_t mEcho = 0;
  std::uint32_t mSum = 0;
  std::uint32_t mSequence = 0;
  std::uint32_t mAcknowledged = 0;
  std::string mData;

  bool Has(std::uint8_t aFlag) const { return (mFlags & aFlag) != 0; }
};

/** The keyed sum over all fields but echo, pad and the bounced bit. */
std::uint32_t SumOf(const Packet& aPacket);

/** Encodes a packet with its sum. */
Bytes Encode(const Packet& aPacket);

/** Unset if the bytes are no packet. */
std::optional<Packet> Parse(ByteView aBytes);

/** The packet's bytes as a host returns them: bounced, with echo as it is and
 * pad 0. */
Bytes MakeBounced(ByteView aBytes);

} // namespace heatherplank::review
