#pragma once

#include "include/heatherplank/Error.h"
#include "src/wire/Frame.h"
#include "src/wire/LocationMessages.h"

namespace heatherplank {

/** Encode the payload of a datagram; the caller adds the header. Precondition:
 * the lists are within the limits of their message. Thread safe. */
Bytes EncodePayload(const FlowRecords& aMessage);
Bytes EncodePayload(const FlowQuery& aMessage);
Bytes EncodePayload(const FlowQueryReply& aMessage);

/** Decode a payload; Malformed if it does not verify, if a list is longer than
 * its limit, or if a value is out of range. Thread safe. */
Result<FlowRecords> DecodeFlowRecords(ByteView aPayload);
Result<FlowQuery> DecodeFlowQuery(ByteView aPayload);
Result<FlowQueryReply> DecodeFlowQueryReply(ByteView aPayload);

} // namespace heatherplank
