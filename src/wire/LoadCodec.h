#pragma once

#include "include/heatherplank/Types.h"
#include "src/decide/HostLoad.h"
#include "src/wire/Frame.h"

namespace heatherplank {

/** A host's load as its agent tells it to the other agents of the service. */
struct LoadMessage
{
  HostId mHost;
  Incarnation mIncarnation = 0;
  /** Grows with each message of an incarnation. */
  std::uint64_t mSequence = 0;
  HostLoad mLoad;
};

/** The datagram of a message, with its header. Thread safe. */
Bytes EncodeLoad(const LoadMessage& aMessage);

/** Reads the payload of a datagram of kind Load; Malformed if it does not
 * verify. Thread safe. */
Result<LoadMessage> DecodeLoad(ByteView aPayload);

} // namespace heatherplank
