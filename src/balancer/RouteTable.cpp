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
    ServiceViewPtr& held = mViews[aServices[i]];
    if (held && held->Version() > aViews[i]->mVersion) {
      continue;
    }
    held =
      MakeServiceView(aServices[i], aViews[i]->mVersion, aViews[i]->mMembers);
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
    auto view = mViews.find(service);
    routes->mByAddress[address] = { service, view == mViews.end()
                                               ? nullptr
                                               : view->second };
  }
  return routes;
}

} // namespace heatherplank
