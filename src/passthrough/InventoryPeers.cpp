#include "src/passthrough/InventoryPeers.h"

#include <algorithm>
#include <iterator>

namespace heatherplank {

InventoryPeers::InventoryPeers(const Address& aSelf, std::uint64_t aSeed)
  : mSelf(aSelf)
  , mRandom(static_cast<std::uint32_t>(aSeed))
{
}

std::vector<InventoryPeers::Send> InventoryPeers::OnTick(
  std::span<const Address> aPeers, std::uint64_t aVersion, Time aNow)
{
  if (aNow - mToldAt < kTellEvery) {
    return {};
  }
  return Tell(aPeers, aVersion, aNow);
}

std::vector<InventoryPeers::Send> InventoryPeers::OnChanged(
  std::span<const Address> aPeers, std::uint64_t aVersion, Time aNow)
{
  return Tell(aPeers, aVersion, aNow);
}

std::vector<InventoryPeers::Send> InventoryPeers::Tell(
  std::span<const Address> aPeers, std::uint64_t aVersion, Time aNow)
{
  mToldAt = aNow;
  std::vector<Address> chosen;
  std::sample(aPeers.begin(), aPeers.end(), std::back_inserter(chosen), kFanOut,
              mRandom);
  std::vector<Send> out;
  out.reserve(chosen.size());
  for (const Address& it : chosen) {
    // Without routes there is nothing to tell, only to ask for.
    out.push_back({ it, { aVersion, mSelf, aVersion == 0 } });
  }
  return out;
}

std::vector<InventoryPeers::Send> InventoryPeers::OnNotice(
  const InventoryNotice& aNotice, std::uint64_t aVersion, Time aNow)
{
  if (aNotice.mVersion > aVersion && aNow - mAskedAt >= kAskAgainAfter) {
    mAskedAt = aNow;
    return { { aNotice.mControl, { aVersion, mSelf, true } } };
  }
  return {};
}

} // namespace heatherplank
