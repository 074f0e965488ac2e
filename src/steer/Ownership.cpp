#include "src/steer/Ownership.h"

#include <algorithm>
#include <utility>

namespace heatherplank {

namespace {

/** After this number of hops an agent acts as arbiter even if its own
 * view names another one, since the views of the agents before it disagree.
 */
constexpr std::uint8_t kActAsArbiterHops = 2;

} // namespace

Ownership::Ownership(const Peer& aSelf, ServiceId aService,
                     OwnerPolicy& aPolicy, const OwnershipOptions& aOptions,
                     Time aStart)
  : mState(aSelf, aService, aPolicy, aOptions, aStart)
  , mLookups(mState.mSelf, mState.mOptions, mState.mViews)
  , mClaimer(mState)
  , mMover(mState)
{
}

void Ownership::CheckLease(Time aNow, OwnershipActions& aOut)
{
  // A stalled or isolated host is eventually declared dead, and other hosts
  // take over its flows. If it resumed without a check, two hosts would
  // dispatch requests of one flow. The others wait longer than
  // mViewTrustTimeout, so a host whose view is still fresh has lost no flow; a
  // host whose view is not must query before it dispatches again.
  bool expires = mState.mOptions.mGuards.mLease && mWasFresh &&
                 !mState.mLeaseExpired && !mState.mViews.IsFresh(aNow);
  if (!expires) {
    return;
  }
  mState.mLeaseExpired = true;
  ++mState.mCounters[OwnershipCount::Lapses];
  std::vector<LookupResult> ended;
  mLookups.AbortAll(ended);
  for (const LookupResult& it : ended) {
    RefuseHeld(it, OwnershipRefusal::ViewStale, mState.mOptions.mRetryAfter,
               aOut);
  }
}

bool Ownership::MayDispatch(Time aNow) const
{
  return !mState.mOptions.mGuards.mLease ||
         (!mState.mLeaseExpired && mState.mViews.IsFresh(aNow));
}

void Ownership::OnView(ServiceViewPtr aView, Time aConfirmedAt, Time aNow,
                       OwnershipActions& aOut)
{
  CheckLease(aNow, aOut);
  mState.mViews.OnView(std::move(aView), aConfirmedAt, aNow);
  mWasFresh = mWasFresh || mState.mViews.IsFresh(aNow);
  if (mState.mLeaseExpired && mState.mViews.IsFresh(aNow)) {
    mState.mLeaseExpired = false;
    ++mState.mLeaseTerm;
    mState.mViews.OnLeaseRegained(aNow);
  }
  const Member* self = mState.mViews.Find(mState.mSelf.mHost);
  if (self != nullptr && !CanAdopt(*self) &&
      self->mIncarnation == mState.mSelf.mIncarnation) {
    Drain(aNow, aOut);
  }
}

void Ownership::Drain(Time aNow, OwnershipActions& aOut)
{
  CheckLease(aNow, aOut);
  mState.mDraining = true;
  mState.mViews.SetDraining();
  Sweep(aNow, aOut);
}

void Ownership::OnPacket(const PacketEvent& aPacket, Time aNow,
                         OwnershipActions& aOut)
{
  CheckLease(aNow, aOut);
  // The balancer checked this by its own view, but the address may have moved
  // to another service since.
  if (aPacket.mService != mState.mService) {
    mState.Refuse(aPacket, OwnershipRefusal::WrongService, aOut);
    return;
  }
  if (FlowTable::Entry* flow = mState.mFlows.Find(aPacket.mFlow)) {
    OnOwnedPacket(aPacket, *flow, aNow, aOut);
    return;
  }
  if (mLookups.IsActive(aPacket.mFlow)) {
    Hold(aPacket, aOut);
    return;
  }
  if (!OnKnownPacket(aPacket, aNow, aOut)) {
    OnUnknownPacket(aPacket, aNow, aOut);
  }
}

void Ownership::Hold(const PacketEvent& aPacket, OwnershipActions& aOut)
{
  if (!mLookups.Hold(aPacket)) {
    mState.Refuse(aPacket, OwnershipRefusal::TooManyHeld, aOut);
  }
}

void Ownership::OnOwnedPacket(const PacketEvent& aPacket,
                              FlowTable::Entry& aFlow, Time aNow,
                              OwnershipActions& aOut)
{
  if (!MayDispatch(aNow)) {
    mState.Refuse(aPacket, OwnershipRefusal::ViewStale, aOut);
  } else if (aFlow.mValue.mMoving) {
    mMover.Hold(aPacket, aNow, aOut);
  } else if (mState.IsConfirmed(aFlow.mValue)) {
    mState.Dispatch(aPacket, aFlow, aNow, aOut);
  } else if (mLookups.IsActive(aPacket.mFlow)) {
    Hold(aPacket, aOut);
  } else {
    StartLookup(aPacket, mState.Describe(aFlow), AskPurpose::Reconfirm, aNow,
                aOut);
  }
}

bool Ownership::OnKnownPacket(const PacketEvent& aPacket, Time aNow,
                              OwnershipActions& aOut)
{
  if (OnMovedPacket(aPacket, aNow, aOut)) {
    return true;
  }
  if (aPacket.mDirective == PacketDirective::Deliver) {
    NotifyArbiter(aPacket, false, aOut);
  }
  if (OnDirectoryPacket(aPacket, aNow, aOut)) {
    return true;
  }
  if (aPacket.mDirective == PacketDirective::Adopt) {
    OnAdoptOrder(aPacket, aNow, aOut);
    return true;
  }
  PromiseTable::Entry* promise = FindPromise(aPacket.mFlow, aNow);
  if (promise != nullptr && ShouldHonorPromise(*promise, aPacket)) {
    mState.Forward(aPacket, promise->mValue.mTo, PacketDirective::Route, 0,
                   aOut);
    return true;
  }
  return false;
}

bool Ownership::ShouldHonorPromise(const PromiseTable::Entry& aPromise,
                                   const PacketEvent& aPacket) const
{
  // A host that is draining by now, or that forwarded the packet here itself,
  // does not place the flow, and the packet would loop between the two hosts.
  // The promise is then ignored and the host is queried instead, since it may
  // have adopted the flow before.
  const Peer& to = aPromise.mValue.mTo;
  const Member* member = mState.mViews.Find(to.mHost);
  bool canAdopt = member == nullptr || CanAdopt(*member);
  bool isLoop = aPacket.mHops > kActAsArbiterHops;
  return canAdopt && to.mHost != aPacket.mArbiter && !isLoop;
}

bool Ownership::OnMovedPacket(const PacketEvent& aPacket, Time aNow,
                              OwnershipActions& aOut)
{
  OwnerTable::Entry* moved = FindOwner(mState.mMoved, aPacket.mFlow, aNow);
  if (moved == nullptr) {
    return false;
  }
  const KnownOwner& known = moved->mValue;
  if (known.mOwner.mHost == aPacket.mArbiter) {
    // That host would not forward the packet here if it owned the flow. The
    // packets would loop between both hosts until their entries expire.
    mState.mMoved.Erase(*moved);
    return false;
  }
  mState.mMoved.Touch(*moved, aNow);
  mState.Forward(aPacket, known.mOwner, PacketDirective::Deliver, known.mEpoch,
                 aOut);
  return true;
}

bool Ownership::OnDirectoryPacket(const PacketEvent& aPacket, Time aNow,
                                  OwnershipActions& aOut)
{
  OwnerTable::Entry* entry = FindOwner(mState.mDirectory, aPacket.mFlow, aNow);
  if (entry == nullptr) {
    return false;
  }
  const KnownOwner& known = entry->mValue;
  if (known.mOwner.mHost == mState.mSelf.mHost) {
    mState.mDirectory.Erase(*entry);
    return false;
  }
  PeerStatus status =
    mState.mViews.StatusOf(known.mOwner, known.mLearnedAt, aNow);
  if (status == PeerStatus::Fenced) {
    mState.Refuse(aPacket, OwnershipRefusal::PeerFenced,
                  mState.mOptions.mFenceDuration, aOut);
    return true;
  }
  // The order to adopt is repeated while the first one may still be in flight.
  // A later order could revive an epoch that has expired while the flow was
  // established elsewhere under a newer one. Later packets are therefore sent
  // with Deliver; an owner that no longer has the flow notifies the arbiter.
  bool isNew =
    aNow < known.mJustPlacedUntil || !mState.mOptions.mGuards.mStaleEntry;
  mState.mDirectory.Touch(*entry, aNow);
  mState.Forward(aPacket, known.mOwner,
                 isNew ? PacketDirective::Adopt : PacketDirective::Deliver,
                 known.mEpoch, aOut);
  return true;
}

void Ownership::OnAdoptOrder(const PacketEvent& aPacket, Time aNow,
                             OwnershipActions& aOut)
{
  ClaimedFlow claimed{ aPacket.mFlow, aPacket.mEpoch, 0, false };
  mState.Observe(aPacket.mEpoch);
  PromiseTable::Entry* promise = FindPromise(aPacket.mFlow, aNow);
  bool isPromisedElsewhere =
    promise != nullptr && promise->mValue.mTo.mHost != aPacket.mArbiter;
  if (mState.mDraining || !mState.IsForThisIncarnation(aPacket.mEpoch)) {
    ++mState.mCounters[OwnershipCount::AdoptDeclined];
    NotifyArbiter(aPacket, mState.mDraining, aOut);
    OnUnknownPacket(aPacket, aNow, aOut);
  } else if (!MayDispatch(aNow)) {
    mState.Refuse(aPacket, OwnershipRefusal::ViewStale, aOut);
  } else if (mState.mViews.LeaseExpiredRecently(aNow) || isPromisedElsewhere) {
    StartLookup(aPacket, claimed, AskPurpose::Place, aNow, aOut);
  } else {
    AdoptHere(claimed, aPacket.mArbiter, { &aPacket, 1 }, aNow, aOut);
  }
}

void Ownership::NotifyArbiter(const PacketEvent& aPacket, bool aDeclines,
                              OwnershipActions& aOut)
{
  const Member* arbiter = mState.mViews.Find(aPacket.mArbiter);
  if (arbiter != nullptr && arbiter->mHost != mState.mSelf.mHost) {
    Hint hint{
      aPacket.mFlow, mState.mSelf.mHost, {}, aPacket.mEpoch, aDeclines
    };
    aOut.push_back(SendMessage{ arbiter->mTunnel, hint });
  }
}

void Ownership::OnUnknownPacket(const PacketEvent& aPacket, Time aNow,
                                OwnershipActions& aOut)
{
  if (!MayDispatch(aNow)) {
    mState.Refuse(aPacket, OwnershipRefusal::ViewStale, aOut);
    return;
  }
  std::uint64_t hash = HashFlow(aPacket.mFlow);
  const Member* arbiter = mState.mViews.Arbiter(hash);
  if (arbiter == nullptr) {
    mState.Refuse(aPacket, OwnershipRefusal::NoCandidate, aOut);
    return;
  }
  bool isArbiter = arbiter->mHost == mState.mSelf.mHost;
  bool actsAsArbiter = aPacket.mHops >= kActAsArbiterHops && !mState.mDraining;
  if (!isArbiter && !actsAsArbiter) {
    mState.Forward(aPacket, ToPeer(*arbiter), PacketDirective::Route, 0, aOut);
    return;
  }
  // The entry names a host that left or died, but may have handed off the flow.
  bool hadOwner = mState.mDirectory.Find(aPacket.mFlow) != nullptr;
  bool isSettled = !hadOwner && mState.mViews.IsSettled(hash, aNow) &&
                   !mLookups.HasUnresponsivePeer(hash) &&
                   FindPromise(aPacket.mFlow, aNow) == nullptr;
  if (isSettled || !mState.mOptions.mGuards.mQueryPeers) {
    ++mState.mCounters[OwnershipCount::PlacedAtOnce];
    Place(aPacket.mFlow, { &aPacket, 1 }, aNow, aOut);
  } else {
    StartLookup(aPacket, { aPacket.mFlow }, AskPurpose::Place, aNow, aOut);
  }
}

void Ownership::OnRequestStarted(const FlowKey& aFlow)
{
  if (FlowTable::Entry* flow = mState.mFlows.Find(aFlow)) {
    ++flow->mValue.mActiveRequests;
  }
}

void Ownership::OnRequestEnded(const FlowKey& aFlow, bool aAnswered, Time aNow,
                               OwnershipActions& aOut)
{
  CheckLease(aNow, aOut);
  FlowTable::Entry* flow = mState.mFlows.Find(aFlow);
  if (flow == nullptr) {
    return;
  }
  flow->mValue.mActiveRequests -= flow->mValue.mActiveRequests > 0 ? 1 : 0;
  mState.mFlows.Touch(*flow, aNow);
  if (aAnswered) {
    mState.mFlows.Pin(*flow);
  }
  if (mState.mDraining && mState.mOptions.mGuards.mHandOff) {
    mMover.StartIfReady(*flow, aNow, aOut);
  }
}

void Ownership::Tick(Time aNow, OwnershipActions& aOut)
{
  CheckLease(aNow, aOut);
  std::vector<LookupResult> ended;
  mLookups.Tick(aNow, aOut, ended);
  for (LookupResult& it : ended) {
    FinishLookup(std::move(it), aNow, aOut);
  }
  std::vector<FlowKey> unconfirmed;
  mMover.Tick(aNow, aOut, unconfirmed);
  for (const FlowKey& it : unconfirmed) {
    StartReconfirmation(*mState.mFlows.Find(it), aNow, aOut);
  }
  ExpireTables(aNow, aOut);
  Sweep(aNow, aOut);
}

void Ownership::ExpireTables(Time aNow, OwnershipActions& aOut)
{
  const OwnershipOptions& options = mState.mOptions;
  mState.mFlows.Expire(
    aNow - options.mFlowIdleTimeout, aNow, [&](FlowTable::Entry& aFlow) {
      bool isIdle = aFlow.mValue.mActiveRequests == 0 && !aFlow.mValue.mMoving;
      if (isIdle) {
        ++mState.mCounters[OwnershipCount::FlowsExpired];
        aOut.push_back(DropFlow{ aFlow.mFlow, aFlow.mValue.mEpoch });
      }
      return isIdle;
    });
  auto always = [](const auto&) { return true; };
  mState.mDirectory.Expire(aNow - options.mDirectoryIdleTimeout, aNow, always);
  mState.mMoved.Expire(aNow - options.mDirectoryIdleTimeout, aNow, always);
  mState.mPromises.Expire(aNow - options.mSettle - options.mQueryTimeout, aNow,
                          always);
  std::erase_if(mDecliners,
                [&](const Decliner& aIt) { return aIt.mUntil <= aNow; });
}

void Ownership::Sweep(Time aNow, OwnershipActions& aOut)
{
  const OwnershipOptions& options = mState.mOptions;
  std::size_t slots = mState.mFlows.Slots();
  std::size_t confirms = options.mMaxConfirmsPerTick;
  for (std::size_t n = std::min(slots, options.mMaxSweptPerTick); n > 0; --n) {
    mSweepSlot = mSweepSlot + 1 < slots ? mSweepSlot + 1 : 0;
    FlowTable::Entry* flow = mState.mFlows.At(mSweepSlot);
    if (flow == nullptr) {
      continue;
    }
    if (!mState.IsConfirmed(flow->mValue)) {
      if (confirms > 0) {
        --confirms;
        StartReconfirmation(*flow, aNow, aOut);
      }
      continue;
    }
    mClaimer.ClaimIfDue(*flow, aNow, aOut);
    if (mState.mDraining && options.mGuards.mHandOff) {
      mMover.StartIfReady(*flow, aNow, aOut);
    }
  }
  mClaimer.Flush(aOut);
}

} // namespace heatherplank
