#include "src/steer/FlowMover.h"

#include <algorithm>
#include <utility>

namespace heatherplank {

namespace {

/** Counts the flow's moves past those of the offer that is given up. If its
 * receiver took it after all, and wakes later, it sees that its is the older.
 */
void PassOffer(OwnedFlow& aFlow)
{
  aFlow.mMoves = static_cast<std::uint16_t>(aFlow.mMoves + 2);
}

} // namespace

void FlowMover::Consider(FlowTable::Entry& aFlow, Time aNow,
                         OwnershipActions& aOut)
{
  bool isReady = aFlow.mValue.mBusy == 0 && !aFlow.mValue.mMoving &&
                 mState.IsConfirmed(aFlow.mValue) && aNow >= mPauseUntil;
  if (!isReady || mMoves.IsFull()) {
    return;
  }
  Moves::Entry& move = *mMoves.Insert(aFlow.mFlow, aNow);
  aFlow.mValue.mMoving = true;
  Retarget(move, aFlow, aNow, aOut);
}

bool FlowMover::ChooseTarget(Moves::Entry& aMove, Time aNow)
{
  std::uint64_t hash = HashFlow(aMove.mFlow);
  RankedMembers left;
  for (const Member* it : mState.mViews.Candidates(hash)) {
    const auto& refused = aMove.mValue.mRefusedBy;
    bool isOpen =
      std::find(refused.begin(), refused.end(), it->mHost) == refused.end();
    if (isOpen && it->mHost != mState.mSelf.mHost) {
      left.push_back(it);
    }
  }
  if (left.empty()) {
    return false;
  }
  std::size_t pick =
    mState.mPolicy.Pick({ left.data(), left.size() }, hash, aNow);
  aMove.mValue.mTo = ToPeer(*left[pick < left.size() ? pick : 0]);
  return true;
}

void FlowMover::Retarget(Moves::Entry& aMove, FlowTable::Entry& aFlow,
                         Time aNow, OwnershipActions& aOut)
{
  if (ChooseTarget(aMove, aNow)) {
    ++aFlow.mValue.mAttempt;
    aMove.mValue.mStart = aNow;
    Offer(aMove, aFlow, aNow, aOut);
    return;
  }
  aFlow.mValue.mMoving = false;
  for (const Held& it : aMove.mValue.mHeld) {
    mState.Dispatch(it.mPacket, aFlow, aNow, aOut);
  }
  mMoves.Erase(aMove);
  mPauseUntil = aNow + mState.mOptions.mRetryAfter;
}

void FlowMover::Offer(Moves::Entry& aMove, FlowTable::Entry& aFlow, Time aNow,
                      OwnershipActions& aOut)
{
  const Peer& to = aMove.mValue.mTo;
  const OwnedFlow& flow = aFlow.mValue;
  aMove.mValue.mNextTry = aNow + mState.mOptions.mRetry;
  ++mState.mCounters[OwnershipCount::HandOffsSent];
  HandOff offer{ aFlow.mFlow,
                 mState.mSelf,
                 to.mIncarnation,
                 flow.mEpoch,
                 static_cast<std::uint16_t>(flow.mMoves + 1),
                 flow.mAttempt,
                 aFlow.mKept,
                 {} };
  aOut.push_back(ExportFlow{ to.mTunnel, offer });
}

void FlowMover::Hold(const PacketEvent& aPacket, Time aNow,
                     OwnershipActions& aOut)
{
  Move& move = mMoves.Find(aPacket.mFlow)->mValue;
  if (move.mHeld.size() >= mState.mOptions.mMaxHeld) {
    mState.Refuse(aPacket, OwnershipRefusal::TooManyHeld, aOut);
    return;
  }
  move.mHeld.push_back({ aPacket, aNow + mState.mOptions.mAskDeadline });
}

void FlowMover::OnAck(const HandOffAck& aAck, Time aNow, OwnershipActions& aOut)
{
  Moves::Entry* move = mMoves.Find(aAck.mFlow);
  FlowTable::Entry* flow = mState.mFlows.Find(aAck.mFlow);
  bool isCurrent = move != nullptr && flow != nullptr &&
                   move->mValue.mTo.mHost == aAck.mFrom.mHost &&
                   flow->mValue.mAttempt == aAck.mAttempt &&
                   flow->mValue.mEpoch == aAck.mEpoch;
  if (!isCurrent) {
    return;
  }
  if (!aAck.mAccepted) {
    ++mState.mCounters[OwnershipCount::HandOffsRefused];
    move->mValue.mRefusedBy.push_back(aAck.mFrom.mHost);
    PassOffer(flow->mValue);
    Retarget(*move, *flow, aNow, aOut);
    return;
  }
  ++mState.mCounters[OwnershipCount::HandOffsAccepted];
  FlowEpoch epoch = flow->mValue.mEpoch;
  auto moves = static_cast<std::uint16_t>(flow->mValue.mMoves + 1);
  Peer to = move->mValue.mTo;
  mState.RememberMove(aAck.mFlow, to, epoch, moves, aNow);
  Cancel(aAck.mFlow, to, epoch, aOut);
  mState.Drop(*flow, aOut);
}

void FlowMover::Cancel(const FlowKey& aFlow, const Peer& aOwner,
                       FlowEpoch aEpoch, OwnershipActions& aOut)
{
  Moves::Entry* move = mMoves.Find(aFlow);
  if (move == nullptr) {
    return;
  }
  for (const Held& it : move->mValue.mHeld) {
    mState.Forward(it.mPacket, aOwner, PacketDirective::Deliver, aEpoch, aOut);
  }
  mMoves.Erase(*move);
}

void FlowMover::RefuseOverdue(Move& aMove, Time aNow, OwnershipActions& aOut)
{
  std::erase_if(aMove.mHeld, [&](const Held& aIt) {
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
  for (std::size_t i = 0; i < mMoves.Slots(); ++i) {
    Moves::Entry* move = mMoves.At(i);
    if (move == nullptr) {
      continue;
    }
    FlowTable::Entry& flow = *mState.mFlows.Find(move->mFlow);
    RefuseOverdue(move->mValue, aNow, aOut);
    if (aNow < move->mValue.mNextTry) {
      continue;
    }
    if (!mState.IsConfirmed(flow.mValue)) {
      aUnconfirmed.push_back(move->mFlow);
      continue;
    }
    PeerStatus status =
      mState.mViews.StatusOf(move->mValue.mTo, move->mValue.mStart, aNow);
    if (status == PeerStatus::Gone) {
      move->mValue.mRefusedBy.push_back(move->mValue.mTo.mHost);
      PassOffer(flow.mValue);
      Retarget(*move, flow, aNow, aOut);
    } else {
      Offer(*move, flow, aNow, aOut);
    }
  }
}

} // namespace heatherplank
