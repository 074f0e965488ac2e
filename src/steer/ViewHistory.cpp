#include "src/steer/ViewHistory.h"

#include <algorithm>
#include <utility>

namespace heatherplank {

ViewHistory::ViewHistory(const Peer& aSelf, const OwnershipOptions& aOptions,
                         Time aStart)
  : mSelf(aSelf)
  , mOptions(aOptions)
  , mConfirmedAt(aStart)
  , mDistrustUntil(aStart + aOptions.mQueryWindow)
  , mExpiryWindowEnd(aStart)
{
}

void ViewHistory::OnView(ServiceViewPtr aView, Time aConfirmedAt, Time aNow)
{
  mConfirmedAt = std::max(mConfirmedAt, aConfirmedAt);
  ForgetExpired(aNow);
  if (mHasView && aView->Version() <= mCurrent->Version()) {
    return;
  }
  ++mGeneration;
  if (mHasView) {
    mPastViews.push_back({ std::move(mCurrent), aNow });
  }
  if (mPastViews.size() > kMaxPastViews) {
    if (aNow - mPastViews.front().mUntil < mOptions.mSettle) {
      // Views arrive faster than they settle. The dropped one may rank an owner
      // that no other view does, so flows are placed only after a query for the
      // query window.
      DistrustUntil(aNow + mOptions.mQueryWindow);
    }
    mPastViews.erase(mPastViews.begin());
  }
  mCurrent = std::move(aView);
  mHasView = true;
  const Member* self = Find(mSelf.mHost);
  mShowsSelf = self != nullptr && self->mIncarnation == mSelf.mIncarnation;
}

void ViewHistory::OnLeaseRegained(Time aNow)
{
  ++mGeneration;
  mExpiryWindowEnd = aNow + mOptions.mSettle;
  DistrustUntil(aNow + mOptions.mQueryWindow);
}

void ViewHistory::DistrustUntil(Time aUntil)
{
  mDistrustUntil = std::max(mDistrustUntil, aUntil);
}

void ViewHistory::ForgetExpired(Time aNow)
{
  auto isOld = [&](const PastView& aIt) {
    return aIt.mUntil + mOptions.mQueryWindow <= aNow;
  };
  std::erase_if(mPastViews, isOld);
}

bool ViewHistory::IsFresh(Time aNow) const
{
  return mShowsSelf && aNow - mConfirmedAt <= mOptions.mViewTrustTimeout;
}

bool ViewHistory::IsSelf(const Member* aMember) const
{
  return aMember != nullptr && aMember->mHost == mSelf.mHost;
}

bool ViewHistory::IsSettled(std::uint64_t aFlowHash, Time aNow) const
{
  if (aNow < mDistrustUntil || !IsSelf(Arbiter(aFlowHash))) {
    return false;
  }
  auto agrees = [&](const PastView& aIt) {
    return aIt.mUntil + mOptions.mQueryWindow <= aNow ||
           IsSelf(aIt.mView->Arbiter(aFlowHash));
  };
  return std::all_of(mPastViews.begin(), mPastViews.end(), agrees);
}

RankedMembers ViewHistory::Candidates(std::uint64_t aFlowHash) const
{
  if (!mHasView) {
    return {};
  }
  RankedMembers out = mCurrent->Candidates(aFlowHash, kCandidates + 1);
  if (mDraining) {
    auto self = std::find_if(out.begin(), out.end(),
                             [this](const Member* aIt) { return IsSelf(aIt); });
    if (self != out.end()) {
      out.erase(self);
    }
  }
  if (out.size() > kCandidates) {
    out.pop_back();
  }
  return out;
}

const Member* ViewHistory::Arbiter(std::uint64_t aFlowHash) const
{
  if (!mHasView) {
    return nullptr;
  }
  const Member* best = mCurrent->Arbiter(aFlowHash);
  if (!mDraining || !IsSelf(best)) {
    return best;
  }
  RankedMembers others = Candidates(aFlowHash);
  return others.empty() ? nullptr : others.front();
}

ViewHistory::Peers ViewHistory::PeersToQuery(std::uint64_t aFlowHash) const
{
  Peers out;
  auto add = [&](const ServiceView& aView) {
    for (const Member* it : aView.Ranked(aFlowHash)) {
      const Member* present = Find(it->mHost);
      bool isKnown =
        std::any_of(out.begin(), out.end(), [&](const Peer& aOther) {
          return aOther.mHost == it->mHost;
        });
      if (present != nullptr && present->mState != HostState::Leaving &&
          !IsSelf(it) && !isKnown && out.size() < kMaxPeers) {
        out.push_back(ToPeer(*present));
      }
    }
  };
  if (mHasView) {
    add(*mCurrent);
  }
  for (auto it = mPastViews.rbegin(); it != mPastViews.rend(); ++it) {
    add(*it->mView);
  }
  return out;
}

Time ViewHistory::FenceEnd(HostId aHost) const
{
  if (!mOptions.mGuards.mFence || Find(aHost) != nullptr) {
    return Time{};
  }
  for (auto it = mPastViews.rbegin(); it != mPastViews.rend(); ++it) {
    if (const Member* last = it->mView->Find(aHost)) {
      bool left = last->mState == HostState::Leaving;
      return left ? Time{} : it->mUntil + mOptions.mFenceDuration;
    }
  }
  return Time{};
}

Duration ViewHistory::RemainingFence(std::uint64_t aFlowHash, Time aNow) const
{
  Duration left{};
  for (const PastView& earlier : mPastViews) {
    for (const Member* it : earlier.mView->Ranked(aFlowHash)) {
      left = std::max(left, FenceEnd(it->mHost) - aNow);
    }
  }
  return left;
}

PeerStatus ViewHistory::StatusOf(const Peer& aPeer, Time aLearnedAt,
                                 Time aNow) const
{
  if (const Member* present = Find(aPeer.mHost)) {
    bool restarted = mOptions.mGuards.mIncarnation &&
                     present->mIncarnation > aPeer.mIncarnation;
    bool left = present->mState == HostState::Leaving;
    return restarted || left ? PeerStatus::Gone : PeerStatus::Live;
  }
  if (FenceEnd(aPeer.mHost) > aNow) {
    return PeerStatus::Fenced;
  }
  auto had = [&](const PastView& aIt) {
    return aIt.mView->Find(aPeer.mHost) != nullptr;
  };
  bool wasThere = std::any_of(mPastViews.begin(), mPastViews.end(), had);
  bool isNew = aNow < aLearnedAt + mOptions.mSettle;
  return isNew && !wasThere ? PeerStatus::Live : PeerStatus::Gone;
}

const Member* ViewHistory::Find(HostId aHost) const
{
  return mHasView ? mCurrent->Find(aHost) : nullptr;
}

} // namespace heatherplank
