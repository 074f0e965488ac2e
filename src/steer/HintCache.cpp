#include "src/steer/HintCache.h"

#include <algorithm>
#include <bit>

namespace heatherplank {

HintCache::HintCache(std::size_t aCapacity)
  : mSets(std::bit_ceil(std::max<std::size_t>(1, aCapacity / kWays)))
{
}

HintCache::Set& HintCache::SetOf(std::uint64_t aFlowHash)
{
  // Uses the high bits, since the low ones select the bucket of a RankTable.
  return mSets[(aFlowHash >> 32) & (mSets.size() - 1)];
}

std::optional<OwnerHint> HintCache::Find(std::uint64_t aFlowHash)
{
  Set& set = SetOf(aFlowHash);
  for (auto it = set.begin(); it != set.end(); ++it) {
    if (it->mFlowHash == aFlowHash && !it->mOwner.mHost.IsNone()) {
      std::rotate(set.begin(), it, it + 1);
      return set.front().mOwner;
    }
  }
  return std::nullopt;
}

void HintCache::Put(std::uint64_t aFlowHash, const OwnerHint& aOwner)
{
  if (Find(aFlowHash)) {
    SetOf(aFlowHash).front().mOwner = aOwner;
    return;
  }
  Set& set = SetOf(aFlowHash);
  mEvictions += set.back().mOwner.mHost.IsNone() ? 0 : 1;
  std::rotate(set.begin(), set.end() - 1, set.end());
  set.front() = { aFlowHash, aOwner };
}

void HintCache::Erase(std::uint64_t aFlowHash)
{
  Set& set = SetOf(aFlowHash);
  for (auto it = set.begin(); it != set.end(); ++it) {
    if (it->mFlowHash == aFlowHash) {
      *it = {};
      std::rotate(it, it + 1, set.end());
      return;
    }
  }
}

} // namespace heatherplank
