#include "src/balancer/RouteTable.h"

#include <utility>

namespace heatherplank {

RoutesPtr RouteTable::SetConfiguration(ConfigurationPtr aConfiguration)
{
  std::lock_guard lock(mLock);
  mConfiguration = std::move(aConfiguration);
  return Build();
}

RoutesPtr RouteTable::SetViews(std::span<const MemberViewPtr> aViews,
                               std::span<const ServiceId> aServices)
{
  std::lock_guard lock(mLock);
  mViews.Set(aViews, aServices);
  return Build();
}

RoutesPtr RouteTable::Build() const
{
  auto routes = std::make_shared<Routes>();
  routes->mConfiguration = mConfiguration;
  if (!mConfiguration) {
    return routes;
  }
  for (const auto& [address, service] : mConfiguration->mByAddress) {
    Route& route = routes->mByAddress[address];
    route.mService = service;
    if (const auto* entry = mViews.Find(service)) {
      route.mView = entry->mView;
      route.mSuspects = entry->mSuspects;
    }
  }
  return routes;
}

} // namespace heatherplank
