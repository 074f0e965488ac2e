#pragma once

#include <string>
#include <string_view>
#include <utility>
#include <vector>

#include "src/agent/FlowShard.h"
#include "src/agent/PendingRequest.h"
#include "src/wire/PacketCodec.h"

namespace heatherplank {

/** Sends and pipeline calls to perform after the shard's lock is released. */
struct FlowEffects
{
  struct Datagram
  {
    Address mTo;
    Bytes mBytes;
  };
  std::vector<Datagram> mDatagrams;
  std::vector<PendingRequestPtr> mStarts;
  std::vector<std::pair<FlowKey, std::string>> mCancels;
  /** Hand-offs that are sent over control connections. */
  std::vector<Datagram> mByControl;
};

/** The bytes of aText; valid as long as aText's buffer. */
inline ByteView View(std::string_view aText)
{
  return { reinterpret_cast<const std::uint8_t*>(aText.data()), aText.size() };
}

/** Copies a packet so that it outlives its datagram. */
inline HeldPacket CopyPacket(const Packet& aPacket)
{
  return { aPacket.mFlow,
           aPacket.mReturnTo,
           aPacket.mHintTo,
           aPacket.mHops,
           { aPacket.mPayload.begin(), aPacket.mPayload.end() } };
}

/** Restores a held packet; its payload is a view into aHeld. */
inline Packet ToPacket(const HeldPacket& aHeld, ServiceId aService)
{
  Packet packet;
  packet.mFlow = aHeld.mFlow;
  packet.mService = aService;
  packet.mReturnTo = aHeld.mReturnTo;
  packet.mHintTo = aHeld.mHintTo;
  packet.mHops = aHeld.mHops;
  packet.mPayload = aHeld.mPayload;
  return packet;
}

} // namespace heatherplank
