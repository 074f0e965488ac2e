// Ownership: lookups of the owner of a flow, and placement of new flows.

#include <span>
#include <utility>

#include "src/steer/Ownership.h"

namespace heatherplank {

void Ownership::StartLookup(const PacketEvent& aPacket,
                            const ClaimedFlow& aClaimed, AskPurpose aPurpose,
                            Time aNow, OwnershipActions& aOut)
{
  if (mLookups.IsFull()) {
    mState.Refuse(aPacket, OwnershipRefusal::TooManyAsks, aOut);
    return;
  }
  ++mState.mCounters[OwnershipCount::RoundsAsked];
  PromiseTable::Entry* promise = FindPromise(aPacket.mFlow, aNow);
  const Peer* extraPeer = promise != nullptr ? &promise->mValue.mTo : nullptr;
  auto ended = mLookups.Start(aClaimed, aPurpose, extraPeer, aNow, aOut);
  if (!ended) {
    Hold(aPacket, aOut);
    return;
  }
  ended->mHeld.push_back(aPacket);
  FinishLookup(std::move(*ended), aNow, aOut);
}

void Ownership::StartReconfirmation(FlowTable::Entry& aFlow, Time aNow,
                                    OwnershipActions& aOut)
{
  if (mLookups.IsFull() || mLookups.IsActive(aFlow.mFlow) ||
      !MayDispatch(aNow)) {
    return;
  }
  ++mState.mCounters[OwnershipCount::RoundsAsked];
  auto ended = mLookups.Start(mState.Describe(aFlow), AskPurpose::Reconfirm,
                              nullptr, aNow, aOut);
  if (ended) {
    FinishLookup(std::move(*ended), aNow, aOut);
  }
}

void Ownership::FinishLookup(LookupResult aResult, Time aNow,
                             OwnershipActions& aOut)
{
  mState.Observe(aResult.mEpoch);
  if (!mState.mOptions.mGuards.mUnresponsivePeer &&
      aResult.mOutcome == LookupOutcome::Unresponsive) {
    aResult.mOutcome = LookupOutcome::Nobody;
  }
  if (aResult.mOutcome == LookupOutcome::Unresponsive) {
    ++mState.mCounters[OwnershipCount::RoundsSilent];
    RefuseHeld(aResult, OwnershipRefusal::PeerSilent,
               mState.mOptions.mRetryAfter, aOut);
    return;
  }
  if (FlowTable::Entry* flow = mState.mFlows.Find(aResult.mFlow)) {
    if (aResult.mPurpose == AskPurpose::Reconfirm) {
      FinishReconfirmation(aResult, *flow, aNow, aOut);
      return;
    }
    for (const PacketEvent& it : aResult.mHeld) {
      OnPacket(it, aNow, aOut);
    }
    return;
  }
  if (aResult.mPurpose == AskPurpose::Reconfirm) {
    RefuseHeld(aResult, OwnershipRefusal::Moving, mState.mOptions.mRetryAfter,
               aOut);
    return;
  }
  if (aResult.mOutcome == LookupOutcome::Nobody) {
    PlaceUnowned(aResult, aNow, aOut);
    return;
  }
  if (aResult.mOutcome == LookupOutcome::Yield) {
    ++mState.mCounters[OwnershipCount::RoundsYielded];
    Promise(aResult.mFlow, aResult.mOwner, aNow);
    for (const PacketEvent& it : aResult.mHeld) {
      mState.Forward(it, aResult.mOwner, PacketDirective::Route, 0, aOut);
    }
    return;
  }
  Time placedUntil =
    aResult.mJustPlaced ? aNow + mState.mOptions.mSettle : Time{};
  if (OwnerTable::Entry* entry =
        mState.mDirectory.FindOrInsert(aResult.mFlow, aNow)) {
    entry->mValue = { aResult.mOwner, aResult.mEpoch, aNow, placedUntil, {},
                      aResult.mMoves };
  }
  PacketDirective directive =
    aResult.mJustPlaced ? PacketDirective::Adopt : PacketDirective::Deliver;
  for (const PacketEvent& it : aResult.mHeld) {
    mState.Forward(it, aResult.mOwner, directive, aResult.mEpoch, aOut);
  }
}

void Ownership::PlaceUnowned(const LookupResult& aResult, Time aNow,
                             OwnershipActions& aOut)
{
  Duration fence = mState.mViews.RemainingFence(HashFlow(aResult.mFlow), aNow);
  if (fence > Duration{}) {
    RefuseHeld(aResult, OwnershipRefusal::PeerFenced, fence, aOut);
    return;
  }
  ++mState.mCounters[OwnershipCount::PlacedAfterAsking];
  ClaimedFlow claimed{ aResult.mFlow, aResult.mEpoch, aResult.mMoves, false };
  if (claimed.mEpoch != 0 && !mState.mDraining) {
    AdoptHere(claimed, mState.mSelf.mHost, aResult.mHeld, aNow, aOut);
  } else {
    Place(aResult.mFlow, aResult.mHeld, aNow, aOut);
  }
}

void Ownership::FinishReconfirmation(const LookupResult& aResult,
                                     FlowTable::Entry& aFlow, Time aNow,
                                     OwnershipActions& aOut)
{
  if (aResult.mOutcome != LookupOutcome::Nobody) {
    ReleaseFlow(aFlow, aResult, aNow, aOut);
    return;
  }
  Duration fence = mState.mViews.RemainingFence(HashFlow(aResult.mFlow), aNow);
  if (fence > Duration{}) {
    RefuseHeld(aResult, OwnershipRefusal::PeerFenced, fence, aOut);
    return;
  }
  aFlow.mValue.mConfirmedTerm = mState.mLeaseTerm;
  for (const PacketEvent& it : aResult.mHeld) {
    OnOwnedPacket(it, aFlow, aNow, aOut);
  }
}

void Ownership::ReleaseFlow(FlowTable::Entry& aFlow,
                            const LookupResult& aResult, Time aNow,
                            OwnershipActions& aOut)
{
  ++mState.mCounters[OwnershipCount::FlowsReleased];
  // A reconfirmation that is still in progress would revive the flow.
  auto ended = mLookups.EndWithOwner(aResult.mFlow, aResult.mOwner,
                                     aResult.mEpoch, aResult.mMoves);
  mState.RememberMove(aResult.mFlow, aResult.mOwner, aResult.mEpoch,
                      aResult.mMoves, aNow);
  mMover.Cancel(aResult.mFlow, aResult.mOwner, aResult.mEpoch, aOut);
  mState.Drop(aFlow, aOut);
  for (const PacketEvent& it : aResult.mHeld) {
    mState.Forward(it, aResult.mOwner, PacketDirective::Deliver, aResult.mEpoch,
                   aOut);
  }
  if (ended) {
    RefuseHeld(*ended, OwnershipRefusal::Moving, mState.mOptions.mRetryAfter,
               aOut);
  }
}

void Ownership::RefuseHeld(const LookupResult& aResult,
                           OwnershipRefusal aReason, Duration aRetryAfter,
                           OwnershipActions& aOut)
{
  for (const PacketEvent& it : aResult.mHeld) {
    mState.Refuse(it, aReason, aRetryAfter, aOut);
  }
}

const Member* Ownership::PickOwner(std::uint64_t aFlowHash, Time aNow)
{
  RankedMembers candidates = mState.mViews.Candidates(aFlowHash);
  RankedMembers accepting;
  for (const Member* it : candidates) {
    if (!HasDeclined(it->mHost, aNow)) {
      accepting.push_back(it);
    }
  }
  const RankedMembers& from = accepting.empty() ? candidates : accepting;
  if (from.empty()) {
    return nullptr;
  }
  std::size_t pick =
    mState.mPolicy.Pick({ from.data(), from.size() }, aFlowHash, aNow);
  return from[pick < from.size() ? pick : 0];
}

void Ownership::Place(const FlowKey& aFlow,
                      std::span<const PacketEvent> aPackets, Time aNow,
                      OwnershipActions& aOut)
{
  const Member* owner = PickOwner(HashFlow(aFlow), aNow);
  bool isSelf = owner != nullptr && owner->mHost == mState.mSelf.mHost;
  OwnerTable::Entry* entry = nullptr;
  if (owner != nullptr && !isSelf) {
    entry = mState.mDirectory.FindOrInsert(aFlow, aNow);
  }
  if (entry != nullptr) {
    Peer to = ToPeer(*owner);
    FlowEpoch epoch = mState.NextEpoch(to, aNow);
    entry->mValue = { to, epoch, aNow, aNow + mState.mOptions.mSettle, {}, 0 };
    for (const PacketEvent& it : aPackets) {
      mState.Forward(it, to, PacketDirective::Adopt, epoch, aOut);
    }
    return;
  }
  bool hasNoRoom = owner != nullptr && !isSelf;
  mState.mCounters[OwnershipCount::DirectoryFull] += hasNoRoom ? 1 : 0;
  if (owner != nullptr && !mState.mDraining) {
    // A flow that the arbiter owns itself needs no directory entry.
    FlowEpoch epoch = mState.NextEpoch(mState.mSelf, aNow);
    AdoptHere({ aFlow, epoch }, mState.mSelf.mHost, aPackets, aNow, aOut);
    return;
  }
  for (const PacketEvent& it : aPackets) {
    mState.Refuse(it, OwnershipRefusal::NoCandidate, aOut);
  }
}

void Ownership::AdoptHere(const ClaimedFlow& aClaimed, HostId aArbiter,
                          std::span<const PacketEvent> aPackets, Time aNow,
                          OwnershipActions& aOut)
{
  FlowTable::Entry* flow =
    mState.Adopt(aClaimed.mFlow, aClaimed.mEpoch, aClaimed.mMoves, aNow, aOut);
  if (flow == nullptr) {
    for (const PacketEvent& it : aPackets) {
      NotifyArbiter(it, true, aOut);
      mState.Refuse(it, OwnershipRefusal::FlowTableFull, aOut);
    }
    return;
  }
  const Member* arbiter = mState.mViews.Arbiter(HashFlow(aClaimed.mFlow));
  if (arbiter != nullptr && arbiter->mHost == aArbiter) {
    flow->mValue.mClaimedGeneration = mState.mViews.Generation();
    flow->mValue.mClaimedTo = aArbiter;
    flow->mValue.mClaimedAt = aNow;
  }
  for (const PacketEvent& it : aPackets) {
    mState.Dispatch(it, *flow, aNow, aOut);
  }
}

} // namespace heatherplank
