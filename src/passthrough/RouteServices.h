#pragma once

#include <cstddef>
#include <span>
#include <unordered_map>
#include <vector>

#include "include/heatherplank/Clock.h"
#include "include/heatherplank/Types.h"
#include "src/passthrough/FlowInventory.h"
#include "src/wire/InventoryMessages.h"

namespace heatherplank {

/** Remembers which services each route has had within the lifetime of a flow: a
 * flow stays at its service when the route leaves it. Balancers and agents tell
 * each other what routes have left: see PastServiceExchange.
 *
 * Guards against: the balancers that had a service in a route restart, and so
 * does the agent of a host there. The new ones would look for the host's open
 * flows only at the services that the route still has.
 *
 * No I/O or clock access; not thread safe. */
class RouteServices
{
public:
  /** aRetention: how long a service is remembered after its route left it. */
  explicit RouteServices(Duration aRetention);

  void SetInventory(const FlowInventory& aInventory);

  /** Forgets services that routes left long ago. A service counts as left since
   * the first call after SetInventory. */
  void OnTick(Time aNow);

  /** All services that routes have left, or aOnly if it is one of them, to
   * tell other processes. Without those of removed routes, whose flows may be
   * discarded. */
  std::vector<PastService> ListPast(Time aNow, ServiceId aOnly = {}) const;

  /** What another process has heard that routes have left. */
  void OnPeer(std::span<const PastService> aPast, Time aNow);

  /** Changes whenever a route leaves the service, or is heard to have done. */
  std::uint64_t Generation(ServiceId aService) const;

  /** The services of a route, present and past; empty if it is unknown. */
  std::vector<ServiceId> Of(const Address& aRoute) const;

private:
  struct Entry
  {
    ServiceId mService;
    bool mIsCurrent = true;
    /** Unset while mIsCurrent, and until OnTick(). */
    Time mLeftAt{};
  };

  void AddPast(const PastService& aPast, Time aLeftAt);
  void OnLeft(ServiceId aService) { ++mGenerations[aService]; }

  const Duration mRetention;
  std::unordered_map<Address, std::vector<Entry>> mRoutes;
  /** False at an agent, which has no inventory. */
  bool mHasRoutes = false;
  /** Some entry is not current. */
  bool mHasPast = false;
  Time mLastTickAt{};
  std::unordered_map<ServiceId, std::uint64_t> mGenerations;
};

} // namespace heatherplank
