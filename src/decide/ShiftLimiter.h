#pragma once

#include <map>

#include "include/heatherplank/Clock.h"
#include "include/heatherplank/Types.h"

namespace heatherplank {

/** Bounds how fast the share of a host may move.
 *
 * Load it answers: a host that looks better than it is, because the figures of
 * it are old. Without it every chooser sends its work there until the next
 * figures, which then drive all of them to another host: the load swings and
 * the swing feeds itself. A share that can change by a bounded factor in the
 * time that figures take to come round can't overshoot by more than that
 * factor.
 *
 * Not thread safe.
 */
class ShiftLimiter
{
public:
  /** A share may double or halve in a second by default: within figures of
   * 200 ms age that is 15 %, less than the imbalance that two slots a host
   * cause by themselves. Precondition: aFactorPerSecond is at least 1; 1e9 is
   * as good as no limit. */
  explicit ShiftLimiter(double aFactorPerSecond = 2.0);

  /** Moves the host's share towards aTarget and gives what it is now. A host
   * not seen before starts at 1. Precondition: aTarget is above 0. */
  double Move(HostId aHost, double aTarget, Time aNow);

private:
  struct Held
  {
    double mShare = 1.0;
    Time mAt;
  };

  double mLogPerSecond;
  std::map<HostId, Held> mHeld;
};

} // namespace heatherplank
