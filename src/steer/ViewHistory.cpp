#include "src/steer/ViewHistory.h"

#include <algorithm>
#include <utility>

namespace heatherplank {

ViewHistory::ViewHistory(const Peer& aSelf, const OwnershipOptions& aOptions,
                         Time aStart)
  : mSelf(aSelf)
  , mOptions(aOptions)
  , mConfirmedAt(aStart)
  , mDistrustUntil(aStart + aOptions.mAskWindow)
  , mLapseOver(aStart)
{
}

void ViewHistory::OnView(ServiceViewPtr aView, Time aConfirmedAt, Time aNow)
{
  mConfirmedAt = std::max(mConfirmedAt, aConfirmedAt);
  Forget(aNow);
  if (mHasView && aView->Version() <= mPresent->Version()) {
    return;
  }
  ++mGeneration;
  if (mHasView) {
    mEarlier.push_back({ std::move(mPresent), aNow });
  }
  if (mEarlier.size() > kMaxEarlier) {
    if (aNow - mEarlier.front().mUntil < mOptions.mSettle) {
      // Views come faster than they settle. The one that is dropped may name an
      // owner that no other does, so nothing is placed unasked for a while.
      DistrustUntil(aNow + mOptions.mAskWindow);
    }
    mEarlier.erase(mEarlier.begin());
  }
  mPresent = std::move(aView);
  mHasView = true;
  const Member* self = Find(mSelf.mHost);
  mShowsSelf = self != nullptr && self->mIncarnation == mSelf.mIncarnation;
}

void ViewHistory::OnLapse(Time aNow)
{
  ++mGeneration;
  mLapseOver = aNow + mOptions.mSettle;
  DistrustUntil(aNow + mOptions.mAskWindow);
}

void ViewHistory::DistrustUntil(Time aUntil)
{
  mDistrustUntil = std::max(mDistrustUntil, aUntil);
}

void ViewHistory::Forget(Time aNow)
{
  auto isOld = [&](const Earlier& aIt) {
    return aIt.mUntil + mOptions.mAskWindow <= aNow;
  };
  std::erase_if(mEarlier, isOld);
}

bool ViewHistory::IsFresh(Time aNow) const
{
  return mShowsSelf && aNow - mConfirmedAt <= mOptions.mViewTrust;
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
  auto agrees = [&](const Earlier& aIt) {
    return aIt.mUntil + mOptions.mAskWindow <= aNow ||
           IsSelf(aIt.mView->Arbiter(aFlowHash));
  };
  return std::all_of(mEarlier.begin(), mEarlier.end(), agrees);
}

RankedMembers ViewHistory::Candidates(std::uint64_t aFlowHash) const
{
  if (!mHasView) {
    return {};
  }
  RankedMembers out = mPresent->Candidates(aFlowHash, kCandidates + 1);
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
  const Member* best = mPresent->Arbiter(aFlowHash);
  if (!mDraining || !IsSelf(best)) {
    return best;
  }
  RankedMembers others = Candidates(aFlowHash);
  return others.empty() ? nullptr : others.front();
}

ViewHistory::Peers ViewHistory::WhoToAsk(std::uint64_t aFlowHash) const
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
    add(*mPresent);
  }
  for (auto it = mEarlier.rbegin(); it != mEarlier.rend(); ++it) {
    add(*it->mView);
  }
  return out;
}

Time ViewHistory::FenceEnd(HostId aHost) const
{
  if (!mOptions.mGuards.mFence || Find(aHost) != nullptr) {
    return Time{};
  }
  for (auto it = mEarlier.rbegin(); it != mEarlier.rend(); ++it) {
    if (const Member* last = it->mView->Find(aHost)) {
      bool left = last->mState == HostState::Leaving;
      return left ? Time{} : it->mUntil + mOptions.mFence;
    }
  }
  return Time{};
}

Duration ViewHistory::FenceLeft(std::uint64_t aFlowHash, Time aNow) const
{
  Duration left{};
  for (const Earlier& earlier : mEarlier) {
    for (const Member* it : earlier.mView->Ranked(aFlowHash)) {
      left = std::max(left, FenceEnd(it->mHost) - aNow);
    }
  }
  return left;
}

PeerStatus ViewHistory::StatusOf(const Peer& aPeer, Time aLearned,
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
  auto had = [&](const Earlier& aIt) {
    return aIt.mView->Find(aPeer.mHost) != nullptr;
  };
  bool wasThere = std::any_of(mEarlier.begin(), mEarlier.end(), had);
  bool isNew = aNow < aLearned + mOptions.mSettle;
  return isNew && !wasThere ? PeerStatus::Live : PeerStatus::Gone;
}

const Member* ViewHistory::Find(HostId aHost) const
{
  return mHasView ? mPresent->Find(aHost) : nullptr;
}

} // namespace heatherplank
