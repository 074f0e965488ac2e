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

std::vector<InventoryPeers::Send> InventoryPeers::OnTick(
  std::span<const Address> aPeers, const Known& aKnown, Time aNow)
{
  if (aNow - mToldAt < kTellEvery) {
    return {};
  }
  return Tell(aPeers, aKnown, aNow);
}

std::vector<InventoryPeers::Send> InventoryPeers::OnChanged(
  std::span<const Address> aPeers, const Known& aKnown, Time aNow)
{
  return Tell(aPeers, aKnown, aNow);
}

std::vector<InventoryPeers::Send> InventoryPeers::Tell(
  std::span<const Address> aPeers, const Known& aKnown, Time aNow)
{
  mToldAt = aNow;
  std::vector<Address> chosen;
  std::sample(aPeers.begin(), aPeers.end(), std::back_inserter(chosen), kFanOut,
              mRandom);
  std::vector<Send> out;
  out.reserve(chosen.size());
  for (const Address& it : chosen) {
    out.push_back({ it, MakeNotice(aKnown) });
  }
  return out;
}

InventoryNotice InventoryPeers::MakeNotice(const Known& aKnown) const
{
  InventoryNotice out;
  out.mVersion = aKnown.mVersion;
  out.mControl = mOptions.mSelf;
  out.mConfirmedAgo = aKnown.mConfirmedAgo;
  out.mDrains = aKnown.mDrains;
  return out;
}

InventoryPeers::Send InventoryPeers::Ask(const Address& aPeer,
                                         const Known& aKnown, Time aNow)
{
  if (mQuestion) {
    mDocumentWithin = std::min(mDocumentWithin * 2, kDocumentWithinAtMost);
  }
  mQuestion = { aPeer, aNow + mDocumentWithin };
  Send out{ aPeer, MakeNotice(aKnown) };
  out.mNotice.mWantsDocument = true;
  return out;
}

InventoryPeers::Send InventoryPeers::Busy(const InventoryNotice& aNotice,
                                          const Known& aKnown) const
{
  Send out{ aNotice.mControl, MakeNotice(aKnown) };
  out.mNotice.mIsBusy = true;
  return out;
}

std::vector<InventoryPeers::Send> InventoryPeers::OnNotice(
  const InventoryNotice& aNotice, const Known& aKnown, Time aNow)
{
  if (aNotice.mIsBusy) {
    // The next notice of another peer brings the next question.
    if (mQuestion && mQuestion->mPeer == aNotice.mControl) {
      mQuestion.reset();
    }
    return {};
  }
  if (aNotice.mVersion < aKnown.mVersion) {
    return { { aNotice.mControl, MakeNotice(aKnown) } };
  }
  if (aNotice.mVersion > aKnown.mVersion && !IsAsking(aNow)) {
    return { Ask(aNotice.mControl, aKnown, aNow) };
  }
  return {};
}

void InventoryPeers::OnDocument(bool aIsReadable)
{
  if (aIsReadable) {
    mQuestion.reset();
    mDocumentWithin = kDocumentWithin;
  }
}

bool InventoryPeers::TakeLink(std::size_t aBytes, Time aNow)
{
  if (mLink.Available(aNow) == 0) {
    return false;
  }
  mLink.Take(aBytes);
  return true;
}

bool InventoryPeers::IsAsking(Time aNow) const
{
  return mQuestion && aNow < mQuestion->mUntil;
}

} // namespace heatherplank
