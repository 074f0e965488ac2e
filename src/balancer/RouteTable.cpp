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
  for (std::size_t i = 0; i < aServices.size(); ++i) {
    Held& held = mViews[aServices[i]];
    if (held.mView && held.mView->Version() > aViews[i]->mVersion) {
      continue;
    }
    held.mView =
      MakeServiceView(aServices[i], aViews[i]->mVersion, aViews[i]->mMembers);
    held.mSuspects = aViews[i]->mSuspects;
  }
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
    if (auto view = mViews.find(service); view != mViews.end()) {
      route.mView = view->second.mView;
      route.mSuspects = view->second.mSuspects;
    }
  }
  return routes;
}

} // namespace heatherplank
