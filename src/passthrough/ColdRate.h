#pragma once

#include <algorithm>
#include <cstddef>
#include <deque>

#include "include/heatherplank/Clock.h"
#include "include/heatherplank/Configuration.h"

namespace heatherplank {

/** Limits the new flows that a cold host is given in any window of one second.
 *
 * Load: the hosts of a data centre restart together with empty caches, and
 * all new flows are sent to them because they are the least loaded. A rate
 * above their capacity makes them fail again. The host's agent applies the
 * limit, since only the agent sees the flows from all balancers; a flow above
 * the limit is forwarded to the next candidate. The last part of the rate is
 * reserved for important flows, for the case that all hosts are cold.
 *
 * No I/O or clock access; not thread safe.
 */
class ColdRate
{
public:
  static constexpr Duration kWindow = std::chrono::seconds(1);
  /** Share of the rate available to flows below High importance. */
  static constexpr double kOrdinaryShare = 0.8;

  /** aStartedAt: start of this process. The flows admitted before a restart are
   * unknown, so the first window counts as used up. */
  explicit ColdRate(Time aStartedAt)
    : mStartedAt(aStartedAt)
  {
  }

  /** Whether a cold host may be given one more flow. aPerSecond: flows a second
   * that a cold host can serve; 0 means no limit. */
  bool Allows(double aPerSecond, Importance aImportance, Time aNow) const
  {
    if (aPerSecond <= 0) {
      return true;
    }
    if (aNow - mStartedAt < kWindow) {
      return false;
    }
    double share = aImportance >= Importance::High ? 1 : kOrdinaryShare;
    auto limit =
      std::max<std::size_t>(1, static_cast<std::size_t>(aPerSecond * share));
    auto recent = std::ranges::count_if(
      mAdmittedAt, [&](Time aIt) { return aNow - aIt < kWindow; });
    return static_cast<std::size_t>(recent) < limit;
  }

  /** Records a flow given to the host, cold or not. */
  void OnAdmitted(Time aNow)
  {
    while (!mAdmittedAt.empty() && aNow - mAdmittedAt.front() >= kWindow) {
      mAdmittedAt.pop_front();
    }
    mAdmittedAt.push_back(aNow);
  }

private:
  const Time mStartedAt;
  std::deque<Time> mAdmittedAt;
};

} // namespace heatherplank
