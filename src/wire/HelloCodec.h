#pragma once

#include "include/heatherplank/Types.h"
#include "src/wire/Frame.h"

namespace heatherplank {

/** Who sends on a control connection; the first frame of each. */
struct Hello
{
  HostId mHost;
  /** Where the sender itself takes control connections. */
  Address mControl;
};

/** The payload of a frame of kind Hello. Thread safe. */
Bytes EncodeHello(const Hello& aHello);

/** Malformed if it does not verify. Thread safe. */
Result<Hello> DecodeHello(ByteView aPayload);

} // namespace heatherplank
