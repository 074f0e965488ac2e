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

void Ownership::StartAsking(const PacketEvent& aPacket,
                            const ClaimedFlow& aLife, AskPurpose aPurpose,
                            Time aNow, OwnershipActions& aOut)
{
  if (mAsker.IsFull()) {
    mState.Refuse(aPacket, OwnershipRefusal::TooManyAsks, aOut);
    return;
  }
  ++mState.mCounters[OwnershipCount::RoundsAsked];
  PromiseTable::Entry* promise = FindPromise(aPacket.mFlow, aNow);
  const Peer* also = promise != nullptr ? &promise->mValue.mTo : nullptr;
  auto ended = mAsker.Start(aLife, aPurpose, also, aNow, aOut);
  if (!ended) {
    Hold(aPacket, aOut);
    return;
  }
  ended->mHeld.push_back(aPacket);
  Settle(std::move(*ended), aNow, aOut);
}

void Ownership::StartConfirming(FlowTable::Entry& aFlow, Time aNow,
                                OwnershipActions& aOut)
{
  if (mAsker.IsFull() || mAsker.IsAsking(aFlow.mFlow) || !MayDispatch(aNow)) {
    return;
  }
  ++mState.mCounters[OwnershipCount::RoundsAsked];
  auto ended = mAsker.Start(mState.Describe(aFlow), AskPurpose::Reconfirm,
                            nullptr, aNow, aOut);
  if (ended) {
    Settle(std::move(*ended), aNow, aOut);
  }
}

void Ownership::Settle(AskResult aResult, Time aNow, OwnershipActions& aOut)
{
  mState.Observe(aResult.mEpoch);
  if (!mState.mOptions.mGuards.mSilentPeer &&
      aResult.mOutcome == AskOutcome::Silent) {
    aResult.mOutcome = AskOutcome::Nobody;
  }
  if (aResult.mOutcome == AskOutcome::Silent) {
    ++mState.mCounters[OwnershipCount::RoundsSilent];
    RefuseHeld(aResult, OwnershipRefusal::PeerSilent,
               mState.mOptions.mRetryAfter, aOut);
    return;
  }
  if (FlowTable::Entry* flow = mState.mFlows.Find(aResult.mFlow)) {
    if (aResult.mPurpose == AskPurpose::Reconfirm) {
      SettleConfirm(aResult, *flow, aNow, aOut);
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
  if (aResult.mOutcome == AskOutcome::Nobody) {
    SettleNobody(aResult, aNow, aOut);
    return;
  }
  if (aResult.mOutcome == AskOutcome::Yield) {
    ++mState.mCounters[OwnershipCount::RoundsYielded];
    Promise(aResult.mFlow, aResult.mOwner, aNow);
    for (const PacketEvent& it : aResult.mHeld) {
      mState.Forward(it, aResult.mOwner, PacketDirective::Route, 0, aOut);
    }
    return;
  }
  Time placedUntil =
    aResult.mJustPlaced ? aNow + mState.mOptions.mSettle : Time{};
  if (OwnerTable::Entry* entry = mState.mDirectory.Put(aResult.mFlow, aNow)) {
    entry->mValue = { aResult.mOwner, aResult.mEpoch, aNow, placedUntil, {},
                      aResult.mMoves };
  }
  PacketDirective directive =
    aResult.mJustPlaced ? PacketDirective::Adopt : PacketDirective::Deliver;
  for (const PacketEvent& it : aResult.mHeld) {
    mState.Forward(it, aResult.mOwner, directive, aResult.mEpoch, aOut);
  }
}

void Ownership::SettleNobody(const AskResult& aResult, Time aNow,
                             OwnershipActions& aOut)
{
  Duration fence = mState.mViews.FenceLeft(HashFlow(aResult.mFlow), aNow);
  if (fence > Duration{}) {
    RefuseHeld(aResult, OwnershipRefusal::PeerFenced, fence, aOut);
    return;
  }
  ++mState.mCounters[OwnershipCount::PlacedAfterAsking];
  ClaimedFlow life{ aResult.mFlow, aResult.mEpoch, aResult.mMoves, false };
  if (life.mEpoch != 0 && !mState.mDraining) {
    AdoptHere(life, mState.mSelf.mHost, aResult.mHeld, aNow, aOut);
  } else {
    Place(aResult.mFlow, aResult.mHeld, aNow, aOut);
  }
}

void Ownership::SettleConfirm(const AskResult& aResult, FlowTable::Entry& aFlow,
                              Time aNow, OwnershipActions& aOut)
{
  if (aResult.mOutcome != AskOutcome::Nobody) {
    LetGo(aFlow, aResult, aNow, aOut);
    return;
  }
  Duration fence = mState.mViews.FenceLeft(HashFlow(aResult.mFlow), aNow);
  if (fence > Duration{}) {
    RefuseHeld(aResult, OwnershipRefusal::PeerFenced, fence, aOut);
    return;
  }
  aFlow.mValue.mConfirmedIn = mState.mLapses;
  for (const PacketEvent& it : aResult.mHeld) {
    OnOwnedPacket(it, aFlow, aNow, aOut);
  }
}

void Ownership::LetGo(FlowTable::Entry& aFlow, const AskResult& aResult,
                      Time aNow, OwnershipActions& aOut)
{
  ++mState.mCounters[OwnershipCount::FlowsLetGo];
  // A round that goes on to confirm the flow would revive it.
  auto ended = mAsker.EndWithOwner(aResult.mFlow, aResult.mOwner,
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

void Ownership::RefuseHeld(const AskResult& aResult, OwnershipRefusal aReason,
                           Duration aRetryAfter, OwnershipActions& aOut)
{
  for (const PacketEvent& it : aResult.mHeld) {
    mState.Refuse(it, aReason, aRetryAfter, aOut);
  }
}

const Member* Ownership::PickOwner(std::uint64_t aFlowHash, Time aNow)
{
  RankedMembers candidates = mState.mViews.Candidates(aFlowHash);
  RankedMembers willing;
  for (const Member* it : candidates) {
    if (!HasDeclined(it->mHost, aNow)) {
      willing.push_back(it);
    }
  }
  const RankedMembers& from = willing.empty() ? candidates : willing;
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
    entry = mState.mDirectory.Put(aFlow, aNow);
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
    // A flow that the arbiter owns itself needs no entry.
    FlowEpoch epoch = mState.NextEpoch(mState.mSelf, aNow);
    AdoptHere({ aFlow, epoch }, mState.mSelf.mHost, aPackets, aNow, aOut);
    return;
  }
  for (const PacketEvent& it : aPackets) {
    mState.Refuse(it, OwnershipRefusal::NoCandidate, aOut);
  }
}

void Ownership::AdoptHere(const ClaimedFlow& aLife, HostId aArbiter,
                          std::span<const PacketEvent> aPackets, Time aNow,
                          OwnershipActions& aOut)
{
  FlowTable::Entry* flow =
    mState.Adopt(aLife.mFlow, aLife.mEpoch, aLife.mMoves, aNow, aOut);
  if (flow == nullptr) {
    for (const PacketEvent& it : aPackets) {
      TellArbiter(it, true, aOut);
      mState.Refuse(it, OwnershipRefusal::FlowTableFull, aOut);
    }
    return;
  }
  const Member* arbiter = mState.mViews.Arbiter(HashFlow(aLife.mFlow));
  if (arbiter != nullptr && arbiter->mHost == aArbiter) {
    flow->mValue.mClaimedIn = mState.mViews.Generation();
    flow->mValue.mClaimedTo = aArbiter;
    flow->mValue.mClaimAt = aNow;
  }
  for (const PacketEvent& it : aPackets) {
    mState.Dispatch(it, *flow, aNow, aOut);
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
