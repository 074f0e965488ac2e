#include "src/passthrough/InventoryPeers.h"

#include <algorithm>
#include <iterator>

namespace heatherplank {

InventoryPeers::InventoryPeers(const Options& aOptions)
  : mOptions(aOptions)
  , mRandom(static_cast<std::uint32_t>(aOptions.mSeed))
  , mLink(aOptions.mLinkBytesPerSecond * kLinkShare,
          aOptions.mLinkBytesPerSecond * kLinkShare)
{
}

std::vector<InventoryPeers::OutgoingNotice> InventoryPeers::OnTick(
  std::span<const Address> aPeers, const LocalState& aState, Time aNow)
{
  if (aNow - mNotifiedAt < kNoticeInterval) {
    return {};
  }
  return NotifyPeers(aPeers, aState, aNow);
}

std::vector<InventoryPeers::OutgoingNotice> InventoryPeers::OnChanged(
  std::span<const Address> aPeers, const LocalState& aState, Time aNow)
{
  return NotifyPeers(aPeers, aState, aNow);
}

std::vector<InventoryPeers::OutgoingNotice> InventoryPeers::NotifyPeers(
  std::span<const Address> aPeers, const LocalState& aState, Time aNow)
{
  mNotifiedAt = aNow;
  std::vector<Address> chosen;
  std::sample(aPeers.begin(), aPeers.end(), std::back_inserter(chosen), kFanOut,
              mRandom);
  std::vector<OutgoingNotice> out;
  out.reserve(chosen.size());
  for (const Address& it : chosen) {
    out.push_back({ it, MakeNotice(aState) });
  }
  return out;
}

InventoryNotice InventoryPeers::MakeNotice(const LocalState& aState) const
{
  InventoryNotice out;
  out.mVersion = aState.mVersion;
  out.mControl = mOptions.mSelf;
  out.mConfirmedAgo = aState.mConfirmedAgo;
  out.mDrains = aState.mDrains;
  out.mStoreEra = aState.mStoreEra;
  out.mVersions = aState.mVersions;
  return out;
}

InventoryPeers::OutgoingNotice InventoryPeers::RequestDocument(
  const Address& aPeer, const LocalState& aState, Time aNow)
{
  if (mPendingRequest) {
    mDocumentTimeout = std::min(mDocumentTimeout * 2, kMaxDocumentTimeout);
  }
  mPendingRequest = { aPeer, aNow + mDocumentTimeout };
  OutgoingNotice out{ aPeer, MakeNotice(aState) };
  out.mNotice.mWantsDocument = true;
  return out;
}

InventoryPeers::OutgoingNotice InventoryPeers::MakeBusyNotice(
  const InventoryNotice& aNotice, const LocalState& aState) const
{
  OutgoingNotice out{ aNotice.mControl, MakeNotice(aState) };
  out.mNotice.mIsBusy = true;
  return out;
}

std::vector<InventoryPeers::OutgoingNotice> InventoryPeers::OnNotice(
  const InventoryNotice& aNotice, const LocalState& aState, Time aNow)
{
  if (aNotice.mIsBusy) {
    // The next notice from another peer triggers the next request.
    if (mPendingRequest && mPendingRequest->mPeer == aNotice.mControl) {
      mPendingRequest.reset();
    }
    return {};
  }
  if (aNotice.mVersion < aState.mVersion) {
    return { { aNotice.mControl, MakeNotice(aState) } };
  }
  if (aNotice.mVersion > aState.mVersion && !IsDocumentPending(aNow)) {
    return { RequestDocument(aNotice.mControl, aState, aNow) };
  }
  return {};
}

void InventoryPeers::OnDocument(bool aIsReadable)
{
  if (aIsReadable) {
    mPendingRequest.reset();
    mDocumentTimeout = kDocumentTimeout;
  }
}

bool InventoryPeers::ReserveLink(std::size_t aBytes, Time aNow)
{
  if (mLink.Available(aNow) == 0) {
    return false;
  }
  mLink.Take(aBytes);
  return true;
}

bool InventoryPeers::IsDocumentPending(Time aNow) const
{
  return mPendingRequest && aNow < mPendingRequest->mDeadline;
}

} // namespace heatherplank
