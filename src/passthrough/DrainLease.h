#pragma once

#include <algorithm>
#include <cstdint>

#include "include/heatherplank/Clock.h"

namespace heatherplank {

/** What an agent knows of a drain of its data centre. Balancers answer each of
 * its heartbeats with a notice while the drain lasts, and it holds for a while
 * after the last one.
 *
 * Failure met: a balancer that is cut off from the store and the others still
 * names hosts of a data centre that the operator drains. The agent refuses it,
 * as long as one balancer that knows better is heard. An offer of a balancer
 * that knows a later state than the notice ends the drain at once, and a
 * notice from before that state is not believed any more.
 *
 * Pure; not thread safe.
 */
class DrainLease
{
public:
  /** Some six heartbeats. */
  static constexpr Duration kHeldFor = std::chrono::milliseconds(3000);

  /** A balancer says that the data centre is drained as of aVersion. */
  void OnNotice(std::uint64_t aVersion, Time aNow)
  {
    if (aVersion >= mVersion) {
      mVersion = aVersion;
      mUntil = aNow + kHeldFor;
    }
  }

  /** A balancer that knows aVersion names this host for a new flow. */
  void OnOffer(std::uint64_t aVersion, Time aNow)
  {
    if (aVersion > mVersion) {
      mVersion = aVersion;
      mUntil = std::min(mUntil, aNow);
    }
  }

  bool IsDrained(Time aNow) const { return aNow < mUntil; }

  /** When the last drain ended or will end; zero if there was none. */
  Time Until() const { return mUntil; }

private:
  std::uint64_t mVersion = 0;
  Time mUntil{};
};

} // namespace heatherplank
