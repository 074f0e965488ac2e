#pragma once

#include "include/heatherplank/Error.h"
#include "src/wire/Frame.h"
#include "src/wire/MembershipMessages.h"

namespace heatherplank {

/** Maximum number of records in a message; a message with more is Malformed. */
constexpr std::size_t kMaxRecordsPerMessage = 16384;
/** Size of an encoded record in bytes. */
constexpr std::size_t kRecordWireSize = 88;

/** Encode the payload of the MessageKind named like the argument's type; the
 * caller adds the header (EncodeFrame, EncodeDatagram). Precondition: at most
 * kMaxRecordsPerMessage records. All thread safe.
 */
Bytes EncodePayload(const Heartbeat& aMessage);
Bytes EncodePayload(const MemberDelta& aMessage);
Bytes EncodePayload(const MemberDigest& aMessage);
Bytes EncodePayload(const MemberSnapshotRequest& aMessage);
Bytes EncodePayload(const MemberSnapshot& aMessage);

/** Decode a payload. Malformed if it does not verify, or holds an invalid host,
 * state, verdict, table, host range or number of hashes. All thread safe.
 */
Result<Heartbeat> DecodeHeartbeat(ByteView aPayload);
Result<MemberDelta> DecodeMemberDelta(ByteView aPayload);
Result<MemberDigest> DecodeMemberDigest(ByteView aPayload);
Result<MemberSnapshotRequest> DecodeMemberSnapshotRequest(ByteView aPayload);
Result<MemberSnapshot> DecodeMemberSnapshot(ByteView aPayload);

/** The frame kind and payload of any message above. DecodeMembership returns
 * Malformed also for a frame of another kind. Thread safe. */
struct EncodedMembership
{
  MessageKind mKind{};
  Bytes mPayload;
};
EncodedMembership EncodeMembership(const MembershipMessage& aMessage);
Result<MembershipMessage> DecodeMembership(const Frame& aFrame);
/** True for the kinds that DecodeMembership accepts. Thread safe. */
bool IsMembership(MessageKind aKind);

} // namespace heatherplank
