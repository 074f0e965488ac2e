#pragma once

#include "include/heatherplank/Error.h"
#include "src/wire/Frame.h"
#include "src/wire/OwnershipMessages.h"

namespace heatherplank {

/** True for the kinds that DecodeOwnershipMessage accepts. */
bool IsOwnershipMessage(MessageKind aKind);

/** The kind of the frame or datagram for a message. Thread safe. */
MessageKind KindOf(const OwnershipMessage& aMessage);

/** Encodes the payload of a frame on a connection, used because a HandOff may
 * be too large for a datagram. Thread safe.
 */
Bytes EncodeOwnershipPayload(const OwnershipMessage& aMessage);

/** Encodes a datagram, including its header. Thread safe. */
Bytes EncodeOwnershipMessage(const OwnershipMessage& aMessage);

/** Decodes the payload of a frame or datagram. Malformed if it does not verify,
 * or holds values out of range or more than kMaxFlowsPerClaim flows. The state
 * of a HandOff is a view into aPayload. Precondition:
 * IsOwnershipMessage(aKind). Thread safe.
 */
Result<OwnershipMessage> DecodeOwnershipMessage(MessageKind aKind,
                                                ByteView aPayload);

/** The first flow of a message, which determines the message's shard; an empty
 * key if the message has none. Thread safe.
 */
FlowKey FlowOf(const OwnershipMessage& aMessage);

} // namespace heatherplank
