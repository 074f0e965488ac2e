#pragma once

#include "include/heatherplank/HostLoad.h"
#include "include/heatherplank/Types.h"
#include "src/wire/Frame.h"

namespace heatherplank {

/** A host's load, sent by its agent to the other agents of the service. */
struct LoadMessage
{
  HostId mHost;
  Incarnation mIncarnation = 0;
  /** Increases with each message of an incarnation. */
  std::uint64_t mSequence = 0;
  HostLoad mLoad;
};

/** Encodes a datagram, including its header. Thread safe. */
Bytes EncodeLoad(const LoadMessage& aMessage);

/** Decodes the payload of a datagram of kind Load; Malformed if it does not
 * verify or holds values out of range. Thread safe. */
Result<LoadMessage> DecodeLoad(ByteView aPayload);

} // namespace heatherplank
