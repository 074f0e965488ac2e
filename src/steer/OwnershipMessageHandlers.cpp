// Handlers of Ownership for messages from other agents.

#include <algorithm>
#include <utility>
#include <variant>

#include "src/steer/Ownership.h"

namespace heatherplank {

namespace {

/** Limit of recorded hosts that declined an order to adopt. */
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
                 mState.Observe(aIt.mEpoch);
                 mLookups.ClearUnresponsive(aIt.mFrom.mHost);
                 if (aIt.mRound == FlowClaimer::kVerifyRound) {
                   mClaimer.OnVerifyReply(aIt, aNow);
                 } else if (auto ended = mLookups.OnReply(aIt, aNow, aOut)) {
                   FinishLookup(std::move(*ended), aNow, aOut);
                 }
               },
               [&](const Claim& aIt) { OnClaim(aIt, aNow, aOut); },
               [&](const ClaimAck& aIt) { OnClaimAck(aIt, aOut); },
               [&](const Hint& aIt) { OnHint(aIt, aNow); },
               [&](const HandOff& aIt) { OnHandOff(aIt, aNow, aOut); },
               [&](const HandOffAck& aIt) { mMover.OnAck(aIt, aNow, aOut); },
             },
             aMessage);
}

bool Ownership::IsLive(const Peer& aPeer, Time aNow) const
{
  return mState.mViews.StatusOf(aPeer, aNow, aNow) == PeerStatus::Live;
}

void Ownership::OnAsk(const Ask& aAsk, Time aNow, OwnershipActions& aOut)
{
  // A host that is declared dead in this view gets no reply, since this host
  // would not honor a promise to it. It repeats the query, which is answered
  // once the view shows it again.
  bool isSelf = aAsk.mFrom.mHost == mState.mSelf.mHost;
  if (isSelf || !IsLive(aAsk.mFrom, aNow)) {
    return;
  }
  AskReply reply;
  reply.mFlow = aAsk.mFlow;
  reply.mFrom = mState.mSelf;
  reply.mRound = aAsk.mRound;
  // A query that only verifies a directory entry must not change state: a
  // promise to its sender would replace one to a live owner.
  bool isAnswered = AnswerAsOwner(aAsk, reply, aNow, aOut) ||
                    aAsk.mRound == FlowClaimer::kVerifyRound ||
                    AnswerConcurrentQuery(aAsk, reply, aNow, aOut) ||
                    AnswerFromEntries(aAsk, reply, aNow) ||
                    Promise(aAsk.mFlow, aAsk.mFrom, aNow);
  if (isAnswered) {
    ++mState.mCounters[OwnershipCount::AsksAnswered];
    aOut.push_back(SendMessage{ aAsk.mFrom.mTunnel, reply });
  }
}

bool Ownership::AnswerAsOwner(const Ask& aAsk, AskReply& aReply, Time aNow,
                              OwnershipActions& aOut)
{
  FlowTable::Entry* flow = mState.mFlows.Find(aAsk.mFlow);
  if (flow == nullptr) {
    return false;
  }
  bool isConfirmed = mState.IsConfirmed(flow->mValue);
  bool isConcurrent = !isConfirmed && aAsk.mPurpose == AskPurpose::Reconfirm &&
                      mLookups.IsActive(aAsk.mFlow);
  if (isConcurrent) {
    return AnswerConcurrentQuery(aAsk, aReply, aNow, aOut);
  }
  aReply.mVerdict = isConfirmed ? AskVerdict::Owner : AskVerdict::Unconfirmed;
  aReply.mOwner = mState.mSelf;
  aReply.mEpoch = flow->mValue.mEpoch;
  aReply.mMoves = flow->mValue.mMoves;
  return true;
}

bool Ownership::AnswerFromEntries(const Ask& aAsk, AskReply& aReply, Time aNow)
{
  OwnerTable::Entry* known = FindOwner(mState.mMoved, aAsk.mFlow, aNow);
  known = known ? known : FindOwner(mState.mDirectory, aAsk.mFlow, aNow);
  if (known != nullptr) {
    aReply.mVerdict = AskVerdict::Owner;
    aReply.mOwner = known->mValue.mOwner;
    aReply.mEpoch = known->mValue.mEpoch;
    aReply.mMoves = known->mValue.mMoves;
    aReply.mJustPlaced = aNow < known->mValue.mJustPlacedUntil;
  }
  PromiseTable::Entry* promise = FindPromise(aAsk.mFlow, aNow);
  bool isPromised =
    promise != nullptr && promise->mValue.mTo.mHost != aAsk.mFrom.mHost;
  if (isPromised) {
    // The sender queries the promised host too, which may name another owner.
    Peer first = promise->mValue.mTo;
    mState.mPromises.Touch(*promise, aNow);
    if (aAsk.mPurpose == AskPurpose::Reconfirm) {
      // A former owner takes precedence over a host that places the flow: from
      // now on, an order to adopt from the latter requires a query first.
      Promise(aAsk.mFlow, aAsk.mFrom, aNow);
    }
    aReply.mVerdict = known ? aReply.mVerdict : AskVerdict::Asking;
    aReply.mOwner = known ? aReply.mOwner : first;
    return true;
  }
  // The sender may find that the entry is out of date, and place the flow.
  return known != nullptr && Promise(aAsk.mFlow, aAsk.mFrom, aNow);
}

bool Ownership::AnswerConcurrentQuery(const Ask& aAsk, AskReply& aReply,
                                      Time aNow, OwnershipActions& aOut)
{
  if (!mLookups.IsActive(aAsk.mFlow)) {
    return false;
  }
  auto ended = mLookups.OnConcurrentQuery(aAsk);
  if (ended) {
    FinishLookup(std::move(*ended), aNow, aOut);
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
  // Without the promise, this host could adopt the flow right after its reply
  // that no host owns it, while the sender of the query adopts it too.
  PromiseTable::Entry* entry = mState.mPromises.FindOrInsert(aFlow, aNow);
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
  if (!IsLive(aClaim.mFrom, aNow)) {
    return;
  }
  ClaimAck ack{ mState.mSelf, {} };
  for (ClaimedFlow flow : aClaim.mFlows) {
    if (HandleClaim(aClaim.mFrom, flow, aNow, aOut)) {
      ack.mFlows.push_back(flow);
    }
  }
  aOut.push_back(SendMessage{ aClaim.mFrom.mTunnel, std::move(ack) });
}

bool Ownership::HandleClaim(const Peer& aFrom, ClaimedFlow& aClaimed, Time aNow,
                            OwnershipActions& aOut)
{
  mState.Observe(aClaimed.mEpoch);
  FlowTable::Entry* flow = mState.mFlows.Find(aClaimed.mFlow);
  if (flow == nullptr) {
    auto ended = mLookups.EndWithOwner(aClaimed.mFlow, aFrom, aClaimed.mEpoch,
                                       aClaimed.mMoves);
    bool isTaken = mClaimer.HandleClaim(aFrom, aClaimed, aNow, aOut);
    if (ended) {
      FinishLookup(std::move(*ended), aNow, aOut);
    }
    return isTaken;
  }
  // The claim is accepted in two cases. Either the sender accepted a hand-off
  // of the flow from this host, and its claim arrived before its reply. Or the
  // sender took the flow over while this host's lease was expired: an owner
  // claims only confirmed flows.
  bool isSameEpoch = flow->mValue.mEpoch == aClaimed.mEpoch;
  bool hasMoved = isSameEpoch && flow->mValue.mMoves < aClaimed.mMoves;
  bool isUnconfirmed = !isSameEpoch && !mState.IsConfirmed(flow->mValue);
  aClaimed.mAccepted = hasMoved || isUnconfirmed;
  if (aClaimed.mAccepted) {
    LookupResult owner;
    owner.mFlow = aClaimed.mFlow;
    owner.mOwner = aFrom;
    owner.mEpoch = aClaimed.mEpoch;
    owner.mMoves = aClaimed.mMoves;
    ReleaseFlow(*flow, owner, aNow, aOut);
  } else {
    ++mState.mCounters[OwnershipCount::ClaimConflicts];
  }
  return true;
}

void Ownership::OnClaimAck(const ClaimAck& aAck, OwnershipActions& aOut)
{
  for (const ClaimedFlow& it : aAck.mFlows) {
    FlowTable::Entry* flow = mState.mFlows.Find(it.mFlow);
    bool isCurrent = flow != nullptr && flow->mValue.mEpoch == it.mEpoch &&
                     flow->mValue.mMoves == it.mMoves;
    if (!isCurrent) {
      continue;
    }
    if (!it.mAccepted) {
      ++mState.mCounters[OwnershipCount::FlowsReleased];
      auto ended = mLookups.EndWithOwner(it.mFlow, aAck.mFrom, 0, 0);
      if (ended) {
        RefuseHeld(*ended, OwnershipRefusal::Moving,
                   mState.mOptions.mRetryAfter, aOut);
      }
      mMover.Cancel(it.mFlow, aAck.mFrom, 0, aOut);
      mState.Drop(*flow, aOut);
      continue;
    }
    const Member* arbiter = mState.mViews.Arbiter(HashFlow(it.mFlow));
    if (arbiter != nullptr && arbiter->mHost == aAck.mFrom.mHost &&
        arbiter->mIncarnation == aAck.mFrom.mIncarnation) {
      flow->mValue.mClaimedGeneration = mState.mViews.Generation();
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
    if (entry != nullptr && entry->mValue.mOwner.mHost == aHint.mFrom &&
        entry->mValue.mEpoch == aHint.mEpoch) {
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
  // A restarted host lacks the state that the sender relies on. Without a reply
  // the sender retains the flow until its view shows the restart.
  bool isForThisIncarnation =
    aHandOff.mToIncarnation == mState.mSelf.mIncarnation;
  if (!isForThisIncarnation || !IsLive(aHandOff.mFrom, aNow)) {
    return;
  }
  HandOffAck ack{ aHandOff.mFlow, mState.mSelf, aHandOff.mEpoch,
                  aHandOff.mAttempt, AcceptHandOff(aHandOff, aNow, aOut) };
  if (!ack.mAccepted) {
    // The sender then offers the flow to other hosts, so a late duplicate of
    // this offer must not be accepted.
    if (!Promise(aHandOff.mFlow, aHandOff.mFrom, aNow)) {
      return;
    }
    if (auto* entry = mState.mPromises.Find(aHandOff.mFlow)) {
      entry->mValue.mAttempt = aHandOff.mAttempt;
    }
  }
  aOut.push_back(SendMessage{ aHandOff.mFrom.mTunnel, ack });
}

bool Ownership::AcceptHandOff(const HandOff& aHandOff, Time aNow,
                              OwnershipActions& aOut)
{
  const FlowKey& key = aHandOff.mFlow;
  if (FlowTable::Entry* flow = mState.mFlows.Find(key)) {
    bool isSame = flow->mValue.mEpoch == aHandOff.mEpoch;
    if (isSame && flow->mValue.mMoves >= aHandOff.mMoves) {
      return true;
    }
    if (!isSame && mState.IsConfirmed(flow->mValue)) {
      ++mState.mCounters[OwnershipCount::ClaimConflicts];
      return false;
    }
    // Either this host was handing the flow off to the sender, which accepted
    // and now hands it off in turn; or the sender took it over while this
    // host's lease was expired.
    LookupResult owner;
    owner.mFlow = key;
    owner.mOwner = aHandOff.mFrom;
    owner.mEpoch = aHandOff.mEpoch;
    owner.mMoves = static_cast<std::uint16_t>(aHandOff.mMoves - 1);
    ReleaseFlow(*flow, owner, aNow, aOut);
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
  // While this host's lease was expired it may have been declared dead, and the
  // sender may have offered the flow to another host since.
  bool mayBeOutdated =
    !MayDispatch(aNow) || mState.mViews.LeaseExpiredRecently(aNow);
  if (mState.mDraining || wasRefused || mayBeOutdated) {
    return false;
  }
  FlowTable::Entry* flow =
    mState.Adopt(key, aHandOff.mEpoch, aHandOff.mMoves, aNow, aOut);
  if (flow == nullptr) {
    return false;
  }
  ++mState.mCounters[OwnershipCount::FlowsTakenOver];
  if (aHandOff.mEstablished) {
    mState.mFlows.Pin(*flow);
  }
  aOut.push_back(ImportFlow{ key, aHandOff.mEpoch });
  auto ended =
    mLookups.EndWithOwner(key, mState.mSelf, aHandOff.mEpoch, aHandOff.mMoves);
  if (ended) {
    FinishLookup(std::move(*ended), aNow, aOut);
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
  bool isGone = mState.mViews.StatusOf(known.mOwner, known.mLearnedAt, aNow) ==
                PeerStatus::Gone;
  return isGone ? nullptr : entry;
}

PromiseTable::Entry* Ownership::FindPromise(const FlowKey& aFlow, Time aNow)
{
  PromiseTable::Entry* entry = mState.mPromises.Find(aFlow);
  if (entry == nullptr) {
    return nullptr;
  }
  const OwnershipOptions& options = mState.mOptions;
  bool isOver =
    entry->mLastUsedAt + options.mSettle + options.mQueryTimeout <= aNow;
  bool isGone = mState.mViews.StatusOf(entry->mValue.mTo, entry->mLastUsedAt,
                                       aNow) == PeerStatus::Gone;
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
