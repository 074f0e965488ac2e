#pragma once

#include "src/status/StatusBoard.h"
#include "src/wire/Frame.h"

namespace heatherplank {

/** The payload of a frame of kind StatusReport. Thread safe. */
Bytes EncodeStatusReport(const StatusReport& aReport);

/** Reads it; Malformed if it does not verify or holds more than it may. Thread
 * safe. */
Result<StatusReport> DecodeStatusReport(ByteView aPayload);

} // namespace heatherplank
