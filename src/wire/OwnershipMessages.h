#pragma once

#include <cstdint>
#include <variant>
#include <vector>

#include "include/heatherplank/Types.h"
#include "src/wire/Frame.h"
#include "src/wire/PacketCodec.h"

namespace heatherplank {

/** Identity and address of an agent, for messages between agents. */
struct Peer
{
  HostId mHost;
  Incarnation mIncarnation = 0;
  Address mTunnel;

  auto operator<=>(const Peer&) const = default;
};

/** What the sender of a query does if no host owns the flow. */
enum class AskPurpose : std::uint8_t
{
  /** Places an unknown flow. */
  Place = 0,
  /** Resumes a flow that it owned before its lease expired. */
  Reconfirm = 1,
};

/** Queries an agent for the owner of a flow. */
struct Ask
{
  FlowKey mFlow;
  Peer mFrom;
  /** Identifies the query round; copied into the reply. */
  std::uint64_t mRound = 0;
  AskPurpose mPurpose = AskPurpose::Place;
  /** With Reconfirm: the epoch under which the sender owned the flow. */
  FlowEpoch mEpoch = 0;
};

/** What a queried agent knows of a flow. */
enum class AskVerdict : std::uint8_t
{
  /** Knows no owner. Promises to forward the flow to the sender of the query
   * rather than adopt it, for a limited time. */
  Nobody = 0,
  /** mOwner owns it. */
  Owner = 1,
  /** mOwner owned it, but its lease expired and it has not reconfirmed the flow
   * since. */
  Unconfirmed = 2,
  /** mOwner queries for the flow too, and takes precedence. */
  Asking = 3,
};

/** The reply to an Ask. */
struct AskReply
{
  FlowKey mFlow;
  Peer mFrom;
  std::uint64_t mRound = 0;
  AskVerdict mVerdict = AskVerdict::Nobody;
  Peer mOwner;
  FlowEpoch mEpoch = 0;
  std::uint16_t mMoves = 0;
  /** The owner was chosen recently and may not have been notified yet. */
  bool mJustPlaced = false;
};

/** A flow in a Claim or its acknowledgement. */
struct ClaimedFlow
{
  FlowKey mFlow;
  FlowEpoch mEpoch = 0;
  /** Hand-offs since the flow was adopted: of two claims for one epoch, the one
   * with more moves is newer. */
  std::uint16_t mMoves = 0;
  /** In an acknowledgement: false if another owner is known. */
  bool mAccepted = false;

  auto operator<=>(const ClaimedFlow&) const = default;
};

/** Limit of flows in one Claim, so that it fits into a datagram. */
constexpr std::size_t kMaxFlowsPerClaim = 16;

/** Notifies the arbiter of these flows that the sender owns them. */
struct Claim
{
  Peer mFrom;
  std::vector<ClaimedFlow> mFlows;
};

/** The acknowledgement of a Claim; the sender of the claim repeats it later for
 * the flows that are missing here.
 */
struct ClaimAck
{
  Peer mFrom;
  std::vector<ClaimedFlow> mFlows;
};

/** The owner of a flow, for a balancer's hint cache. Without an owner: a notice
 * to an arbiter that the sender does not own the flow under this epoch, as the
 * arbiter's directory states.
 */
struct Hint
{
  FlowKey mFlow;
  HostId mFrom;
  Peer mOwner;
  FlowEpoch mEpoch = 0;
  /** The sender cannot adopt new flows at present. */
  bool mDeclines = false;
};

/** A flow with its state, from a draining host to its new owner. */
struct HandOff
{
  FlowKey mFlow;
  Peer mFrom;
  /** The incarnation that may accept; any other one ignores the message. */
  Incarnation mToIncarnation = 0;
  FlowEpoch mEpoch = 0;
  std::uint16_t mMoves = 0;
  /** Counts the sender's attempts with this flow. */
  std::uint16_t mAttempt = 0;
  /** A request of the flow was answered; the flow is not evicted for new ones.
   */
  bool mEstablished = false;
  /** The driver's state of the flow, opaque here. In a decoded message: a view
   * of the message buffer. */
  ByteView mState;
};

/** The reply to a HandOff. */
struct HandOffAck
{
  FlowKey mFlow;
  Peer mFrom;
  FlowEpoch mEpoch = 0;
  std::uint16_t mAttempt = 0;
  bool mAccepted = false;
};

using OwnershipMessage =
  std::variant<Ask, AskReply, Claim, ClaimAck, Hint, HandOff, HandOffAck>;

} // namespace heatherplank
