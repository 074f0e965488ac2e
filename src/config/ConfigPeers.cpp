#include "src/config/ConfigPeers.h"

#include <algorithm>
#include <iterator>
#include <utility>

namespace heatherplank {

namespace {

/** Seed of the rendezvous hash that selects the watchers. */
constexpr std::uint64_t kWatcherSeed = 0x3a7c4e5;
constexpr std::uint64_t kTrees = 2;

template<typename T>
const T& PickRandom(const std::vector<T>& aFrom, std::mt19937_64& aRandom)
{
  std::uniform_int_distribution<std::size_t> draw(0, aFrom.size() - 1);
  return aFrom[draw(aRandom)];
}

} // namespace

ConfigPeers::ConfigPeers(ConfigPeer aSelf, std::size_t aWatchers,
                         std::size_t aFanout)
  : mSelf(aSelf)
  , mWatcherCount(aWatchers)
  , mFanout(aFanout)
{
}

void ConfigPeers::Set(std::span<const ConfigPeer> aPeers)
{
  mLocalPeers.clear();
  mRemotePeers.clear();
  std::uint64_t selfHash = MixHash(mSelf.mId.mValue, kWatcherSeed);
  mWatcherRank = 0;
  for (const auto& it : aPeers) {
    if (it.mId == mSelf.mId) {
      continue;
    }
    if (it.mDataCentre != mSelf.mDataCentre) {
      mRemotePeers.push_back(it.mId);
      continue;
    }
    mWatcherRank += MixHash(it.mId.mValue, kWatcherSeed) > selfHash ? 1 : 0;
    mLocalPeers.push_back(it.mId);
  }
}

void ConfigPeers::AddChildren(std::uint64_t aSeed,
                              std::vector<HostId>& aOut) const
{
  std::vector<std::pair<std::uint64_t, HostId>> order;
  order.reserve(mLocalPeers.size() + 1);
  order.emplace_back(MixHash(mSelf.mId.mValue, aSeed), mSelf.mId);
  for (auto it : mLocalPeers) {
    order.emplace_back(MixHash(it.mValue, aSeed), it);
  }
  std::ranges::sort(order);
  auto addFrom = [&](std::size_t aFirst) {
    std::size_t end = std::min(order.size(), aFirst + mFanout);
    for (std::size_t i = aFirst; i < end; ++i) {
      if (order[i].second != mSelf.mId) {
        aOut.push_back(order[i].second);
      }
    }
  };
  auto self =
    std::ranges::find(order, mSelf.mId, &decltype(order)::value_type::second);
  auto index = static_cast<std::size_t>(self - order.begin());
  addFrom(mFanout * (index + 1));
  if (IsWatcher()) {
    addFrom(0);
  }
}

std::vector<HostId> ConfigPeers::PushTargets(std::uint64_t aVersion) const
{
  std::vector<HostId> out;
  for (std::uint64_t tree = 0; tree < kTrees; ++tree) {
    AddChildren(aVersion * kTrees + tree, out);
  }
  std::ranges::sort(out);
  out.erase(std::unique(out.begin(), out.end()), out.end());
  return out;
}

std::vector<HostId> ConfigPeers::DigestTargets(std::mt19937_64& aRandom) const
{
  std::vector<HostId> out;
  for (const auto* it : { &mLocalPeers, &mRemotePeers }) {
    if (!it->empty()) {
      out.push_back(PickRandom(*it, aRandom));
    }
  }
  return out;
}

HostId ConfigPeers::PickOther(HostId aExcluded, std::mt19937_64& aRandom) const
{
  std::vector<HostId> others;
  std::ranges::copy_if(mLocalPeers, std::back_inserter(others),
                       [&](HostId aId) { return aId != aExcluded; });
  if (others.empty()) {
    others = mRemotePeers;
  }
  return others.empty() ? HostId{} : PickRandom(others, aRandom);
}

} // namespace heatherplank
