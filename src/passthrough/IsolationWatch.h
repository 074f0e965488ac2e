#pragma once

#include <algorithm>
#include <cstddef>
#include <unordered_map>
#include <utility>
#include <vector>

#include "include/heatherplank/Clock.h"
#include "include/heatherplank/Types.h"

namespace heatherplank {

/** Detects that a balancer is isolated, that is, receives messages from hardly
 * any agent.
 *
 * Guards against: a balancer is cut off from the hosts but not from callers. It
 * has routes and hosts in view, reports itself ready, and every packet that the
 * fabric sends it is lost for as long as the cut lasts; offers all go
 * unanswered, at some balancers only. Other balancers behind the same cut, and
 * agents that started after it, may still be reachable, so the share of the
 * agents in view counts. Each agent sends heartbeats, and if most agents are
 * unresponsive at once, the fault is far more often this balancer's. Where most
 * agents did fail, a balancer that is not ready costs callers the half second
 * until the fabric checks readiness again.
 *
 * Guards against: missing heartbeats alone prove no isolation. When hundreds of
 * VMs return from a power loss, each agent greets every balancer that it learns
 * of and then sends heartbeats to its few monitors only. Balancers that believe
 * that they monitor the other agents receive nothing more from them, report
 * isolation one after the other for a second or so, and each time the fabric
 * sends nearly all flows to other balancers. So a balancer that misses
 * heartbeats probes some agents, and only agents that do not answer the probe
 * count.
 *
 * Not thread safe. */
class IsolationWatch
{
public:
  /** The heartbeat interval of the agents, 500 ms, and some slack. A lost
   * heartbeat matters little, as a third of the agents is enough. */
  static constexpr Duration kHeartbeatTimeout = std::chrono::milliseconds(750);
  /** At least one in this many agents must be responsive. */
  static constexpr std::size_t kResponsiveDivisor = 3;
  /** Agents that are unresponsive for this long are removed here, unless this
   * balancer is isolated; membership has evaluated them by then. */
  static constexpr Duration kAgentExpiry = std::chrono::seconds(10);
  /** Number of agents that are probed at once. */
  static constexpr std::size_t kProbeCount = 12;
  /** Reachable agents answer within some milliseconds; a scheduler that runs
   * them once in 100 ms may delay the answer by as much. */
  static constexpr Duration kProbeTimeout = std::chrono::milliseconds(200);
  static constexpr Duration kProbeInterval = std::chrono::milliseconds(500);

  /** A message from an agent arrived. */
  void OnMessage(const Address& aAgent, Time aNow)
  {
    mLastMessageAt[aAgent] = aNow;
  }

  /** Call after a process stall. Counts all known agents as responsive now,
   * since this process was not running to receive their messages. */
  void OnProcessStall(Time aNow)
  {
    for (auto& [agent, at] : mLastMessageAt) {
      at = aNow;
    }
    mProbedAgents.clear();
  }

  /** Whether most agents are unresponsive and some should be probed. aAgents:
   * number of agents in view that send heartbeats to this balancer. False
   * before the first message of an agent: a balancer that starts before its
   * agents is not isolated. */
  bool ShouldProbe(std::size_t aAgents, Time aNow) const
  {
    bool isProbing =
      !mProbedAgents.empty() && aNow - mProbedAt < kProbeInterval;
    return AreMostUnresponsive(aAgents, aNow) && !isProbing;
  }

  /** Some agents in view were probed, whichever balancers they send heartbeats
   * to. */
  void OnProbed(std::vector<Address> aAgents, Time aNow)
  {
    mProbedAgents = std::move(aAgents);
    mProbedAt = aNow;
  }

  /** Call after ShouldProbe(), some ten times a second. */
  bool IsIsolated(std::size_t aAgents, Time aNow)
  {
    if (!mIsIsolated) {
      std::erase_if(mLastMessageAt, [&](const auto& aIt) {
        return aNow - aIt.second > kAgentExpiry;
      });
    }
    if (!AreMostUnresponsive(aAgents, aNow)) {
      mProbedAgents.clear();
      mIsIsolated = false;
    } else if (!mProbedAgents.empty() && aNow - mProbedAt >= kProbeTimeout) {
      mIsIsolated = CountAnswered() * kResponsiveDivisor < mProbedAgents.size();
    }
    return mIsIsolated;
  }

private:
  bool AreMostUnresponsive(std::size_t aAgents, Time aNow) const
  {
    auto responsive = static_cast<std::size_t>(std::count_if(
      mLastMessageAt.begin(), mLastMessageAt.end(),
      [&](const auto& aIt) { return aNow - aIt.second <= kHeartbeatTimeout; }));
    return !mLastMessageAt.empty() && responsive * kResponsiveDivisor < aAgents;
  }

  std::size_t CountAnswered() const
  {
    return static_cast<std::size_t>(std::count_if(
      mProbedAgents.begin(), mProbedAgents.end(), [&](const Address& aIt) {
        auto it = mLastMessageAt.find(aIt);
        return it != mLastMessageAt.end() && it->second >= mProbedAt;
      }));
  }

  std::unordered_map<Address, Time> mLastMessageAt;
  std::vector<Address> mProbedAgents;
  Time mProbedAt{};
  bool mIsIsolated = false;
};

} // namespace heatherplank
