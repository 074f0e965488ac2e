#pragma once

#include <cstddef>
#include <cstdint>
#include <span>
#include <vector>

#include "include/heatherplank/Clock.h"
#include "include/heatherplank/Types.h"
#include "src/steer/FlowClaimer.h"
#include "src/steer/FlowMover.h"
#include "src/steer/OwnerLookups.h"
#include "src/steer/OwnershipActions.h"
#include "src/steer/OwnershipState.h"
#include "src/wire/OwnershipMessages.h"

namespace heatherplank {

/** Decides which host owns a flow: an agent's part of the ownership protocol,
 * for one shard of its flows. Takes events and returns actions; no I/O or clock
 * access. docs/OWNERSHIP.md has the rules and their reasons.
 *
 * The driver executes the actions in order; exactly one action with the token
 * of a packet completes it. Flows are assigned to shards by hash, and all
 * agents of a service have the same number of shards, so the hash of a
 * message's (first) flow determines its shard.
 *
 * Not thread safe: one instance per shard, under the shard's lock.
 */
class Ownership
{
public:
  /** aPolicy must outlive this. aStart: now. */
  Ownership(const Peer& aSelf, ServiceId aService, OwnerPolicy& aPolicy,
            const OwnershipOptions& aOptions, Time aStart);

  /** Takes the current view of the service. Must be called each time that a
   * heartbeat was answered, even if the view is the same, since this renews the
   * lease on this host's flows. aConfirmedAt: when that heartbeat was sent.
   * Preconditions: the view is of this host's service; versions do not
   * decrease.
   */
  void OnView(ServiceViewPtr aView, Time aConfirmedAt, Time aNow,
              OwnershipActions& aOut);

  /** Handles a packet from the tunnel (Route, Deliver or Adopt). */
  void OnPacket(const PacketEvent& aPacket, Time aNow, OwnershipActions& aOut);

  /** Handles a message from another agent. */
  void OnMessage(const OwnershipMessage& aMessage, Time aNow,
                 OwnershipActions& aOut);

  /** A request of an owned flow was admitted: the flow is neither handed off
   * nor expired before the request has ended. Ignored if the flow is not owned.
   */
  void OnRequestStarted(const FlowKey& aFlow);

  /** The request has ended; aAnswered if its answer was sent. The flow is then
   * established and is not evicted for new ones.
   */
  void OnRequestEnded(const FlowKey& aFlow, bool aAnswered, Time aNow,
                      OwnershipActions& aOut);

  /** Stops adopting flows, and hands the owned ones off, each between two
   * requests. A view that shows this host as draining has the same effect.
   */
  void Drain(Time aNow, OwnershipActions& aOut);

  /** Handles timeouts and retries. Must be called about every 25 ms. */
  void Tick(Time aNow, OwnershipActions& aOut);

  /** Number of owned flows. A draining host whose count is 0 only forwards; it
   * should run for another mSettle, until hints and directory entries that name
   * it have been replaced.
   */
  std::size_t FlowCount() const { return mState.mFlows.Size(); }

  bool IsDraining() const { return mState.mDraining; }

  /** Counter values since the start. */
  const OwnershipCounters& Counters() const { return mState.mCounters; }

  /** Upper bound of the bytes for one owned flow. */
  static constexpr std::size_t BytesPerFlow()
  {
    return FlowTable::BytesPerEntry();
  }

private:
  /** Detects that the lease has expired; see OwnershipGuards::mLease. */
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
  bool ShouldHonorPromise(const PromiseTable::Entry& aPromise,
                          const PacketEvent& aPacket) const;
  void OnUnknownPacket(const PacketEvent& aPacket, Time aNow,
                       OwnershipActions& aOut);
  void OnAdoptOrder(const PacketEvent& aPacket, Time aNow,
                    OwnershipActions& aOut);
  void NotifyArbiter(const PacketEvent& aPacket, bool aDeclines,
                     OwnershipActions& aOut);
  void Hold(const PacketEvent& aPacket, OwnershipActions& aOut);

  void StartLookup(const PacketEvent& aPacket, const ClaimedFlow& aClaimed,
                   AskPurpose aPurpose, Time aNow, OwnershipActions& aOut);
  void StartReconfirmation(FlowTable::Entry& aFlow, Time aNow,
                           OwnershipActions& aOut);
  void FinishLookup(LookupResult aResult, Time aNow, OwnershipActions& aOut);
  void FinishReconfirmation(const LookupResult& aResult,
                            FlowTable::Entry& aFlow, Time aNow,
                            OwnershipActions& aOut);
  void PlaceUnowned(const LookupResult& aResult, Time aNow,
                    OwnershipActions& aOut);
  void ReleaseFlow(FlowTable::Entry& aFlow, const LookupResult& aResult,
                   Time aNow, OwnershipActions& aOut);
  void RefuseHeld(const LookupResult& aResult, OwnershipRefusal aReason,
                  Duration aRetryAfter, OwnershipActions& aOut);

  /** Chooses the owner of a flow that has none, and forwards it the packets. */
  void Place(const FlowKey& aFlow, std::span<const PacketEvent> aPackets,
             Time aNow, OwnershipActions& aOut);
  const Member* PickOwner(std::uint64_t aFlowHash, Time aNow);
  void AdoptHere(const ClaimedFlow& aClaimed, HostId aArbiter,
                 std::span<const PacketEvent> aPackets, Time aNow,
                 OwnershipActions& aOut);

  void OnAsk(const Ask& aAsk, Time aNow, OwnershipActions& aOut);
  bool IsLive(const Peer& aPeer, Time aNow) const;
  bool AnswerAsOwner(const Ask& aAsk, AskReply& aReply, Time aNow,
                     OwnershipActions& aOut);
  bool AnswerFromEntries(const Ask& aAsk, AskReply& aReply, Time aNow);
  bool AnswerConcurrentQuery(const Ask& aAsk, AskReply& aReply, Time aNow,
                             OwnershipActions& aOut);
  bool Promise(const FlowKey& aFlow, const Peer& aTo, Time aNow);
  void OnClaim(const Claim& aClaim, Time aNow, OwnershipActions& aOut);
  bool HandleClaim(const Peer& aFrom, ClaimedFlow& aClaimed, Time aNow,
                   OwnershipActions& aOut);
  void OnClaimAck(const ClaimAck& aAck, OwnershipActions& aOut);
  void OnHint(const Hint& aHint, Time aNow);
  void OnHandOff(const HandOff& aHandOff, Time aNow, OwnershipActions& aOut);
  bool AcceptHandOff(const HandOff& aHandOff, Time aNow,
                     OwnershipActions& aOut);

  /** The entry of a flow, or null if there is none or its owner is gone. */
  OwnerTable::Entry* FindOwner(OwnerTable& aTable, const FlowKey& aFlow,
                               Time aNow);
  PromiseTable::Entry* FindPromise(const FlowKey& aFlow, Time aNow);
  bool HasDeclined(HostId aHost, Time aNow) const;
  void ExpireTables(Time aNow, OwnershipActions& aOut);
  /** Reconfirms flows, sends due claims and, while draining, starts hand-offs,
   * for the next mMaxSweptPerTick slots of the flow table. Removes
   * no flow; see ExpireTables. */
  void Sweep(Time aNow, OwnershipActions& aOut);

  struct Decliner
  {
    HostId mHost;
    Time mUntil;
  };

  OwnershipState mState;
  OwnerLookups mLookups;
  FlowClaimer mClaimer;
  FlowMover mMover;
  /** Hosts that recently declined an order to adopt. */
  std::vector<Decliner> mDecliners;
  std::size_t mSweepSlot = 0;
  bool mWasFresh = false;
};

} // namespace heatherplank
