#pragma once

#include <cstdint>

#include "include/heatherplank/Clock.h"
#include "src/steer/BoundedTable.h"
#include "src/steer/OwnerPolicy.h"
#include "src/steer/OwnershipActions.h"
#include "src/steer/OwnershipCounters.h"
#include "src/steer/OwnershipOptions.h"
#include "src/steer/ViewHistory.h"
#include "src/wire/OwnershipMessages.h"

namespace heatherplank {

/** A flow that this host owns. */
struct OwnedFlow
{
  FlowEpoch mEpoch = 0;
  /** The arbiter that last acknowledged a claim. */
  HostId mClaimedTo;
  /** When a claim was last sent. */
  Time mClaimedAt;
  /** The view generation of the last acknowledged claim. */
  std::uint32_t mClaimedGeneration = 0;
  /** The lease term in which it was last confirmed. */
  std::uint32_t mConfirmedTerm = 0;
  std::uint16_t mMoves = 0;
  /** Hand-off attempts so far. */
  std::uint16_t mAttempt = 0;
  std::uint16_t mActiveRequests = 0;
  bool mMoving = false;
};

/** The owner of a flow that another host owns, as far as this one knows. */
struct KnownOwner
{
  Peer mOwner;
  FlowEpoch mEpoch = 0;
  Time mLearnedAt;
  /** Until then the owner may not have been notified that it was chosen. */
  Time mJustPlacedUntil;
  /** When the owner last confirmed its ownership after a conflicting claim. */
  Time mVerifiedAt;
  std::uint16_t mMoves = 0;
};

/** A flow that this host forwards to another one rather than adopt it. */
struct FlowPromise
{
  Peer mTo;
  /** The refused hand-off attempt, if a refusal was the reason; else 0. */
  std::uint16_t mAttempt = 0;
};

using FlowTable = BoundedTable<OwnedFlow>;
using OwnerTable = BoundedTable<KnownOwner>;
using PromiseTable = BoundedTable<FlowPromise>;

/** State that Ownership, OwnerLookups, FlowClaimer and FlowMover share. Not
 * thread safe.
 */
struct OwnershipState
{
  OwnershipState(const Peer& aSelf, ServiceId aService, OwnerPolicy& aPolicy,
                 const OwnershipOptions& aOptions, Time aStart);

  /** True if no other host can have adopted the flow since it was adopted or
   * confirmed here.
   */
  bool IsConfirmed(const OwnedFlow& aFlow) const
  {
    return !mLeaseExpired && aFlow.mConfirmedTerm == mLeaseTerm;
  }

  /** The flow's epoch and moves as this host knows them, for a message. */
  ClaimedFlow Describe(const FlowTable::Entry& aFlow) const
  {
    return { aFlow.mFlow, aFlow.mValue.mEpoch, aFlow.mValue.mMoves, false };
  }

  /** A new epoch for a flow that aOwner is to own: larger than all that this
   * host assigned or observed. It identifies the owner's incarnation.
   */
  FlowEpoch NextEpoch(const Peer& aOwner, Time aNow);

  /** Records an epoch that another host assigned, so that later ones are larger
   * even if the hosts' clocks differ.
   */
  void Observe(FlowEpoch aEpoch);

  /** True if the epoch was assigned for this incarnation of this host. A
   * restarted host must not resume a flow whose state it does not have.
   */
  bool IsForThisIncarnation(FlowEpoch aEpoch) const;

  /** Adds an owned flow. If the table is full, evicts an idle flow that was
   * never answered; null if none was found. Precondition: not owned yet.
   */
  FlowTable::Entry* Adopt(const FlowKey& aFlow, FlowEpoch aEpoch,
                          std::uint16_t aMoves, Time aNow,
                          OwnershipActions& aOut);

  /** Removes an owned flow and has the driver free its state. */
  void Drop(FlowTable::Entry& aFlow, OwnershipActions& aOut);

  /** Records the new owner of a flow; evicts the oldest record if full. */
  void RememberMove(const FlowKey& aFlow, const Peer& aTo, FlowEpoch aEpoch,
                    std::uint16_t aMoves, Time aNow);

  void Refuse(const PacketEvent& aPacket, OwnershipRefusal aReason,
              Duration aRetryAfter, OwnershipActions& aOut);
  void Refuse(const PacketEvent& aPacket, OwnershipRefusal aReason,
              OwnershipActions& aOut);
  void Forward(const PacketEvent& aPacket, const Peer& aTo,
               PacketDirective aDirective, FlowEpoch aEpoch,
               OwnershipActions& aOut);
  void Dispatch(const PacketEvent& aPacket, FlowTable::Entry& aFlow, Time aNow,
                OwnershipActions& aOut);

  const Peer mSelf;
  const ServiceId mService;
  OwnerPolicy& mPolicy;
  const OwnershipOptions mOptions;
  ViewHistory mViews;
  FlowTable mFlows;
  /** As arbiter: the owners of flows. */
  OwnerTable mDirectory;
  /** As former owner: the present owners of flows that moved. */
  OwnerTable mMoved;
  PromiseTable mPromises;
  OwnershipCounters mCounters;
  /** Incremented each time that an expired lease is regained; see IsConfirmed.
   */
  std::uint32_t mLeaseTerm = 0;
  /** The lease has expired and is not regained yet: nothing is dispatched. */
  bool mLeaseExpired = false;
  bool mDraining = false;

private:
  bool MakeRoom(Time aNow, OwnershipActions& aOut);

  const Time mStart;
  std::uint64_t mLastStamp = 0;
};

} // namespace heatherplank
