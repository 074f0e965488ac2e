#pragma once

#include <memory>
#include <unordered_map>
#include <vector>

#include "include/heatherplank/Configuration.h"
#include "src/steer/ServiceView.h"

namespace heatherplank {

/** The steering state of one service. */
struct Route
{
  ServiceId mService;
  /** Null until a membership view of the service exists. */
  ServiceViewPtr mView;
  /** Suspected members, which missed recent heartbeats. */
  std::vector<HostId> mSuspects;
};

/** The data path's state by service address. Immutable; replaced as a whole
 * when configuration or membership changes, so that each packet is steered by
 * one consistent state. */
struct Routes
{
  ConfigurationPtr mConfiguration;
  std::unordered_map<Address, Route> mByAddress;
};

using RoutesPtr = std::shared_ptr<const Routes>;

} // namespace heatherplank
