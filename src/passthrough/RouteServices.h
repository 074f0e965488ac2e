#pragma once

#include <unordered_map>
#include <vector>

#include "include/heatherplank/Clock.h"
#include "include/heatherplank/Types.h"
#include "src/passthrough/FlowInventory.h"

namespace heatherplank {

/** Remembers which services each route has had within the lifetime of a flow: a
 * flow stays at its service when the route leaves it. No I/O or clock access;
 * not thread safe. */
class RouteServices
{
public:
  /** aRetention: how long a service is remembered after its route left it. */
  explicit RouteServices(Duration aRetention);

  void SetInventory(const FlowInventory& aInventory);

  /** Forgets services that routes left long ago. A service counts as left since
   * the first call after SetInventory. */
  void OnTick(Time aNow);

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

  const Duration mRetention;
  std::unordered_map<Address, std::vector<Entry>> mRoutes;
  /** Some entry is not current. */
  bool mHasPast = false;
  Time mLastTickAt{};
};

} // namespace heatherplank
