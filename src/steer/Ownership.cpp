#include "src/steer/Ownership.h"

#include <algorithm>
#include <utility>

namespace heatherplank {

namespace {

/** After so many hops an agent that is not the arbiter in its own view acts as
 * one, since the views of those before it disagree.
 */
constexpr std::uint8_t kActAfterHops = 2;

} // namespace

Ownership::Ownership(const Peer& aSelf, ServiceId aService,
                     OwnerPolicy& aPolicy, const OwnershipOptions& aOptions,
                     Time aStart)
  : mState(aSelf, aService, aPolicy, aOptions, aStart)
  , mAsker(mState.mSelf, mState.mOptions, mState.mViews)
  , mClaimer(mState)
  , mMover(mState)
{
}

void Ownership::CheckLease(Time aNow, OwnershipActions& aOut)
{
  // A host that is paused or cut off is held dead after a while, and its flows
  // are taken over. Were it to go on as before when it wakes, two hosts would
  // dispatch for one flow. Others wait for longer than the trust in a view
  // lasts, so whoever finds its own view still trusted has lost nothing, and
  // whoever does not asks before it dispatches again.
  bool lapses = mState.mOptions.mGuards.mLease && mWasFresh &&
                !mState.mHasLapsed && !mState.mViews.IsFresh(aNow);
  if (!lapses) {
    return;
  }
  mState.mHasLapsed = true;
  ++mState.mCounters[OwnershipCount::Lapses];
  std::vector<AskResult> ended;
  mAsker.EndAll(ended);
  for (const AskResult& it : ended) {
    RefuseHeld(it, OwnershipRefusal::ViewStale, mState.mOptions.mRetryAfter,
               aOut);
  }
}

bool Ownership::MayDispatch(Time aNow) const
{
  return !mState.mOptions.mGuards.mLease ||
         (!mState.mHasLapsed && mState.mViews.IsFresh(aNow));
}

void Ownership::OnView(ServiceViewPtr aView, Time aConfirmedAt, Time aNow,
                       OwnershipActions& aOut)
{
  CheckLease(aNow, aOut);
  mState.mViews.OnView(std::move(aView), aConfirmedAt, aNow);
  mWasFresh = mWasFresh || mState.mViews.IsFresh(aNow);
  if (mState.mHasLapsed && mState.mViews.IsFresh(aNow)) {
    mState.mHasLapsed = false;
    ++mState.mLapses;
    mState.mViews.OnLapse(aNow);
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
  // The balancer checked this too, by its view of that moment; an address may
  // have moved to another service since.
  if (aPacket.mService != mState.mService) {
    mState.Refuse(aPacket, OwnershipRefusal::WrongService, aOut);
    return;
  }
  if (FlowTable::Entry* flow = mState.mFlows.Find(aPacket.mFlow)) {
    OnOwnedPacket(aPacket, *flow, aNow, aOut);
    return;
  }
  if (mAsker.IsAsking(aPacket.mFlow)) {
    Hold(aPacket, aOut);
    return;
  }
  if (!OnKnownPacket(aPacket, aNow, aOut)) {
    OnUnknownPacket(aPacket, aNow, aOut);
  }
}

void Ownership::Hold(const PacketEvent& aPacket, OwnershipActions& aOut)
{
  if (!mAsker.Hold(aPacket)) {
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
  } else if (mAsker.IsAsking(aPacket.mFlow)) {
    Hold(aPacket, aOut);
  } else {
    StartAsking(aPacket, mState.Describe(aFlow), AskPurpose::Reconfirm, aNow,
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
    TellArbiter(aPacket, false, aOut);
  }
  if (OnDirectoryPacket(aPacket, aNow, aOut)) {
    return true;
  }
  if (aPacket.mDirective == PacketDirective::Adopt) {
    OnAdoptOrder(aPacket, aNow, aOut);
    return true;
  }
  PromiseTable::Entry* promise = FindPromise(aPacket.mFlow, aNow);
  if (promise != nullptr && IsToBeKept(*promise, aPacket)) {
    mState.Forward(aPacket, promise->mValue.mTo, PacketDirective::Route, 0,
                   aOut);
    return true;
  }
  return false;
}

bool Ownership::IsToBeKept(const PromiseTable::Entry& aPromise,
                           const PacketEvent& aPacket) const
{
  // Who drains since, or sends the packet here itself, does not place the flow;
  // it would go back and forth. It is still asked about, since that host may
  // have adopted it before.
  const Peer& to = aPromise.mValue.mTo;
  const Member* member = mState.mViews.Find(to.mHost);
  bool canAdopt = member == nullptr || CanAdopt(*member);
  bool isRound = aPacket.mHops > kActAfterHops;
  return canAdopt && to.mHost != aPacket.mArbiter && !isRound;
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
    // That host would not send the packet here if it owned the flow. Both would
    // send it to each other for as long as their entries last.
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
    mState.mViews.StatusOf(known.mOwner, known.mLearned, aNow);
  if (status == PeerStatus::Fenced) {
    mState.Refuse(aPacket, OwnershipRefusal::PeerFenced, mState.mOptions.mFence,
                  aOut);
    return true;
  }
  // An order to adopt is repeated for as long as the first may be on its way.
  // After that it could revive a life that has expired while another one was
  // established elsewhere, so the owner is asked to deliver, or say that it
  // does not know the flow.
  bool isNew =
    aNow < known.mJustPlacedUntil || !mState.mOptions.mGuards.mOldEntry;
  mState.mDirectory.Touch(*entry, aNow);
  mState.Forward(aPacket, known.mOwner,
                 isNew ? PacketDirective::Adopt : PacketDirective::Deliver,
                 known.mEpoch, aOut);
  return true;
}

void Ownership::OnAdoptOrder(const PacketEvent& aPacket, Time aNow,
                             OwnershipActions& aOut)
{
  ClaimedFlow life{ aPacket.mFlow, aPacket.mEpoch, 0, false };
  mState.Observe(aPacket.mEpoch);
  PromiseTable::Entry* promise = FindPromise(aPacket.mFlow, aNow);
  bool isForeign =
    promise != nullptr && promise->mValue.mTo.mHost != aPacket.mArbiter;
  if (mState.mDraining || !mState.IsForThisStart(aPacket.mEpoch)) {
    ++mState.mCounters[OwnershipCount::AdoptDeclined];
    TellArbiter(aPacket, mState.mDraining, aOut);
    OnUnknownPacket(aPacket, aNow, aOut);
  } else if (!MayDispatch(aNow)) {
    mState.Refuse(aPacket, OwnershipRefusal::ViewStale, aOut);
  } else if (mState.mViews.HadLapsed(aNow) || isForeign) {
    StartAsking(aPacket, life, AskPurpose::Place, aNow, aOut);
  } else {
    AdoptHere(life, aPacket.mArbiter, { &aPacket, 1 }, aNow, aOut);
  }
}

void Ownership::TellArbiter(const PacketEvent& aPacket, bool aDeclines,
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
  bool acts = aPacket.mHops >= kActAfterHops && !mState.mDraining;
  if (!isArbiter && !acts) {
    mState.Forward(aPacket, ToPeer(*arbiter), PacketDirective::Route, 0, aOut);
    return;
  }
  // The entry names a host that left or died, but that may have handed the flow
  // on before.
  bool hadOwner = mState.mDirectory.Find(aPacket.mFlow) != nullptr;
  bool isSettled = !hadOwner && mState.mViews.IsSettled(hash, aNow) &&
                   !mAsker.HasSilentPeer(hash) &&
                   FindPromise(aPacket.mFlow, aNow) == nullptr;
  if (isSettled || !mState.mOptions.mGuards.mAsk) {
    ++mState.mCounters[OwnershipCount::PlacedAtOnce];
    Place(aPacket.mFlow, { &aPacket, 1 }, aNow, aOut);
  } else {
    StartAsking(aPacket, { aPacket.mFlow }, AskPurpose::Place, aNow, aOut);
  }
}

void Ownership::OnRequestStarted(const FlowKey& aFlow)
{
  if (FlowTable::Entry* flow = mState.mFlows.Find(aFlow)) {
    ++flow->mValue.mBusy;
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
  flow->mValue.mBusy -= flow->mValue.mBusy > 0 ? 1 : 0;
  mState.mFlows.Touch(*flow, aNow);
  if (aAnswered) {
    mState.mFlows.Keep(*flow);
  }
  if (mState.mDraining && mState.mOptions.mGuards.mHandOff) {
    mMover.Consider(*flow, aNow, aOut);
  }
}

void Ownership::Tick(Time aNow, OwnershipActions& aOut)
{
  CheckLease(aNow, aOut);
  std::vector<AskResult> ended;
  mAsker.Tick(aNow, aOut, ended);
  for (AskResult& it : ended) {
    Settle(std::move(it), aNow, aOut);
  }
  std::vector<FlowKey> unconfirmed;
  mMover.Tick(aNow, aOut, unconfirmed);
  for (const FlowKey& it : unconfirmed) {
    StartConfirming(*mState.mFlows.Find(it), aNow, aOut);
  }
  ExpireTables(aNow, aOut);
  Sweep(aNow, aOut);
}

void Ownership::ExpireTables(Time aNow, OwnershipActions& aOut)
{
  const OwnershipOptions& options = mState.mOptions;
  mState.mFlows.Expire(
    aNow - options.mFlowIdle, aNow, [&](FlowTable::Entry& aFlow) {
      bool isIdle = aFlow.mValue.mBusy == 0 && !aFlow.mValue.mMoving;
      if (isIdle) {
        ++mState.mCounters[OwnershipCount::FlowsExpired];
        aOut.push_back(DropFlow{ aFlow.mFlow, aFlow.mValue.mEpoch });
      }
      return isIdle;
    });
  auto always = [](const auto&) { return true; };
  mState.mDirectory.Expire(aNow - options.mDirectoryIdle, aNow, always);
  mState.mMoved.Expire(aNow - options.mDirectoryIdle, aNow, always);
  mState.mPromises.Expire(aNow - options.mSettle - options.mAskDeadline, aNow,
                          always);
  std::erase_if(mDecliners,
                [&](const Decliner& aIt) { return aIt.mUntil <= aNow; });
}

void Ownership::Sweep(Time aNow, OwnershipActions& aOut)
{
  const OwnershipOptions& options = mState.mOptions;
  std::size_t slots = mState.mFlows.Slots();
  std::size_t confirms = options.mConfirmPerTick;
  for (std::size_t n = std::min(slots, options.mSweepPerTick); n > 0; --n) {
    mSweepAt = mSweepAt + 1 < slots ? mSweepAt + 1 : 0;
    FlowTable::Entry* flow = mState.mFlows.At(mSweepAt);
    if (flow == nullptr) {
      continue;
    }
    if (!mState.IsConfirmed(flow->mValue)) {
      if (confirms > 0) {
        --confirms;
        StartConfirming(*flow, aNow, aOut);
      }
      continue;
    }
    mClaimer.Consider(*flow, aNow, aOut);
    if (mState.mDraining && options.mGuards.mHandOff) {
      mMover.Consider(*flow, aNow, aOut);
    }
  }
  mClaimer.Flush(aOut);
}

} // namespace heatherplank
