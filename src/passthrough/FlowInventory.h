#pragma once

#include <cstdint>
#include <memory>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

#include "include/heatherplank/Clock.h"
#include "include/heatherplank/Configuration.h"
#include "include/heatherplank/Error.h"
#include "include/heatherplank/Types.h"

namespace heatherplank {

/** A service's share of a route's new flows. */
struct RouteShare
{
  ServiceId mService;
  std::uint32_t mWeight = 1;
};

/** The services behind one address and port, and their flows' properties. */
struct FlowRoute
{
  std::string mName;
  /** Not empty. */
  std::vector<RouteShare> mShares;
  Importance mImportance = Importance::Normal;
  /** A response later than this is of little use to the caller. */
  Duration mLatencyTarget = std::chrono::milliseconds(100);

  /** Selects a new flow's service by weight, the same on every balancer. */
  ServiceId ServiceOf(std::uint64_t aFlowHash) const;
};

/** One version of the routes of opaque flows. Immutable once constructed. */
struct FlowInventory
{
  /** A higher version replaces a lower one, never the reverse. */
  std::uint64_t mVersion = 0;
  std::unordered_map<Address, FlowRoute> mRoutes;
  /** Highest rate of new flows, per second, that a host sustains while it is
   * cold, for services whose hosts fail above that rate. */
  std::unordered_map<ServiceId, double> mColdRates;

  /** The route of an address, or null. Thread safe. */
  const FlowRoute* Find(const Address& aAddress) const;

  /** The cold rate of a service; 0 if it has no limit. Thread safe. */
  double ColdRateOf(ServiceId aService) const;
};

using FlowInventoryPtr = std::shared_ptr<const FlowInventory>;

/** Parses an inventory in the format of the operator's tools. Thread safe. */
class FlowInventoryReader
{
public:
  virtual ~FlowInventoryReader() = default;

  /** Malformed, with the cause, if the document is invalid. */
  virtual Result<FlowInventoryPtr> Read(std::string_view aDocument) const = 0;
};

} // namespace heatherplank
