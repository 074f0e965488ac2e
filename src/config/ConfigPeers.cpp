#include "src/config/ConfigPeers.h"

#include <algorithm>
#include <iterator>
#include <utility>

namespace heatherplank {

namespace {

/** Seed of the watchers' rendezvous hash. */
constexpr std::uint64_t kWatcherSeed = 0x3a7c4e5;
constexpr std::uint64_t kTrees = 2;
template<typename T>
const T& Pick(const std::vector<T>& aFrom, std::mt19937_64& aRandom)
{
  std::uniform_int_distribution<std::size_t> pick(0, aFrom.size() - 1);
  return aFrom[pick(aRandom)];
}

} // namespace

ConfigPeers::ConfigPeers(ConfigPeer aSelf, std::size_t aWatchers,
                         std::size_t aFanout)
  : mSelf(aSelf)
  , mWatchers(aWatchers)
  , mFanout(aFanout)
{
}

void ConfigPeers::Set(std::span<const ConfigPeer> aPeers)
{
  mNear.clear();
  mFar.clear();
  std::uint64_t mine = MixHash(mSelf.mId.mValue, kWatcherSeed);
  mRank = 0;
  for (const auto& it : aPeers) {
    if (it.mId == mSelf.mId) {
      continue;
    }
    if (it.mDataCentre != mSelf.mDataCentre) {
      mFar.push_back(it.mId);
      continue;
    }
    mRank += MixHash(it.mId.mValue, kWatcherSeed) > mine ? 1 : 0;
    mNear.push_back(it.mId);
  }
}

void ConfigPeers::PushToChildren(std::uint64_t aSeed,
                                 std::vector<HostId>& aOut) const
{
  std::vector<std::pair<std::uint64_t, HostId>> order;
  order.reserve(mNear.size() + 1);
  order.emplace_back(MixHash(mSelf.mId.mValue, aSeed), mSelf.mId);
  for (auto it : mNear) {
    order.emplace_back(MixHash(it.mValue, aSeed), it);
  }
  std::ranges::sort(order);
  auto push = [&](std::size_t aFirst) {
    std::size_t end = std::min(order.size(), aFirst + mFanout);
    for (std::size_t i = aFirst; i < end; ++i) {
      if (order[i].second != mSelf.mId) {
        aOut.push_back(order[i].second);
      }
    }
  };
  auto self =
    std::ranges::find(order, mSelf.mId, &decltype(order)::value_type::second);
  auto place = static_cast<std::size_t>(self - order.begin());
  push(mFanout * (place + 1));
  if (IsWatcher()) {
    push(0);
  }
}

std::vector<HostId> ConfigPeers::PushTargets(std::uint64_t aVersion) const
{
  std::vector<HostId> out;
  for (std::uint64_t tree = 0; tree < kTrees; ++tree) {
    PushToChildren(aVersion * kTrees + tree, out);
  }
  std::ranges::sort(out);
  out.erase(std::unique(out.begin(), out.end()), out.end());
  return out;
}

std::vector<HostId> ConfigPeers::DigestTargets(std::mt19937_64& aRandom) const
{
  std::vector<HostId> out;
  for (const auto* it : { &mNear, &mFar }) {
    if (!it->empty()) {
      out.push_back(Pick(*it, aRandom));
    }
  }
  return out;
}

HostId ConfigPeers::Another(HostId aNot, std::mt19937_64& aRandom) const
{
  std::vector<HostId> others;
  std::ranges::copy_if(mNear, std::back_inserter(others),
                       [&](HostId aId) { return aId != aNot; });
  if (others.empty()) {
    others = mFar;
  }
  return others.empty() ? HostId{} : Pick(others, aRandom);
}

} // namespace heatherplank
