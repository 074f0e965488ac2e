#pragma once

#include <algorithm>
#include <cstddef>
#include <unordered_map>
#include <utility>
#include <vector>

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
 * Failure met: silence is no proof either. Hundreds of machines come back from
 * a power loss, each agent greets every balancer that it hears of and then
 * beats to its few monitors only; balancers that believe that they judge the
 * others hear no more of them, call themselves cut off one after the other, and
 * the fabric moves nearly all flows each time. Shown by balancers that are
 * isolated for a second or so, just after everything returned. So silence makes
 * a balancer ask some agents, and only those that do not answer count.
 *
 * Not thread safe.
 */
class IsolationWatch
{
public:
  /** Heartbeats come every 500 ms from each agent: one, and some slack. A lost
   * one matters little, as a third of the agents is enough. */
  static constexpr Duration kSilentAfter = std::chrono::milliseconds(750);
  /** Of so many agents one must be heard. */
  static constexpr std::size_t kOneOf = 3;
  /** Agents that are silent for this long are forgotten here, unless the
   * silence is this balancer's own; membership has judged them by then. */
  static constexpr Duration kForgetAfter = std::chrono::seconds(10);
  /** Agents that are asked at once. */
  static constexpr std::size_t kAsked = 12;
  /** Those that are reached answer within some ms; a scheduler that gives them
   * their share once in 100 ms may hold the answer back that long. */
  static constexpr Duration kAnswerWithin = std::chrono::milliseconds(200);
  static constexpr Duration kAskEvery = std::chrono::milliseconds(500);

  /** A message of an agent came. */
  void OnHeard(const Address& aAgent, Time aNow) { mHeard[aAgent] = aNow; }

  /** This process stood still: silence until now was its own. */
  void OnStandstill(Time aNow)
  {
    for (auto& [agent, at] : mHeard) {
      at = aNow;
    }
    mAsked.clear();
  }

  /** Whether most agents are silent and some are to be asked why. aAgents:
   * those in view that beat to this balancer. False before any was heard: a
   * balancer that starts before its agents is not cut off. */
  bool WantsToAsk(std::size_t aAgents, Time aNow) const
  {
    bool isAsking = !mAsked.empty() && aNow - mAskedAt < kAskEvery;
    return AreMostSilent(aAgents, aNow) && !isAsking;
  }

  /** Some agents in view were asked, whichever balancers they beat to. */
  void OnAsked(std::vector<Address> aAgents, Time aNow)
  {
    mAsked = std::move(aAgents);
    mAskedAt = aNow;
  }

  /** Call it after WantsToAsk, some ten times a second. */
  bool IsIsolated(std::size_t aAgents, Time aNow)
  {
    if (!mIsIsolated) {
      std::erase_if(mHeard, [&](const auto& aIt) {
        return aNow - aIt.second > kForgetAfter;
      });
    }
    if (!AreMostSilent(aAgents, aNow)) {
      mAsked.clear();
      mIsIsolated = false;
    } else if (!mAsked.empty() && aNow - mAskedAt >= kAnswerWithin) {
      mIsIsolated = Answered() * kOneOf < mAsked.size();
    }
    return mIsIsolated;
  }

private:
  bool AreMostSilent(std::size_t aAgents, Time aNow) const
  {
    auto heard = static_cast<std::size_t>(
      std::count_if(mHeard.begin(), mHeard.end(), [&](const auto& aIt) {
        return aNow - aIt.second <= kSilentAfter;
      }));
    return !mHeard.empty() && heard * kOneOf < aAgents;
  }

  std::size_t Answered() const
  {
    return static_cast<std::size_t>(
      std::count_if(mAsked.begin(), mAsked.end(), [&](const Address& aIt) {
        auto heard = mHeard.find(aIt);
        return heard != mHeard.end() && heard->second >= mAskedAt;
      }));
  }

  std::unordered_map<Address, Time> mHeard;
  std::vector<Address> mAsked;
  Time mAskedAt{};
  bool mIsIsolated = false;
};

} // namespace heatherplank
