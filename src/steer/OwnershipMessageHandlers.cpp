// The part of Ownership that takes messages from other agents.

#include <algorithm>
#include <utility>
#include <variant>

#include "src/steer/Ownership.h"

namespace heatherplank {

namespace {

/** Hosts that are remembered to have turned an adoption down. */
constexpr std::size_t kMaxDecliners = 64;

template<typename... Fns>
struct Overloaded : Fns...
{
  using Fns::operator()...;
};
template<typename... Fns>
Overloaded(Fns...) -> Overloaded<Fns...>;

} // namespace

void Ownership::OnMessage(const OwnershipMessage& aMessage, Time aNow,
                          OwnershipActions& aOut)
{
  CheckLease(aNow, aOut);
  std::visit(Overloaded{
               [&](const Ask& aIt) { OnAsk(aIt, aNow, aOut); },
               [&](const AskReply& aIt) {
                 mAsker.HeardFrom(aIt.mFrom.mHost);
                 if (auto ended = mAsker.OnReply(aIt, aNow, aOut)) {
                   Settle(std::move(*ended), aNow, aOut);
                 }
               },
               [&](const Claim& aIt) { OnClaim(aIt, aNow, aOut); },
               [&](const ClaimAck& aIt) { OnClaimAck(aIt, aNow, aOut); },
               [&](const Hint& aIt) { OnHint(aIt, aNow); },
               [&](const HandOff& aIt) { OnHandOff(aIt, aNow, aOut); },
               [&](const HandOffAck& aIt) { mMover.OnAck(aIt, aNow, aOut); },
             },
             aMessage);
}

void Ownership::OnAsk(const Ask& aAsk, Time aNow, OwnershipActions& aOut)
{
  if (aAsk.mFrom.mHost == mState.mSelf.mHost) {
    return;
  }
  AskReply reply;
  reply.mFlow = aAsk.mFlow;
  reply.mFrom = mState.mSelf;
  reply.mRound = aAsk.mRound;
  bool isAnswered = AnswerFromKnowledge(aAsk, reply, aNow, aOut) ||
                    AnswerAsRival(aAsk, reply, aNow, aOut) ||
                    Promise(aAsk.mFlow, aAsk.mFrom, aNow);
  if (isAnswered) {
    ++mState.mCounters[OwnershipCount::AsksAnswered];
    aOut.push_back(SendMessage{ aAsk.mFrom.mTunnel, reply });
  }
}

bool Ownership::AnswerFromKnowledge(const Ask& aAsk, AskReply& aReply,
                                    Time aNow, OwnershipActions& aOut)
{
  if (FlowTable::Entry* flow = mState.mFlows.Find(aAsk.mFlow)) {
    bool isSure = !mHasLapsed && mState.IsConfirmed(flow->mValue);
    bool isRival = !isSure && aAsk.mPurpose == AskPurpose::Reconfirm &&
                   mAsker.IsAsking(aAsk.mFlow);
    if (isRival) {
      return AnswerAsRival(aAsk, aReply, aNow, aOut);
    }
    aReply.mVerdict = isSure ? AskVerdict::Owner : AskVerdict::Unconfirmed;
    aReply.mOwner = mState.mSelf;
    aReply.mEpoch = flow->mValue.mEpoch;
    aReply.mMoves = flow->mValue.mMoves;
    return true;
  }
  OwnerTable::Entry* known = FindOwner(mState.mMoved, aAsk.mFlow, aNow);
  known = known ? known : FindOwner(mState.mDirectory, aAsk.mFlow, aNow);
  if (known != nullptr) {
    aReply.mVerdict = AskVerdict::Owner;
    aReply.mOwner = known->mValue.mOwner;
    aReply.mEpoch = known->mValue.mEpoch;
    aReply.mMoves = known->mValue.mMoves;
    aReply.mJustPlaced = aNow < known->mValue.mJustPlacedUntil;
    return true;
  }
  PromiseTable::Entry* promise = FindPromise(aAsk.mFlow, aNow);
  if (promise != nullptr && promise->mValue.mTo.mHost != aAsk.mFrom.mHost) {
    aReply.mVerdict = AskVerdict::Asking;
    aReply.mOwner = promise->mValue.mTo;
    return true;
  }
  return false;
}

bool Ownership::AnswerAsRival(const Ask& aAsk, AskReply& aReply, Time aNow,
                              OwnershipActions& aOut)
{
  if (!mAsker.IsAsking(aAsk.mFlow)) {
    return false;
  }
  auto ended = mAsker.OnRival(aAsk);
  if (ended) {
    Settle(std::move(*ended), aNow, aOut);
    return Promise(aAsk.mFlow, aAsk.mFrom, aNow);
  }
  aReply.mVerdict = AskVerdict::Asking;
  aReply.mOwner = mState.mSelf;
  return true;
}

bool Ownership::Promise(const FlowKey& aFlow, const Peer& aTo, Time aNow)
{
  if (!mState.mOptions.mGuards.mPromise) {
    return true;
  }
  // Without the promise, this host could adopt the flow a moment after it said
  // that nobody owns it, and the asker would do the same.
  PromiseTable::Entry* entry = mState.mPromises.Put(aFlow, aNow);
  if (entry == nullptr) {
    ++mState.mCounters[OwnershipCount::PromisesFull];
    return false;
  }
  bool isSame = entry->mValue.mTo.mHost == aTo.mHost;
  entry->mValue = { aTo, isSame ? entry->mValue.mAttempt : std::uint16_t{ 0 } };
  return true;
}

void Ownership::OnClaim(const Claim& aClaim, Time aNow, OwnershipActions& aOut)
{
  ClaimAck ack{ mState.mSelf, {} };
  for (ClaimedFlow flow : aClaim.mFlows) {
    if (TakeClaim(aClaim.mFrom, flow, aNow, aOut)) {
      ack.mFlows.push_back(flow);
    }
  }
  aOut.push_back(SendMessage{ aClaim.mFrom.mTunnel, std::move(ack) });
}

bool Ownership::TakeClaim(const Peer& aFrom, ClaimedFlow& aClaimed, Time aNow,
                          OwnershipActions& aOut)
{
  FlowTable::Entry* flow = mState.mFlows.Find(aClaimed.mFlow);
  if (flow == nullptr) {
    auto ended = mAsker.EndWithOwner(aClaimed.mFlow, aFrom, aClaimed.mEpoch,
                                     aClaimed.mMoves);
    bool isTaken = mClaimer.Take(aFrom, aClaimed, aNow);
    if (ended) {
      Settle(std::move(*ended), aNow, aOut);
    }
    return isTaken;
  }
  // The new owner of a flow that is on its way there has claimed it before its
  // answer to the hand-off came.
  bool hasMoved = flow->mValue.mEpoch == aClaimed.mEpoch &&
                  flow->mValue.mMoves < aClaimed.mMoves;
  aClaimed.mAccepted = hasMoved;
  if (hasMoved) {
    AskResult owner;
    owner.mFlow = aClaimed.mFlow;
    owner.mOwner = aFrom;
    owner.mEpoch = aClaimed.mEpoch;
    owner.mMoves = aClaimed.mMoves;
    LetGo(*flow, owner, aNow, aOut);
  } else {
    ++mState.mCounters[OwnershipCount::ClaimConflicts];
  }
  return true;
}

void Ownership::OnClaimAck(const ClaimAck& aAck, Time aNow,
                           OwnershipActions& aOut)
{
  for (const ClaimedFlow& it : aAck.mFlows) {
    FlowTable::Entry* flow = mState.mFlows.Find(it.mFlow);
    bool isCurrent = flow != nullptr && flow->mValue.mEpoch == it.mEpoch &&
                     flow->mValue.mMoves == it.mMoves;
    if (!isCurrent) {
      continue;
    }
    if (!it.mAccepted) {
      AskResult owner;
      owner.mFlow = it.mFlow;
      owner.mOwner = aAck.mFrom;
      LetGo(*flow, owner, aNow, aOut);
      continue;
    }
    const Member* arbiter = mState.mViews.Arbiter(HashFlow(it.mFlow));
    if (arbiter != nullptr && arbiter->mHost == aAck.mFrom.mHost &&
        arbiter->mIncarnation == aAck.mFrom.mIncarnation) {
      flow->mValue.mClaimedIn = mState.mViews.Generation();
      flow->mValue.mClaimedTo = arbiter->mHost;
    }
  }
}

void Ownership::OnHint(const Hint& aHint, Time aNow)
{
  if (!aHint.mOwner.mHost.IsNone()) {
    return;
  }
  for (OwnerTable* table : { &mState.mDirectory, &mState.mMoved }) {
    OwnerTable::Entry* entry = table->Find(aHint.mFlow);
    if (entry != nullptr && entry->mValue.mOwner.mHost == aHint.mFrom) {
      table->Erase(*entry);
    }
  }
  if (aHint.mDeclines && mDecliners.size() < kMaxDecliners &&
      !HasDeclined(aHint.mFrom, aNow)) {
    mDecliners.push_back({ aHint.mFrom, aNow + mState.mOptions.mSettle });
  }
}

void Ownership::OnHandOff(const HandOff& aHandOff, Time aNow,
                          OwnershipActions& aOut)
{
  // A restart has none of what the sender counts on, and an offer from before a
  // lapse may have been made to another host since. Without an answer the
  // sender keeps the flow until it knows.
  bool isForThisStart = aHandOff.mToIncarnation == mState.mSelf.mIncarnation;
  if (!isForThisStart || !MayDispatch(aNow) || mState.mViews.HadLapsed(aNow)) {
    return;
  }
  HandOffAck ack{ aHandOff.mFlow, mState.mSelf, aHandOff.mEpoch,
                  aHandOff.mAttempt, TakeOver(aHandOff, aNow, aOut) };
  if (!ack.mAccepted) {
    // The sender goes on to offer it to others, so a late copy of this offer
    // must not be accepted.
    if (!Promise(aHandOff.mFlow, aHandOff.mFrom, aNow)) {
      return;
    }
    if (auto* entry = mState.mPromises.Find(aHandOff.mFlow)) {
      entry->mValue.mAttempt = aHandOff.mAttempt;
    }
  }
  aOut.push_back(SendMessage{ aHandOff.mFrom.mTunnel, ack });
}

bool Ownership::TakeOver(const HandOff& aHandOff, Time aNow,
                         OwnershipActions& aOut)
{
  const FlowKey& key = aHandOff.mFlow;
  if (FlowTable::Entry* flow = mState.mFlows.Find(key)) {
    bool isSame = flow->mValue.mEpoch == aHandOff.mEpoch;
    mState.mCounters[OwnershipCount::ClaimConflicts] += isSame ? 0 : 1;
    return true;
  }
  OwnerTable::Entry* moved = mState.mMoved.Find(key);
  if (moved != nullptr && moved->mValue.mEpoch == aHandOff.mEpoch &&
      moved->mValue.mMoves >= aHandOff.mMoves) {
    return true;
  }
  PromiseTable::Entry* promise = mState.mPromises.Find(key);
  bool wasRefused = promise != nullptr &&
                    promise->mValue.mTo.mHost == aHandOff.mFrom.mHost &&
                    promise->mValue.mAttempt >= aHandOff.mAttempt;
  if (mState.mDraining || wasRefused) {
    return false;
  }
  FlowTable::Entry* flow =
    mState.Adopt(key, aHandOff.mEpoch, aHandOff.mMoves, aNow, aOut);
  if (flow == nullptr) {
    return false;
  }
  ++mState.mCounters[OwnershipCount::FlowsTakenOver];
  if (aHandOff.mEstablished) {
    mState.mFlows.Keep(*flow);
  }
  aOut.push_back(ImportFlow{ key, aHandOff.mEpoch });
  auto ended =
    mAsker.EndWithOwner(key, mState.mSelf, aHandOff.mEpoch, aHandOff.mMoves);
  if (ended) {
    Settle(std::move(*ended), aNow, aOut);
  }
  return true;
}

OwnerTable::Entry* Ownership::FindOwner(OwnerTable& aTable,
                                        const FlowKey& aFlow, Time aNow)
{
  OwnerTable::Entry* entry = aTable.Find(aFlow);
  if (entry == nullptr) {
    return nullptr;
  }
  const KnownOwner& known = entry->mValue;
  bool isGone = mState.mViews.StatusOf(known.mOwner, known.mLearned, aNow) ==
                PeerStatus::Gone;
  if (isGone) {
    aTable.Erase(*entry);
    return nullptr;
  }
  return entry;
}

PromiseTable::Entry* Ownership::FindPromise(const FlowKey& aFlow, Time aNow)
{
  PromiseTable::Entry* entry = mState.mPromises.Find(aFlow);
  if (entry == nullptr) {
    return nullptr;
  }
  const OwnershipOptions& options = mState.mOptions;
  bool isOver = entry->mSeen + options.mSettle + options.mAskDeadline <= aNow;
  bool isGone = mState.mViews.StatusOf(entry->mValue.mTo, entry->mSeen, aNow) ==
                PeerStatus::Gone;
  if (isOver || isGone) {
    mState.mPromises.Erase(*entry);
    return nullptr;
  }
  return entry;
}

bool Ownership::HasDeclined(HostId aHost, Time aNow) const
{
  return std::any_of(mDecliners.begin(), mDecliners.end(),
                     [&](const Decliner& aIt) {
                       return aIt.mHost == aHost && aIt.mUntil > aNow;
                     });
}

} // namespace heatherplank
