#pragma once

#include <optional>

#include "include/heatherplank/Clock.h"
#include "src/passthrough/FlowQueryGuards.h"

namespace heatherplank {

/** Decides when a balancer knows well enough which services a route has had to
 * exclude a host of another service from those that may hold a flow. Its agent
 * started under the running host, so an earlier agent may have given the host
 * any flow of a route that had its service then.
 *
 * No I/O or clock access; not thread safe. */
class HostExclusion
{
public:
  /** Routes that one balancer has are in force on all after this time, unless
   * the network fails. */
  static constexpr Duration kRoutePropagationTime = std::chrono::seconds(1);
  /** After a common power loss a balancer knows the routes at most this much
   * later than the first hosts take flows. */
  static constexpr Duration kMaxStartSpread = std::chrono::seconds(1);

  /** aFlowLifetime: of a flow. */
  HostExclusion(const FlowQueryGuards& aGuards, Duration aFlowLifetime)
    : mGuards(aGuards)
    , mFlowLifetime(aFlowLifetime)
  {
  }

  /** This balancer has routes; only the first call counts. */
  void OnRoutes(Time aNow)
  {
    mRoutesKnownSince = mRoutesKnownSince.value_or(aNow);
  }

  /** See RouteVersions::HasMissed. Returns whether that changed. */
  bool SetHasMissedRoutes(bool aHasMissed);

  /** The age of the oldest of some hosts whose agents replied; unset if one did
   * not state its own. */
  void OnOldestHost(std::optional<Duration> aAge, Time aNow);

  /** When a host of another service can be excluded; unset if that is not
   * known. aHostStartedAt: since when it may have taken flows.
   *
   * Guards against: the route had the host's service before this balancer knew
   * the routes, or has it by now on a balancer that learnt of it first; the
   * host holds the flow, and its agent has restarted. */
  std::optional<Time> ExcludableAt(Time aHostStartedAt, Time aAgentStartedAt,
                                   Time aNow) const;

private:
  bool KnowsRoutesSince(Time aHostStartedAt, Time aNow) const;

  const FlowQueryGuards mGuards;
  const Duration mFlowLifetime;
  std::optional<Time> mRoutesKnownSince;
  bool mHasMissedRoutes = false;
  /** The earliest start of a host whose agent has replied; unset before the
   * first reply. */
  std::optional<Time> mFirstHostStart;
  bool mHasHostOfUnknownAge = false;
};

} // namespace heatherplank
