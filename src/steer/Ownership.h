#pragma once

#include <cstddef>
#include <cstdint>
#include <span>
#include <vector>

#include "include/heatherplank/Clock.h"
#include "include/heatherplank/Types.h"
#include "src/steer/FlowAsker.h"
#include "src/steer/FlowClaimer.h"
#include "src/steer/FlowMover.h"
#include "src/steer/OwnershipActions.h"
#include "src/steer/OwnershipMessages.h"
#include "src/steer/OwnershipState.h"

namespace heatherplank {

/** Which host owns a flow: the agent's side, for one shard of its flows. Pure:
 * events in, actions out. docs/OWNERSHIP.md has the rules and their reasons.
 *
 * The driver carries the actions out in their order, and settles each packet by
 * the one action that bears its token. Flows are split over shards by hash, in
 * the same way and number at all agents of a service, so that a message finds
 * its shard by the hash of its (first) flow.
 *
 * Not thread safe: one instance for each shard, under the shard's lock.
 */
class Ownership
{
public:
  /** aPolicy must outlive this. aStart: now. */
  Ownership(const Peer& aSelf, ServiceId aService, OwnerPolicy& aPolicy,
            const OwnershipOptions& aOptions, Time aStart);

  /** Takes the present view of the service. To be called each time that a
   * heartbeat was answered, also if the view is the same: that keeps this
   * host's right to its flows alive. aConfirmedAt: when that heartbeat was
   * sent. Preconditions: the view is of this host's service; versions only
   * grow.
   */
  void OnView(ServiceViewPtr aView, Time aConfirmedAt, Time aNow,
              OwnershipActions& aOut);

  /** Decides on a packet from the tunnel (Route, Deliver or Adopt). */
  void OnPacket(const PacketEvent& aPacket, Time aNow, OwnershipActions& aOut);

  /** Takes a message from another agent. */
  void OnMessage(const OwnershipMessage& aMessage, Time aNow,
                 OwnershipActions& aOut);

  /** A request of an owned flow was taken in: the flow stays here until it has
   * ended. Nothing happens if the flow is not owned.
   */
  void OnRequestStarted(const FlowKey& aFlow);

  /** The request has ended; aAnswered if its answer was sent, after which the
   * flow is established and no longer makes room for new ones.
   */
  void OnRequestEnded(const FlowKey& aFlow, bool aAnswered, Time aNow,
                      OwnershipActions& aOut);

  /** Adopts nothing from now on, and hands its flows to others, each at a
   * request boundary. A view that shows this host as draining does the same.
   */
  void Drain(Time aNow, OwnershipActions& aOut);

  /** Does what is due: to be called every 25 ms or so. */
  void Tick(Time aNow, OwnershipActions& aOut);

  /** Flows that are owned here. Once it drains and this is 0 the host only
   * forwards; it should stay for mSettle more, so that hints and entries that
   * name it have been replaced.
   */
  std::size_t FlowCount() const { return mState.mFlows.Size(); }

  bool IsDraining() const { return mState.mDraining; }

  /** Counts since the start, by reason. */
  const OwnershipCounters& Counters() const { return mState.mCounters; }

  /** Bytes of one owned flow, at most. */
  static constexpr std::size_t BytesPerFlow()
  {
    return FlowTable::BytesPerEntry();
  }

private:
  /** Notices that the trust in the view has lapsed; see OwnershipGuards. */
  void CheckLease(Time aNow, OwnershipActions& aOut);
  bool MayDispatch(Time aNow) const;

  void OnOwnedPacket(const PacketEvent& aPacket, FlowTable::Entry& aFlow,
                     Time aNow, OwnershipActions& aOut);
  bool OnKnownPacket(const PacketEvent& aPacket, Time aNow,
                     OwnershipActions& aOut);
  bool OnMovedPacket(const PacketEvent& aPacket, Time aNow,
                     OwnershipActions& aOut);
  bool OnDirectoryPacket(const PacketEvent& aPacket, Time aNow,
                         OwnershipActions& aOut);
  bool IsToBeKept(const PromiseTable::Entry& aPromise,
                  const PacketEvent& aPacket) const;
  void OnUnknownPacket(const PacketEvent& aPacket, Time aNow,
                       OwnershipActions& aOut);
  void OnAdoptOrder(const PacketEvent& aPacket, Time aNow,
                    OwnershipActions& aOut);
  void TellArbiter(const PacketEvent& aPacket, bool aDeclines,
                   OwnershipActions& aOut);
  void Hold(const PacketEvent& aPacket, OwnershipActions& aOut);

  void StartAsking(const PacketEvent& aPacket, const ClaimedFlow& aLife,
                   AskPurpose aPurpose, Time aNow, OwnershipActions& aOut);
  void StartConfirming(FlowTable::Entry& aFlow, Time aNow,
                       OwnershipActions& aOut);
  void Settle(AskResult aResult, Time aNow, OwnershipActions& aOut);
  void SettleConfirm(const AskResult& aResult, FlowTable::Entry& aFlow,
                     Time aNow, OwnershipActions& aOut);
  void SettleNobody(const AskResult& aResult, Time aNow,
                    OwnershipActions& aOut);
  void LetGo(FlowTable::Entry& aFlow, const AskResult& aResult, Time aNow,
             OwnershipActions& aOut);
  void RefuseHeld(const AskResult& aResult, OwnershipRefusal aReason,
                  Duration aRetryAfter, OwnershipActions& aOut);

  /** Chooses the owner of a flow that has none, and gives it the packets. */
  void Place(const FlowKey& aFlow, std::span<const PacketEvent> aPackets,
             Time aNow, OwnershipActions& aOut);
  const Member* PickOwner(std::uint64_t aFlowHash, Time aNow);
  void AdoptHere(const ClaimedFlow& aLife, HostId aArbiter,
                 std::span<const PacketEvent> aPackets, Time aNow,
                 OwnershipActions& aOut);

  void OnAsk(const Ask& aAsk, Time aNow, OwnershipActions& aOut);
  bool IsLive(const Peer& aPeer, Time aNow) const;
  bool AnswerAsOwner(const Ask& aAsk, AskReply& aReply, Time aNow,
                     OwnershipActions& aOut);
  bool AnswerFromEntries(const Ask& aAsk, AskReply& aReply, Time aNow);
  bool AnswerAsRival(const Ask& aAsk, AskReply& aReply, Time aNow,
                     OwnershipActions& aOut);
  bool Promise(const FlowKey& aFlow, const Peer& aTo, Time aNow);
  void OnClaim(const Claim& aClaim, Time aNow, OwnershipActions& aOut);
  bool TakeClaim(const Peer& aFrom, ClaimedFlow& aClaimed, Time aNow,
                 OwnershipActions& aOut);
  void OnClaimAck(const ClaimAck& aAck, OwnershipActions& aOut);
  void OnHint(const Hint& aHint, Time aNow);
  void OnHandOff(const HandOff& aHandOff, Time aNow, OwnershipActions& aOut);
  bool TakeOver(const HandOff& aHandOff, Time aNow, OwnershipActions& aOut);

  /** The entry of a flow, unless its owner is gone. */
  OwnerTable::Entry* FindOwner(OwnerTable& aTable, const FlowKey& aFlow,
                               Time aNow);
  PromiseTable::Entry* FindPromise(const FlowKey& aFlow, Time aNow);
  bool HasDeclined(HostId aHost, Time aNow) const;
  void ExpireTables(Time aNow, OwnershipActions& aOut);
  void Sweep(Time aNow, OwnershipActions& aOut);

  struct Decliner
  {
    HostId mHost;
    Time mUntil;
  };

  OwnershipState mState;
  FlowAsker mAsker;
  FlowClaimer mClaimer;
  FlowMover mMover;
  /** Hosts that lately turned an order to adopt down. */
  std::vector<Decliner> mDecliners;
  std::size_t mSweepAt = 0;
  bool mWasFresh = false;
};

} // namespace heatherplank
