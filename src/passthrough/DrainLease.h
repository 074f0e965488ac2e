#pragma once

#include <algorithm>

#include "include/heatherplank/Clock.h"
#include "include/heatherplank/StoreVersion.h"

namespace heatherplank {

/** An agent's view of whether its data centre is drained. Balancers reply to
 * each of its heartbeats with a notice while the drain lasts; the drain expires
 * kDuration after the last notice.
 *
 * Guards against: a balancer that is isolated from the store and the other
 * balancers still offers flows to hosts of a data centre that the operator
 * drains. The agent rejects them as long as it receives notices from a balancer
 * with current state. An offer with a newer version than the notice's ends the
 * drain at once; later notices with an older version are ignored.
 *
 * No I/O or clock access; not thread safe.
 */
class DrainLease
{
public:
  /** About six heartbeat intervals. */
  static constexpr Duration kDuration = std::chrono::milliseconds(3000);

  /** A balancer that knows drain state aVersion reports a drain. */
  void OnNotice(StoreVersion aVersion, Time aNow)
  {
    if (aVersion >= mVersion) {
      mVersion = aVersion;
      mExpiresAt = aNow + kDuration;
    }
  }

  /** A balancer that knows drain state aVersion offers this host a new flow. */
  void OnOffer(StoreVersion aVersion, Time aNow)
  {
    if (aVersion > mVersion) {
      mVersion = aVersion;
      mExpiresAt = std::min(mExpiresAt, aNow);
    }
  }

  bool IsDrained(Time aNow) const { return aNow < mExpiresAt; }

  /** When the last drain expired or will expire; zero if there was none. */
  Time ExpiresAt() const { return mExpiresAt; }

private:
  StoreVersion mVersion;
  Time mExpiresAt{};
};

} // namespace heatherplank
