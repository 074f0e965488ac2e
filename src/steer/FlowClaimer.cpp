#include "src/steer/FlowClaimer.h"

namespace heatherplank {

namespace {

/** An owner's word holds until its rival's claim has come this many times. */
constexpr int kClaimsToSee = 6;

} // namespace

void FlowClaimer::Consider(FlowTable::Entry& aFlow, Time aNow,
                           OwnershipActions& aOut)
{
  OwnedFlow& flow = aFlow.mValue;
  std::uint32_t generation = mState.mViews.Generation();
  Duration age = aNow - flow.mClaimAt;
  bool isDue =
    flow.mClaimedIn != generation || age > mState.mOptions.mClaimRefresh;
  if (!isDue || !mState.mOptions.mGuards.mClaim) {
    return;
  }
  const Member* arbiter = mState.mViews.Arbiter(HashFlow(aFlow.mFlow));
  bool isSelf = arbiter != nullptr && arbiter->mHost == mState.mSelf.mHost;
  if (arbiter == nullptr || isSelf) {
    flow.mClaimedIn = generation;
    flow.mClaimedTo = mState.mSelf.mHost;
    flow.mClaimAt = aNow;
    return;
  }
  bool wasSent = flow.mClaimAt != Time{};
  if (wasSent && age < mState.mOptions.mRetry) {
    return;
  }
  flow.mClaimAt = aNow;
  Batch& batch = mBatches[arbiter->mHost];
  batch.mTo = arbiter->mTunnel;
  batch.mClaim.mFlows.push_back(mState.Describe(aFlow));
  if (batch.mClaim.mFlows.size() == kMaxClaims) {
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

bool FlowClaimer::Take(const Peer& aFrom, ClaimedFlow& aClaimed, Time aNow,
                       OwnershipActions& aOut)
{
  OwnerTable::Entry* known = mState.mDirectory.Put(aClaimed.mFlow, aNow);
  if (known == nullptr) {
    // An owner that is not in the directory could be overlooked; as long as
    // entries live, every unknown flow is asked about instead.
    ++mState.mCounters[OwnershipCount::DirectoryFull];
    mState.mViews.DistrustUntil(aNow + mState.mOptions.mDirectoryIdle);
    return false;
  }
  KnownOwner& entry = known->mValue;
  bool isNew = entry.mEpoch == 0;
  bool isSameLife = entry.mEpoch == aClaimed.mEpoch;
  // Of two starts of one host the later one alone exists.
  bool isSameOwner = entry.mOwner.mHost == aFrom.mHost &&
                     entry.mOwner.mIncarnation <= aFrom.mIncarnation;
  bool isDead = !isNew && mState.mViews.StatusOf(entry.mOwner, entry.mLearned,
                                                 aNow) != PeerStatus::Live;
  if (!isNew && !isSameLife && !isSameOwner && !isDead) {
    return Dispute(*known, aNow, aOut);
  }
  // What an owner says of itself holds, whatever it was meant to adopt.
  bool isOutdated = isSameLife && aClaimed.mMoves < entry.mMoves;
  if (!isOutdated) {
    entry = { aFrom, aClaimed.mEpoch, aNow, {}, {}, aClaimed.mMoves };
  }
  aClaimed.mAccepted = true;
  return true;
}

bool FlowClaimer::Dispute(OwnerTable::Entry& aKnown, Time aNow,
                          OwnershipActions& aOut)
{
  // The entry may be what is left of a life that has ended, or was never begun.
  // Were the claim turned down on its word, an established flow would be let
  // go; so its owner has to say first that it owns the flow. The claim comes
  // again meanwhile.
  bool isSure =
    aNow - aKnown.mValue.mVerifiedAt < mState.mOptions.mRetry * kClaimsToSee;
  if (isSure) {
    ++mState.mCounters[OwnershipCount::ClaimConflicts];
    return true;
  }
  Ask ask{ aKnown.mFlow, mState.mSelf, kVerifyRound, AskPurpose::Place, 0 };
  aOut.push_back(SendMessage{ aKnown.mValue.mOwner.mTunnel, ask });
  return false;
}

void FlowClaimer::OnVerified(const AskReply& aReply, Time aNow)
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
