#pragma once

#include <algorithm>
#include <cstdint>
#include <optional>
#include <random>
#include <span>
#include <unordered_map>
#include <vector>

#include "include/heatherplank/Clock.h"
#include "include/heatherplank/Member.h"
#include "src/wire/InventoryMessages.h"

namespace heatherplank {

/** The services of which it is known which routes have left them. */
struct KnownPast
{
  /** It is known of all services. */
  bool mIsComplete = false;
  /** Otherwise of these, in ascending order. */
  std::vector<ServiceId> mServices{};

  bool Contains(ServiceId aService) const
  {
    return mIsComplete || std::ranges::binary_search(mServices, aService);
  }

  bool operator==(const KnownPast&) const = default;
};

/** Decides whom a balancer that starts asks which services its routes have
 * left, and when it knows. Balancers that have run for longer know it, and so
 * do the agents of each service, whom balancers tell: see PastServiceNotices.
 * What routes have left is known, for the hosts of one service,
 *
 * - once a balancer that has followed the routes since before this one started
 *   has sent its list;
 * - once an agent of that service has sent a list that such a balancer told it;
 * - after a timeout in any case: nobody may be left that knows;
 * - of hosts that come into view later than kDiscoveryTime at once.
 *
 * It becomes unknown again if this balancer skipped a version of the routes
 * that another balancer had in force.
 *
 * Guards against: a balancer that starts takes the present services of a route
 * for all that it has had, and probes their hosts with the packets of a flow
 * that is open at another service.
 *
 * No I/O or clock access; not thread safe. */
class PastServiceRequests
{
public:
  /** A list arrives within a few milliseconds, later on a slow link. */
  static constexpr Duration kInterval = std::chrono::milliseconds(150);
  /** Packets that wait for the answer are held for this long at most. Callers
   * give up after 2 s or more. */
  static constexpr Duration kTimeout = std::chrono::milliseconds(1000);
  /** All hosts are in view after this time. It also bounds the work of looking
   * for further services at each tick. */
  static constexpr Duration kDiscoveryTime = std::chrono::seconds(10);
  /** Balancers that start together do not count as older than each other. */
  static constexpr Duration kMinLead = std::chrono::milliseconds(500);
  /** Agents of each service that are asked at a time. */
  static constexpr std::size_t kAgentsPerService = 2;
  /** Agents of all services that are asked at a time. */
  static constexpr std::size_t kMaxAgents = 32;

  explicit PastServiceRequests(std::uint64_t aSeed);

  /** The routes in force; the first call starts the requests. */
  void OnRoutes(std::uint64_t aVersion, Time aNow);

  /** Routes between two versions that were in force here were in force at
   * another balancer. */
  void OnSkippedRoutes(Time aNow);

  /** A balancer or agent has sent its list. */
  void OnList(const PastServices& aList, Time aNow);

  /** The control addresses to ask now. Call about every 50 ms. */
  std::vector<Address> OnTick(std::span<const Member> aBalancers,
                              const std::unordered_map<HostId, Member>& aHosts,
                              Time aNow);

  KnownPast Known(Time aNow) const;

  /** Whether the past of a service in view is unknown, or was until just now,
   * so that further services may come into view. */
  bool IsAsking(Time aNow) const;

private:
  struct Service
  {
    Time mFirstSeenAt{};
    bool mIsKnown = false;
  };

  bool IsKnown(const Service& aService, Time aNow) const;

  std::minstd_rand mRandom;
  /** Since when the routes' past has been unknown; unset before any routes. */
  std::optional<Time> mUnknownSince;
  std::uint64_t mVersion = 0;
  bool mIsAllKnown = false;
  std::optional<Time> mLastAskedAt;
  std::unordered_map<ServiceId, Service> mServices;
};

} // namespace heatherplank
