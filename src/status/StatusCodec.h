#pragma once

#include "src/status/StatusAggregator.h"
#include "src/wire/Frame.h"

namespace heatherplank {

/** Encodes the payload of a frame of kind StatusReport. Thread safe. */
Bytes EncodeStatusReport(const StatusReport& aReport);

/** Malformed if it does not verify, a list or name exceeds its limit, or a sum
 * is negative or not finite. Thread safe. */
Result<StatusReport> DecodeStatusReport(ByteView aPayload);

} // namespace heatherplank
