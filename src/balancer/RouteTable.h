#pragma once

#include <mutex>
#include <span>

#include "src/balancer/Routes.h"
#include "src/balancer/ServiceViews.h"
#include "src/membership/MemberTable.h"

namespace heatherplank {

/** Joins configuration and membership into routes. Thread safe, by its own
 * lock.
 */
class RouteTable
{
public:
  /** Takes another configuration and gives the routes under it. */
  RoutesPtr SetConfiguration(ConfigurationPtr aConfiguration);

  /** Takes views of services; one that is older than what is held is dropped.
   */
  RoutesPtr SetViews(std::span<const MemberViewPtr> aViews,
                     std::span<const ServiceId> aServices);

private:
  RoutesPtr Build() const;

  std::mutex mLock;
  ConfigurationPtr mConfiguration;
  ServiceViews mViews;
};

} // namespace heatherplank
