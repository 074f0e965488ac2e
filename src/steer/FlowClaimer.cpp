#include "src/steer/FlowClaimer.h"

namespace heatherplank {

namespace {

/** How long a confirmation by the owner stays valid against a conflicting
 * claim, in retry intervals of the claim. */
constexpr int kConfirmationRetryIntervals = 6;

} // namespace

void FlowClaimer::ClaimIfDue(FlowTable::Entry& aFlow, Time aNow,
                             OwnershipActions& aOut)
{
  OwnedFlow& flow = aFlow.mValue;
  std::uint32_t generation = mState.mViews.Generation();
  Duration age = aNow - flow.mClaimedAt;
  bool isDue = flow.mClaimedGeneration != generation ||
               age > mState.mOptions.mClaimRefreshInterval;
  if (!isDue || !mState.mOptions.mGuards.mClaim) {
    return;
  }
  const Member* arbiter = mState.mViews.Arbiter(HashFlow(aFlow.mFlow));
  bool isSelf = arbiter != nullptr && arbiter->mHost == mState.mSelf.mHost;
  if (arbiter == nullptr || isSelf) {
    flow.mClaimedGeneration = generation;
    flow.mClaimedTo = mState.mSelf.mHost;
    flow.mClaimedAt = aNow;
    return;
  }
  bool wasSent = flow.mClaimedAt != Time{};
  if (wasSent && age < mState.mOptions.mRetryInterval) {
    return;
  }
  flow.mClaimedAt = aNow;
  Batch& batch = mBatches[arbiter->mHost];
  batch.mTo = arbiter->mTunnel;
  batch.mClaim.mFlows.push_back(mState.Describe(aFlow));
  if (batch.mClaim.mFlows.size() == kMaxFlowsPerClaim) {
    Send(batch.mClaim, batch.mTo, aOut);
  }
}

void FlowClaimer::Send(Claim& aClaim, const Address& aTo,
                       OwnershipActions& aOut)
{
  aClaim.mFrom = mState.mSelf;
  ++mState.mCounters[OwnershipCount::ClaimsSent];
  aOut.push_back(SendMessage{ aTo, aClaim });
  aClaim.mFlows.clear();
}

void FlowClaimer::Flush(OwnershipActions& aOut)
{
  for (auto& [host, batch] : mBatches) {
    if (!batch.mClaim.mFlows.empty()) {
      Send(batch.mClaim, batch.mTo, aOut);
    }
  }
  mBatches.clear();
}

bool FlowClaimer::HandleClaim(const Peer& aFrom, ClaimedFlow& aClaimed,
                              Time aNow, OwnershipActions& aOut)
{
  OwnerTable::Entry* known =
    mState.mDirectory.FindOrInsert(aClaimed.mFlow, aNow);
  if (known == nullptr) {
    // The owner would be missed without a directory entry. For the lifetime of
    // entries, every unknown flow is therefore placed only after a query.
    ++mState.mCounters[OwnershipCount::DirectoryFull];
    mState.mViews.DistrustUntil(aNow + mState.mOptions.mDirectoryIdleTimeout);
    return false;
  }
  KnownOwner& entry = known->mValue;
  bool isNew = entry.mEpoch == 0;
  bool isSameEpoch = entry.mEpoch == aClaimed.mEpoch;
  // Of two incarnations of one host only the newer one exists.
  bool isSameOwner = entry.mOwner.mHost == aFrom.mHost &&
                     entry.mOwner.mIncarnation <= aFrom.mIncarnation;
  bool isDead = !isNew && mState.mViews.StatusOf(entry.mOwner, entry.mLearnedAt,
                                                 aNow) != PeerStatus::Live;
  if (!isNew && !isSameEpoch && !isSameOwner && !isDead) {
    return HandleConflict(*known, aNow, aOut);
  }
  // An owner's own claim prevails over the epoch that it was ordered to adopt.
  bool isOutdated = isSameEpoch && aClaimed.mMoves < entry.mMoves;
  if (!isOutdated) {
    entry = { aFrom, aClaimed.mEpoch, aNow, {}, {}, aClaimed.mMoves };
  }
  aClaimed.mAccepted = true;
  return true;
}

bool FlowClaimer::HandleConflict(OwnerTable::Entry& aKnown, Time aNow,
                                 OwnershipActions& aOut)
{
  // The entry may date from an epoch that has ended, or was never adopted.
  // Rejecting the claim because of it would make the claimant release an
  // established flow, so the owner in the entry must confirm first that it owns
  // the flow. The claimant repeats its claim meanwhile.
  bool isRecentlyConfirmed =
    aNow - aKnown.mValue.mVerifiedAt <
    mState.mOptions.mRetryInterval * kConfirmationRetryIntervals;
  if (isRecentlyConfirmed) {
    ++mState.mCounters[OwnershipCount::ClaimConflicts];
    return true;
  }
  Ask ask{ aKnown.mFlow, mState.mSelf, kVerifyRound, AskPurpose::Place, 0 };
  aOut.push_back(SendMessage{ aKnown.mValue.mOwner.mTunnel, ask });
  return false;
}

void FlowClaimer::OnVerifyReply(const AskReply& aReply, Time aNow)
{
  OwnerTable::Entry* known = mState.mDirectory.Find(aReply.mFlow);
  if (known == nullptr || known->mValue.mOwner.mHost != aReply.mFrom.mHost) {
    return;
  }
  bool owns = aReply.mVerdict == AskVerdict::Owner &&
              aReply.mOwner.mHost == aReply.mFrom.mHost;
  if (owns) {
    KnownOwner& entry = known->mValue;
    entry.mOwner = aReply.mOwner;
    entry.mEpoch = aReply.mEpoch;
    entry.mMoves = aReply.mMoves;
    entry.mVerifiedAt = aNow;
  } else {
    mState.mDirectory.Erase(*known);
  }
}

} // namespace heatherplank
