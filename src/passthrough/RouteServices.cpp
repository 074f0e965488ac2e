#include "src/passthrough/RouteServices.h"

#include <algorithm>

namespace heatherplank {

namespace {

constexpr auto kTickInterval = std::chrono::seconds(1);

} // namespace

RouteServices::RouteServices(Duration aRetention)
  : mRetention(aRetention)
{
}

void RouteServices::SetInventory(const FlowInventory& aInventory)
{
  for (auto& [address, entries] : mRoutes) {
    for (Entry& it : entries) {
      it.mIsCurrent = false;
      mHasPast = true;
    }
  }
  for (const auto& [address, route] : aInventory.mRoutes) {
    auto& entries = mRoutes[address];
    for (const RouteShare& share : route.mShares) {
      auto it = std::ranges::find(entries, share.mService, &Entry::mService);
      if (it == entries.end()) {
        entries.push_back({ share.mService, true, {} });
      } else {
        *it = { share.mService, true, {} };
      }
    }
  }
}

void RouteServices::OnTick(Time aNow)
{
  if (!mHasPast || aNow - mLastTickAt < kTickInterval) {
    return;
  }
  mLastTickAt = aNow;
  mHasPast = false;
  for (auto& [address, entries] : mRoutes) {
    std::erase_if(entries, [&](Entry& aIt) {
      if (aIt.mIsCurrent) {
        return false;
      }
      if (aIt.mLeftAt == Time{}) {
        aIt.mLeftAt = aNow;
      }
      bool isExpired = aNow - aIt.mLeftAt >= mRetention;
      mHasPast = mHasPast || !isExpired;
      return isExpired;
    });
  }
  std::erase_if(mRoutes, [](const auto& aIt) { return aIt.second.empty(); });
}

std::vector<ServiceId> RouteServices::Of(const Address& aRoute) const
{
  std::vector<ServiceId> out;
  auto route = mRoutes.find(aRoute);
  if (route != mRoutes.end()) {
    std::ranges::transform(route->second, std::back_inserter(out),
                           &Entry::mService);
  }
  return out;
}

} // namespace heatherplank
