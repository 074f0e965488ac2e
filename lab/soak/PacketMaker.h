#pragma once

#include <cstdint>

#include "platform/PlatformPackets.h"

namespace heatherplank::lab {

/** Packet flags of the platform's contract. */
constexpr std::uint8_t kSyn = 64;
constexpr std::uint8_t kAck = 4;
constexpr std::uint8_t kFin = 16;
constexpr std::uint8_t kBounced = 32;

/** Sequence number of a caller's first request on a flow. */
constexpr std::uint32_t kFirstSequence = 1;
/** Data of each request and of each answer. */
constexpr std::uint8_t kRequestBytes = 5;
constexpr std::uint8_t kAnswerBytes = 10;

/** Makes a packet as an endpoint of a flow sends it, with aData filler bytes.
 * Thread safe. */
inline Bytes MakePacket(const Address& aFrom, const Address& aTo,
                        std::uint8_t aFlags, std::uint32_t aSequence,
                        std::uint32_t aAcknowledged, std::uint8_t aData)
{
  Bytes out = PlatformPackets().MakeReset({ aTo, aFrom }, aSequence);
  out[20] = aFlags;
  out[27] = aData;
  for (unsigned i = 0; i < 4; ++i) {
    out[32 + i] = static_cast<std::uint8_t>(aAcknowledged >> (24 - 8 * i));
  }
  out.resize(out.size() + aData, 0x5a);
  return out;
}

/** Turns a packet into the form in which a host returns it. */
inline Bytes MakeBounced(Bytes aPacket)
{
  aPacket[20] |= kBounced;
  std::fill_n(aPacket.begin() + 21, 5, std::uint8_t{ 0 });
  return aPacket;
}

} // namespace heatherplank::lab
