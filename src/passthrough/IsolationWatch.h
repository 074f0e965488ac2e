#pragma once

#include <algorithm>
#include <cstddef>
#include <unordered_map>

#include "include/heatherplank/Clock.h"
#include "include/heatherplank/Types.h"

namespace heatherplank {

/** Notices that a balancer hears hardly any agent.
 *
 * Failure met: a balancer is cut off from the hosts but not from callers. It
 * has routes and hosts in view, calls itself ready, and every packet that the
 * fabric hands it is lost for as long as the cut lasts. Shown by offers that
 * all go unanswered, at some balancers only. Other balancers behind the same
 * cut may well be heard, and agents that started after it, so the share of the
 * agents in view counts: each sends heartbeats, and silence of most of them at
 * once is far more often this balancer's own. Where most agents did die, one
 * that is not ready costs callers the half second until the fabric asks again.
 *
 * Not thread safe.
 */
class IsolationWatch
{
public:
  /** Heartbeats come every 500 ms from each agent: one, and some slack. A lost
   * one matters little, as a third of the agents is enough. */
  static constexpr Duration kSilentAfter = std::chrono::milliseconds(750);
  /** Of so many agents in view one must be heard. */
  static constexpr std::size_t kOneOf = 3;
  /** Agents that are silent for this long are forgotten here, unless the
   * silence is this balancer's own; membership has judged them by then. */
  static constexpr Duration kForgetAfter = std::chrono::seconds(10);

  /** A message of an agent came. */
  void OnHeard(const Address& aAgent, Time aNow) { mHeard[aAgent] = aNow; }

  /** This process stood still: silence until now was its own. */
  void OnStandstill(Time aNow)
  {
    for (auto& [agent, at] : mHeard) {
      at = aNow;
    }
  }

  /** aAgents: those in view that beat to this balancer. False before any was
   * heard: a balancer that starts before its agents is not cut off. */
  bool IsIsolated(std::size_t aAgents, Time aNow)
  {
    if (!mIsIsolated) {
      std::erase_if(mHeard, [&](const auto& aIt) {
        return aNow - aIt.second > kForgetAfter;
      });
    }
    auto heard = static_cast<std::size_t>(
      std::count_if(mHeard.begin(), mHeard.end(), [&](const auto& aIt) {
        return aNow - aIt.second <= kSilentAfter;
      }));
    mIsIsolated = !mHeard.empty() && heard * kOneOf < aAgents;
    return mIsIsolated;
  }

private:
  std::unordered_map<Address, Time> mHeard;
  bool mIsIsolated = false;
};

} // namespace heatherplank
