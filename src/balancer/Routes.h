#pragma once

#include <memory>
#include <unordered_map>
#include <vector>

#include "include/heatherplank/Configuration.h"
#include "src/steer/ServiceView.h"

namespace heatherplank {

/** A service as packets meet it. */
struct Route
{
  ServiceId mService;
  /** Null until a member was heard of. */
  ServiceViewPtr mView;
  /** Members of it that were not heard of for a moment. */
  std::vector<HostId> mSuspects;
};

/** What the data path needs to know, by service address. Immutable; replaced
 * whole when configuration or membership change, so that a packet is steered
 * by one consistent state.
 */
struct Routes
{
  ConfigurationPtr mConfiguration;
  std::unordered_map<Address, Route> mByAddress;
};

using RoutesPtr = std::shared_ptr<const Routes>;

} // namespace heatherplank
