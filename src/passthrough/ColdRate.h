#pragma once

#include <algorithm>
#include <cstddef>
#include <deque>

#include "include/heatherplank/Clock.h"
#include "include/heatherplank/Configuration.h"

namespace heatherplank {

/** Bounds the new flows that a cold host is given in any span of a second.
 *
 * Pattern: the hosts of a data centre return together, empty caches and all,
 * and every caller's flow is sent to them because they are the freest. Above
 * what they bear they fall over again. The host's agent counts, since it alone
 * sees what comes from all balancers; what it turns away goes to the next
 * candidate. Where all hosts are cold the last part of the rate is for
 * important flows.
 *
 * Pure; not thread safe.
 */
class ColdRate
{
public:
  static constexpr Duration kSpan = std::chrono::seconds(1);
  /** Share of the rate that flows below High importance may take. */
  static constexpr double kOrdinaryShare = 0.8;

  /** aStartedAt: this process's start. What its former life took is not known,
   * so its first span counts as used up. */
  explicit ColdRate(Time aStartedAt)
    : mStartedAt(aStartedAt)
  {
  }

  /** Whether a cold host takes one more flow. aPerSecond: what it bears; 0 is
   * no bound. */
  bool Allows(double aPerSecond, Importance aImportance, Time aNow) const
  {
    if (aPerSecond <= 0) {
      return true;
    }
    if (aNow - mStartedAt < kSpan) {
      return false;
    }
    double share = aImportance >= Importance::High ? 1 : kOrdinaryShare;
    auto most =
      std::max<std::size_t>(1, static_cast<std::size_t>(aPerSecond * share));
    auto recent = std::ranges::count_if(
      mTaken, [&](Time aIt) { return aNow - aIt < kSpan; });
    return static_cast<std::size_t>(recent) < most;
  }

  /** A flow was given to the host, cold or not. */
  void OnTaken(Time aNow)
  {
    while (!mTaken.empty() && aNow - mTaken.front() >= kSpan) {
      mTaken.pop_front();
    }
    mTaken.push_back(aNow);
  }

private:
  const Time mStartedAt;
  std::deque<Time> mTaken;
};

} // namespace heatherplank
