#include "src/steer/FlowClaimer.h"

namespace heatherplank {

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

bool FlowClaimer::Take(const Peer& aFrom, ClaimedFlow& aClaimed, Time aNow)
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
  bool isGone = !isNew && mState.mViews.StatusOf(entry.mOwner, entry.mLearned,
                                                 aNow) == PeerStatus::Gone;
  // A later life began after the earlier one was looked for in vain: an entry
  // for it is what was left when it expired.
  bool isLater = aClaimed.mEpoch > entry.mEpoch;
  aClaimed.mAccepted = isNew || isSameLife || isLater || isGone;
  if (!aClaimed.mAccepted) {
    ++mState.mCounters[OwnershipCount::ClaimConflicts];
    return true;
  }
  if (!isSameLife || aClaimed.mMoves >= entry.mMoves) {
    entry = { aFrom, aClaimed.mEpoch, aNow, {}, aClaimed.mMoves };
  }
  return true;
}

} // namespace heatherplank
