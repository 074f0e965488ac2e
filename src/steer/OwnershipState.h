#pragma once

#include <cstdint>

#include "include/heatherplank/Clock.h"
#include "src/steer/BoundedTable.h"
#include "src/steer/OwnerPolicy.h"
#include "src/steer/OwnershipActions.h"
#include "src/steer/OwnershipCounters.h"
#include "src/steer/OwnershipMessages.h"
#include "src/steer/OwnershipOptions.h"
#include "src/steer/ViewHistory.h"

namespace heatherplank {

/** A flow that this host owns. */
struct OwnedFlow
{
  FlowEpoch mEpoch = 0;
  /** The arbiter that last acknowledged a claim. */
  HostId mClaimedTo;
  /** When it was last claimed. */
  Time mClaimAt;
  /** The view's generation that the last acknowledged claim was good for. */
  std::uint32_t mClaimedIn = 0;
  /** The lapse count that it was confirmed in. */
  std::uint32_t mConfirmedIn = 0;
  std::uint16_t mMoves = 0;
  std::uint16_t mAttempt = 0;
  /** Requests in progress. */
  std::uint16_t mBusy = 0;
  bool mMoving = false;
};

/** A flow that another host owns, as this one knows. */
struct KnownOwner
{
  Peer mOwner;
  FlowEpoch mEpoch = 0;
  Time mLearned;
  /** Until then the owner may not have heard that it was chosen. */
  Time mJustPlacedUntil;
  /** When the owner last said so against another's claim. */
  Time mVerifiedAt;
  std::uint16_t mMoves = 0;
};

/** A flow that this host will send to another rather than adopt it. */
struct FlowPromise
{
  Peer mTo;
  /** The hand-off attempt that was refused, if that was the reason. */
  std::uint16_t mAttempt = 0;
};

using FlowTable = BoundedTable<OwnedFlow>;
using OwnerTable = BoundedTable<KnownOwner>;
using PromiseTable = BoundedTable<FlowPromise>;

/** What the parts of Ownership share. Not thread safe. */
struct OwnershipState
{
  OwnershipState(const Peer& aSelf, ServiceId aService, OwnerPolicy& aPolicy,
                 const OwnershipOptions& aOptions, Time aStart);

  /** True if nothing can have been adopted elsewhere since the flow was
   * adopted or confirmed here.
   */
  bool IsConfirmed(const OwnedFlow& aFlow) const
  {
    return !mHasLapsed && aFlow.mConfirmedIn == mLapses;
  }

  /** The flow's life as this host knows it, for a message. */
  ClaimedFlow Describe(const FlowTable::Entry& aFlow) const
  {
    return { aFlow.mFlow, aFlow.mValue.mEpoch, aFlow.mValue.mMoves, false };
  }

  /** A new epoch for a flow that aOwner is to own: larger than all that this
   * host gave or heard of. It tells the owner's starts apart.
   */
  FlowEpoch NextEpoch(const Peer& aOwner, Time aNow);

  /** Notes an epoch that another host gave, so that later ones are larger
   * whatever the hosts' clocks say.
   */
  void Observe(FlowEpoch aEpoch);

  /** True if an epoch was given for this start of this host. A restart must
   * not go on with a life whose state it never had.
   */
  bool IsForThisStart(FlowEpoch aEpoch) const;

  /** Adds an owned flow; evicts one without answers to make room. Null if
   * there is none. Precondition: the flow is not owned yet.
   */
  FlowTable::Entry* Adopt(const FlowKey& aFlow, FlowEpoch aEpoch,
                          std::uint16_t aMoves, Time aNow,
                          OwnershipActions& aOut);

  /** Forgets an owned flow and has the driver free its state. */
  void Drop(FlowTable::Entry& aFlow, OwnershipActions& aOut);

  /** Remembers where a flow went; the oldest trace makes room. */
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
  /** As arbiter: who owns what. */
  OwnerTable mDirectory;
  /** As former owner: who owns it now. */
  OwnerTable mMoved;
  PromiseTable mPromises;
  OwnershipCounters mCounters;
  /** Lapses of the view so far, by pauses and cuts; see IsConfirmed. */
  std::uint32_t mLapses = 0;
  /** The view is not trusted at present. */
  bool mHasLapsed = false;
  bool mDraining = false;

private:
  bool MakeRoom(Time aNow, OwnershipActions& aOut);

  const Time mStart;
  std::uint64_t mLastStamp = 0;
};

} // namespace heatherplank
