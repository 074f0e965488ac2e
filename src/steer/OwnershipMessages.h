#pragma once

#include <cstdint>
#include <variant>
#include <vector>

#include "include/heatherplank/Types.h"
#include "src/wire/Frame.h"
#include "src/wire/PacketCodec.h"

namespace heatherplank {

/** An agent, as other agents reach it. */
struct Peer
{
  HostId mHost;
  Incarnation mIncarnation = 0;
  Address mTunnel;

  auto operator<=>(const Peer&) const = default;
};

/** What an asker means to do if nobody owns the flow. */
enum class AskPurpose : std::uint8_t
{
  /** Place a flow that it does not know. */
  Place = 0,
  /** Go on with a flow that it owned before it was paused or cut off. */
  Reconfirm = 1,
};

/** "Do you own this flow, or know who does?" */
struct Ask
{
  FlowKey mFlow;
  Peer mFrom;
  /** Comes back in the answer; new for each round of asking. */
  std::uint64_t mRound = 0;
  AskPurpose mPurpose = AskPurpose::Place;
  /** With Reconfirm: the life that the asker owned. */
  FlowEpoch mEpoch = 0;
};

/** What an asked agent knows of a flow. */
enum class AskVerdict : std::uint8_t
{
  /** Knows no owner, and promises to send the flow to the asker for a while
   * rather than to adopt it. */
  Nobody = 0,
  /** mOwner owns it. */
  Owner = 1,
  /** mOwner did, but was paused or cut off and has not confirmed it since. */
  Unconfirmed = 2,
  /** mOwner is asking, and was there first. */
  Asking = 3,
};

/** The answer to an Ask. */
struct AskReply
{
  FlowKey mFlow;
  Peer mFrom;
  std::uint64_t mRound = 0;
  AskVerdict mVerdict = AskVerdict::Nobody;
  Peer mOwner;
  FlowEpoch mEpoch = 0;
  std::uint16_t mMoves = 0;
  /** The owner was chosen a moment ago, and may not have heard of it yet. */
  bool mJustPlaced = false;
};

/** A flow in a Claim or its answer. */
struct ClaimedFlow
{
  FlowKey mFlow;
  FlowEpoch mEpoch = 0;
  /** Hand-offs since the flow's first adoption: of two claims for one life the
   * one with more is the later. */
  std::uint16_t mMoves = 0;
  /** In an answer: false if another owner is known. */
  bool mAccepted = false;

  auto operator<=>(const ClaimedFlow&) const = default;
};

/** Most flows in one Claim, so that it fits into a datagram. */
constexpr std::size_t kMaxClaims = 16;

/** "I own these flows", to the arbiter of all of them. */
struct Claim
{
  Peer mFrom;
  std::vector<ClaimedFlow> mFlows;
};

/** The answer to a Claim; a flow that is missing is claimed again later. */
struct ClaimAck
{
  Peer mFrom;
  std::vector<ClaimedFlow> mFlows;
};

/** Who owns a flow, for a balancer's hint cache; or, with no owner, that the
 * sender does not own this life of it, for the arbiter that thought so.
 */
struct Hint
{
  FlowKey mFlow;
  HostId mFrom;
  Peer mOwner;
  FlowEpoch mEpoch = 0;
  /** The sender can't take new flows at present. */
  bool mDeclines = false;
};

/** A flow with its state, from a draining host to its new owner. */
struct HandOff
{
  FlowKey mFlow;
  Peer mFrom;
  /** Refused by any other incarnation: a restart must not take it. */
  Incarnation mToIncarnation = 0;
  FlowEpoch mEpoch = 0;
  std::uint16_t mMoves = 0;
  /** Counts the sender's attempts with this flow. */
  std::uint16_t mAttempt = 0;
  bool mEstablished = false;
  /** What the driver keeps of the flow; opaque here. A view while decoded. */
  ByteView mState;
};

/** The answer to a HandOff. */
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
