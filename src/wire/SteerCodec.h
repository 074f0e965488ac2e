#pragma once

#include "include/heatherplank/Error.h"
#include "src/steer/OwnershipMessages.h"
#include "src/wire/Frame.h"

namespace heatherplank {

/** True if messages of this kind are read by DecodeOwnershipMessage. */
bool IsOwnershipMessage(MessageKind aKind);

/** The kind that a message is sent under. Thread safe. */
MessageKind KindOf(const OwnershipMessage& aMessage);

/** The payload of a message, for a frame on a connection: a HandOff may be too
 * large for a datagram. Thread safe.
 */
Bytes EncodeOwnershipPayload(const OwnershipMessage& aMessage);

/** The datagram of a message, with its header. Thread safe. */
Bytes EncodeOwnershipMessage(const OwnershipMessage& aMessage);

/** Reads the payload of a frame or datagram; Malformed if it does not verify,
 * holds values out of range or more than kMaxClaims flows. The state of a
 * HandOff is a view into aPayload. Precondition: IsOwnershipMessage(aKind).
 * Thread safe.
 */
Result<OwnershipMessage> DecodeOwnershipMessage(MessageKind aKind,
                                                ByteView aPayload);

/** The (first) flow that a message is about, which names its shard; an empty
 * key if there is none. Thread safe.
 */
FlowKey FlowOf(const OwnershipMessage& aMessage);

} // namespace heatherplank
