#include "src/passthrough/RouteServices.h"

#include <algorithm>

namespace heatherplank {

namespace {

constexpr auto kTickInterval = std::chrono::seconds(1);
/** Balancers agree within this time on when a route left a service; a greater
 * difference means that the service returned meanwhile.
 *
 * Guards against: the age in a message grows by less than the message's delay.
 * If balancers took over any later time, or told each other of services that
 * they are about to forget, none would ever be forgotten. */
constexpr auto kMaxDisagreement = std::chrono::seconds(2);
/** Upper limit on the routes that peers may add. */
constexpr std::size_t kMaxRoutes = 8192;

bool HasService(const FlowRoute* aRoute, ServiceId aService)
{
  return aRoute != nullptr && std::ranges::count(aRoute->mShares, aService,
                                                 &RouteShare::mService) > 0;
}

} // namespace

RouteServices::RouteServices(Duration aRetention)
  : mRetention(aRetention)
{
}

void RouteServices::SetInventory(const FlowInventory& aInventory)
{
  for (auto& [address, entries] : mRoutes) {
    const FlowRoute* route = aInventory.Find(address);
    for (Entry& it : entries) {
      if (it.mIsCurrent && !HasService(route, it.mService)) {
        it.mIsCurrent = false;
        mHasPast = true;
        if (route != nullptr) {
          OnLeft(it.mService);
        }
      }
    }
  }
  mHasRoutes = true;
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

std::vector<PastService> RouteServices::ListPast(Time aNow,
                                                 ServiceId aOnly) const
{
  std::vector<PastService> out;
  if (!mHasPast) {
    return out;
  }
  for (const auto& [address, entries] : mRoutes) {
    bool isRemoved =
      mHasRoutes && std::ranges::none_of(entries, &Entry::mIsCurrent);
    if (isRemoved) {
      continue;
    }
    for (const Entry& it : entries) {
      Duration ago = it.mLeftAt == Time{} ? Duration{} : aNow - it.mLeftAt;
      bool isListed = aOnly.IsNone() || aOnly == it.mService;
      if (isListed && !it.mIsCurrent && ago < mRetention - kMaxDisagreement) {
        out.push_back({ address, it.mService, ago });
      }
    }
  }
  return out;
}

std::uint64_t RouteServices::Generation(ServiceId aService) const
{
  auto it = mGenerations.find(aService);
  return it == mGenerations.end() ? 0 : it->second;
}

void RouteServices::OnPeer(std::span<const PastService> aPast, Time aNow)
{
  for (const PastService& it : aPast) {
    if (it.mLeftAgo < mRetention) {
      AddPast(it, aNow - it.mLeftAgo);
    }
  }
}

void RouteServices::AddPast(const PastService& aPast, Time aLeftAt)
{
  if (mRoutes.size() >= kMaxRoutes && !mRoutes.contains(aPast.mRoute)) {
    return;
  }
  auto& entries = mRoutes[aPast.mRoute];
  auto it = std::ranges::find(entries, aPast.mService, &Entry::mService);
  if (it == entries.end()) {
    entries.push_back({ aPast.mService, false, aLeftAt });
    mHasPast = true;
    OnLeft(aPast.mService);
  } else if (!it->mIsCurrent && it->mLeftAt != Time{} &&
             aLeftAt - it->mLeftAt > kMaxDisagreement) {
    it->mLeftAt = aLeftAt;
    OnLeft(aPast.mService);
  }
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
