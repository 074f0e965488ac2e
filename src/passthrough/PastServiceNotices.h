#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <vector>

#include "include/heatherplank/Clock.h"
#include "include/heatherplank/Member.h"
#include "src/membership/ByteBudget.h"
#include "src/passthrough/RouteServices.h"

namespace heatherplank {

/** Decides when a balancer tells the agents that send it heartbeats which
 * routes have left their service: once after the start of each, and at each
 * change.
 *
 * Guards against: all balancers are killed at once, and what they knew of the
 * routes' past dies with them. The agents keep it for those that start next.
 *
 * No I/O or clock access; not thread safe. */
class PastServiceNotices
{
public:
  /** The share of a balancer's link for these messages: at a change, each host
   * of the service gets a list of all routes that left it. */
  static constexpr double kLinkShare = 0.125;
  /** An agent without a heartbeat for this long is forgotten. */
  static constexpr Duration kAgentTimeout = std::chrono::seconds(10);

  struct Recipient
  {
    Address mControl;
    ServiceId mService;
  };

  explicit PastServiceNotices(double aLinkBytesPerSecond);

  void OnHeartbeat(const Member& aAgent, Time aNow);

  /** The agent to tell now, if any: call OnSent() and again until there is
   * none. */
  std::optional<Recipient> Next(const RouteServices& aServices, Time aNow);
  void OnSent(std::size_t aBytes) { mLink.Take(aBytes); }

  /** Forgets agents without heartbeats. */
  void OnTick(Time aNow);

private:
  struct Agent
  {
    Recipient mRecipient;
    Incarnation mIncarnation = 0;
    Time mHeardAt{};
    /** RouteServices::Generation of the list that it has got. */
    std::optional<std::uint64_t> mToldGeneration;
  };

  std::map<HostId, Agent> mAgents;
  ByteBudget mLink;
  Time mLastExpiryAt{};
};

} // namespace heatherplank
