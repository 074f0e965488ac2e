#pragma once

#include "include/heatherplank/Error.h"
#include "src/membership/MemberRecord.h"
#include "src/membership/MembershipActions.h"
#include "src/wire/Frame.h"

namespace heatherplank {

/** Most records of one message; a longer one is Malformed. */
constexpr std::size_t kMaxRecordsPerMessage = 16384;
/** Bytes of a record on the wire. */
constexpr std::size_t kRecordWireSize = 88;

/** The payload of a frame or datagram of the kind that the message's type is
 * named for; the caller adds the header (EncodeFrame, EncodeDatagram).
 * Precondition: at most kMaxRecordsPerMessage records. All thread safe.
 */
Bytes EncodePayload(const Heartbeat& aMessage);
Bytes EncodePayload(const MemberDelta& aMessage);
Bytes EncodePayload(const MemberDigest& aMessage);
Bytes EncodePayload(const MemberSnapshotRequest& aMessage);
Bytes EncodePayload(const MemberSnapshot& aMessage);

/** Reads a payload of its kind. Malformed if it does not verify, or names a
 * host, state, verdict or table that can't be. All thread safe.
 */
Result<Heartbeat> DecodeHeartbeat(ByteView aPayload);
Result<MemberDelta> DecodeMemberDelta(ByteView aPayload);
Result<MemberDigest> DecodeMemberDigest(ByteView aPayload);
Result<MemberSnapshotRequest> DecodeMemberSnapshotRequest(ByteView aPayload);
Result<MemberSnapshot> DecodeMemberSnapshot(ByteView aPayload);

/** Any of them: the frame of a message, and back. Malformed too if the frame
 * is of another kind. Thread safe. */
struct EncodedMembership
{
  MessageKind mKind{};
  Bytes mPayload;
};
EncodedMembership EncodeMembership(const MembershipMessage& aMessage);
Result<MembershipMessage> DecodeMembership(const Frame& aFrame);
/** True for the kinds that DecodeMembership reads. Thread safe. */
bool IsMembership(MessageKind aKind);

} // namespace heatherplank
