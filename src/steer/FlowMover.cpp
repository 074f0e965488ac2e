#include "src/steer/FlowMover.h"

#include <algorithm>
#include <utility>

namespace heatherplank {

namespace {

/** Called when an offer was refused, or its target is gone: raises the flow's
 * moves above the offer's (mMoves + 1). A target that was declared dead may
 * have accepted the offer and resume after a stall; its lower count then shows
 * that its ownership is outdated.
 */
void SkipOfferedMove(OwnedFlow& aFlow)
{
  aFlow.mMoves = static_cast<std::uint16_t>(aFlow.mMoves + 2);
}

} // namespace

void FlowMover::StartIfReady(FlowTable::Entry& aFlow, Time aNow,
                             OwnershipActions& aOut)
{
  bool isReady = aFlow.mValue.mActiveRequests == 0 && !aFlow.mValue.mMoving &&
                 mState.IsConfirmed(aFlow.mValue) && aNow >= mPauseUntil;
  if (!isReady || mPending.IsFull()) {
    return;
  }
  PendingHandOffs::Entry& pending = *mPending.Insert(aFlow.mFlow, aNow);
  aFlow.mValue.mMoving = true;
  Retarget(pending, aFlow, aNow, aOut);
}

bool FlowMover::ChooseTarget(PendingHandOffs::Entry& aPending, Time aNow)
{
  std::uint64_t hash = HashFlow(aPending.mFlow);
  RankedMembers targets;
  for (const Member* it : mState.mViews.Candidates(hash)) {
    const auto& refused = aPending.mValue.mRefusedBy;
    bool isOpen =
      std::find(refused.begin(), refused.end(), it->mHost) == refused.end();
    if (isOpen && it->mHost != mState.mSelf.mHost) {
      targets.push_back(it);
    }
  }
  if (targets.empty()) {
    return false;
  }
  std::size_t pick =
    mState.mPolicy.Pick({ targets.data(), targets.size() }, hash, aNow);
  aPending.mValue.mTo = ToPeer(*targets[pick < targets.size() ? pick : 0]);
  return true;
}

void FlowMover::Retarget(PendingHandOffs::Entry& aPending,
                         FlowTable::Entry& aFlow, Time aNow,
                         OwnershipActions& aOut)
{
  if (ChooseTarget(aPending, aNow)) {
    ++aFlow.mValue.mAttempt;
    aPending.mValue.mStart = aNow;
    Offer(aPending, aFlow, aNow, aOut);
    return;
  }
  aFlow.mValue.mMoving = false;
  for (const Held& it : aPending.mValue.mHeld) {
    mState.Dispatch(it.mPacket, aFlow, aNow, aOut);
  }
  mPending.Erase(aPending);
  mPauseUntil = aNow + mState.mOptions.mRetryAfter;
}

void FlowMover::Offer(PendingHandOffs::Entry& aPending, FlowTable::Entry& aFlow,
                      Time aNow, OwnershipActions& aOut)
{
  const Peer& to = aPending.mValue.mTo;
  const OwnedFlow& flow = aFlow.mValue;
  aPending.mValue.mNextTry = aNow + mState.mOptions.mRetryInterval;
  ++mState.mCounters[OwnershipCount::HandOffsSent];
  HandOff offer{ aFlow.mFlow,
                 mState.mSelf,
                 to.mIncarnation,
                 flow.mEpoch,
                 static_cast<std::uint16_t>(flow.mMoves + 1),
                 flow.mAttempt,
                 aFlow.mPinned,
                 {} };
  aOut.push_back(ExportFlow{ to.mTunnel, offer });
}

void FlowMover::Hold(const PacketEvent& aPacket, Time aNow,
                     OwnershipActions& aOut)
{
  PendingHandOff& pending = mPending.Find(aPacket.mFlow)->mValue;
  if (pending.mHeld.size() >= mState.mOptions.mMaxHeldPackets) {
    mState.Refuse(aPacket, OwnershipRefusal::TooManyHeld, aOut);
    return;
  }
  pending.mHeld.push_back({ aPacket, aNow + mState.mOptions.mQueryTimeout });
}

void FlowMover::OnAck(const HandOffAck& aAck, Time aNow, OwnershipActions& aOut)
{
  PendingHandOffs::Entry* pending = mPending.Find(aAck.mFlow);
  FlowTable::Entry* flow = mState.mFlows.Find(aAck.mFlow);
  bool isCurrent = pending != nullptr && flow != nullptr &&
                   pending->mValue.mTo.mHost == aAck.mFrom.mHost &&
                   flow->mValue.mAttempt == aAck.mAttempt &&
                   flow->mValue.mEpoch == aAck.mEpoch;
  if (!isCurrent) {
    return;
  }
  if (!aAck.mAccepted) {
    ++mState.mCounters[OwnershipCount::HandOffsRefused];
    pending->mValue.mRefusedBy.push_back(aAck.mFrom.mHost);
    SkipOfferedMove(flow->mValue);
    Retarget(*pending, *flow, aNow, aOut);
    return;
  }
  ++mState.mCounters[OwnershipCount::HandOffsAccepted];
  FlowEpoch epoch = flow->mValue.mEpoch;
  auto moves = static_cast<std::uint16_t>(flow->mValue.mMoves + 1);
  Peer to = pending->mValue.mTo;
  mState.RememberMove(aAck.mFlow, to, epoch, moves, aNow);
  Cancel(aAck.mFlow, to, epoch, aOut);
  mState.Drop(*flow, aOut);
}

void FlowMover::Cancel(const FlowKey& aFlow, const Peer& aOwner,
                       FlowEpoch aEpoch, OwnershipActions& aOut)
{
  PendingHandOffs::Entry* pending = mPending.Find(aFlow);
  if (pending == nullptr) {
    return;
  }
  for (const Held& it : pending->mValue.mHeld) {
    mState.Forward(it.mPacket, aOwner, PacketDirective::Deliver, aEpoch, aOut);
  }
  mPending.Erase(*pending);
}

void FlowMover::RefuseOverdue(PendingHandOff& aPending, Time aNow,
                              OwnershipActions& aOut)
{
  std::erase_if(aPending.mHeld, [&](const Held& aIt) {
    bool isOver = aNow >= aIt.mUntil;
    if (isOver) {
      mState.Refuse(aIt.mPacket, OwnershipRefusal::Moving, aOut);
    }
    return isOver;
  });
}

void FlowMover::Tick(Time aNow, OwnershipActions& aOut,
                     std::vector<FlowKey>& aUnconfirmed)
{
  for (std::size_t i = 0; i < mPending.Slots(); ++i) {
    PendingHandOffs::Entry* pending = mPending.At(i);
    if (pending == nullptr) {
      continue;
    }
    FlowTable::Entry& flow = *mState.mFlows.Find(pending->mFlow);
    RefuseOverdue(pending->mValue, aNow, aOut);
    if (aNow < pending->mValue.mNextTry) {
      continue;
    }
    if (!mState.IsConfirmed(flow.mValue)) {
      aUnconfirmed.push_back(pending->mFlow);
      continue;
    }
    PeerStatus status =
      mState.mViews.StatusOf(pending->mValue.mTo, pending->mValue.mStart, aNow);
    if (status == PeerStatus::Gone) {
      pending->mValue.mRefusedBy.push_back(pending->mValue.mTo.mHost);
      SkipOfferedMove(flow.mValue);
      Retarget(*pending, flow, aNow, aOut);
    } else {
      Offer(*pending, flow, aNow, aOut);
    }
  }
}

} // namespace heatherplank
