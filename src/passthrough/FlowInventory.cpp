#include "src/passthrough/FlowInventory.h"

#include <numeric>

namespace heatherplank {

namespace {

/** Makes the choice of a route's service independent of the ranking of hosts,
 * which uses the same flow hash. */
constexpr std::uint64_t kSplitSeed = 0x73706c6974;

} // namespace

ServiceId FlowRoute::ServiceOf(std::uint64_t aFlowHash) const
{
  std::uint64_t total =
    std::accumulate(mShares.begin(), mShares.end(), std::uint64_t{ 0 },
                    [](std::uint64_t aSum, const RouteShare& aIt) {
                      return aSum + aIt.mWeight;
                    });
  if (total == 0) {
    return mShares.front().mService;
  }
  std::uint64_t left = MixHash(aFlowHash, kSplitSeed) % total;
  for (const RouteShare& it : mShares) {
    if (left < it.mWeight) {
      return it.mService;
    }
    left -= it.mWeight;
  }
  return mShares.back().mService;
}

const FlowRoute* FlowInventory::Find(const Address& aAddress) const
{
  auto it = mRoutes.find(aAddress);
  return it == mRoutes.end() ? nullptr : &it->second;
}

double FlowInventory::ColdRateOf(ServiceId aService) const
{
  auto it = mColdRates.find(aService);
  return it == mColdRates.end() ? 0 : it->second;
}

} // namespace heatherplank
