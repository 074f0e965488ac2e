#pragma once

#include "include/heatherplank/Types.h"
#include "src/wire/Frame.h"

namespace heatherplank {

/** Identifies the sender; the first frame on each control connection. */
struct Hello
{
  HostId mHost;
  /** Address on which the sender accepts control connections. */
  Address mControl;
};

/** Encodes the payload of a frame of kind Hello. Thread safe. */
Bytes EncodeHello(const Hello& aHello);

/** Malformed if it does not verify or the host is 0. Thread safe. */
Result<Hello> DecodeHello(ByteView aPayload);

} // namespace heatherplank
