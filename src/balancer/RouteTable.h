#pragma once

#include <mutex>
#include <span>

#include "src/balancer/Routes.h"
#include "src/balancer/ServiceViews.h"
#include "src/membership/MemberTable.h"

namespace heatherplank {

/** Builds routes from configuration and membership. Thread safe. */
class RouteTable
{
public:
  /** Replaces the configuration and returns the resulting routes. */
  RoutesPtr SetConfiguration(ConfigurationPtr aConfiguration);

  /** Updates the views of services and returns the resulting routes. A view
   * that is older than the present one is ignored. aViews and aServices
   * correspond by index. */
  RoutesPtr SetViews(std::span<const MemberViewPtr> aViews,
                     std::span<const ServiceId> aServices);

private:
  RoutesPtr Build() const;

  std::mutex mLock;
  ConfigurationPtr mConfiguration;
  ServiceViews mViews;
};

} // namespace heatherplank
