#pragma once

#include <unordered_map>
#include <unordered_set>
#include <utility>

#include "include/heatherplank/Clock.h"
#include "include/heatherplank/Member.h"
#include "include/heatherplank/Types.h"
#include "src/membership/BalancerMembership.h"

namespace heatherplank {

/** Decides whether a balancer's view contains all hosts that run.
 *
 * Guards against: a balancer that has just started knows some of the hosts.
 * They all deny a flow, and its caller is reset although a host that is not in
 * view yet holds it.
 *
 * The view is complete if membership is ready: it was taken over from a peer
 * that was ready. Where every agent sends heartbeats to every balancer, it is
 * also complete once it has settled: this balancer has run for kMinAge and no
 * host was added for kSettleDuration. An agent sends a heartbeat every 50 ms
 * until it is answered, then every 500 ms. Elsewhere a view must be ready and
 * settled: after a loss of the whole fleet the first balancers become ready
 * although no peer was. No I/O or clock access; not thread safe. */
class ViewCompleteness
{
public:
  /** Two heartbeat intervals of an agent, so that one lost heartbeat hides no
   * host. */
  static constexpr Duration kMinAge = std::chrono::milliseconds(1000);
  /** Above one heartbeat interval. */
  static constexpr Duration kSettleDuration = std::chrono::milliseconds(600);

  struct Inputs
  {
    MembershipReadiness mReadiness = MembershipReadiness::Starting;
    /** This balancer receives messages from hardly any agent. */
    bool mIsIsolated = false;
    /** Every agent sends heartbeats to every balancer (see MonitorRule). */
    bool mAllMonitor = true;
  };

  explicit ViewCompleteness(Time aStartedAt)
    : mStartedAt(aStartedAt)
    , mLastAddedAt(aStartedAt)
  {
  }

  /** The hosts in view may have changed. aHosts: all of them. */
  void OnHosts(const std::unordered_map<HostId, Member>& aHosts, Time aNow)
  {
    std::unordered_set<HostId> hosts;
    for (const auto& [host, member] : aHosts) {
      hosts.insert(host);
      if (!mHosts.contains(host)) {
        mLastAddedAt = aNow;
      }
    }
    mHosts = std::move(hosts);
  }

  bool IsComplete(const Inputs& aInputs, Time aNow) const
  {
    if (aInputs.mIsIsolated ||
        aInputs.mReadiness == MembershipReadiness::Isolated) {
      return false;
    }
    bool hasSettled =
      aNow - mStartedAt >= kMinAge && aNow - mLastAddedAt >= kSettleDuration;
    bool isReady = aInputs.mReadiness == MembershipReadiness::Ready;
    return aInputs.mAllMonitor ? isReady || hasSettled : isReady && hasSettled;
  }

private:
  const Time mStartedAt;
  Time mLastAddedAt;
  std::unordered_set<HostId> mHosts;
};

} // namespace heatherplank
