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

/** What is reached at one address and port, and what its flows carry. */
struct FlowRoute
{
  std::string mName;
  /** Not empty. */
  std::vector<RouteShare> mShares;
  Importance mImportance = Importance::Normal;
  /** An answer later than this is worth little to the caller. */
  Duration mLatencyTarget = std::chrono::milliseconds(100);

  /** The service for a new flow: by weight, the same on every balancer. */
  ServiceId ServiceOf(std::uint64_t aFlowHash) const;
};

/** The routes of opaque flows, accepted as one version. Immutable once made. */
struct FlowInventory
{
  /** A higher one replaces a lower one, never back. */
  std::uint64_t mVersion = 0;
  std::unordered_map<Address, FlowRoute> mRoutes;
  /** New flows a second that a host bears while it is cold, for services whose
   * hosts fall over above that. */
  std::unordered_map<ServiceId, double> mColdRates;

  /** The route of an address, or null. Thread safe. */
  const FlowRoute* Find(const Address& aAddress) const;

  /** The cold rate of a service; 0 if it has no bound. Thread safe. */
  double ColdRateOf(ServiceId aService) const;
};

using FlowInventoryPtr = std::shared_ptr<const FlowInventory>;

/** Reads an inventory as the operator's tools write it. Thread safe. */
class FlowInventoryReader
{
public:
  virtual ~FlowInventoryReader() = default;

  /** Malformed, with what is wrong, if the document can't be used. */
  virtual Result<FlowInventoryPtr> Read(std::string_view aDocument) const = 0;
};

} // namespace heatherplank
