#pragma once

#include <map>

#include "include/heatherplank/Clock.h"
#include "include/heatherplank/Types.h"

namespace heatherplank {

/** Bounds the rate of change of a host's share.
 *
 * Guards against: load oscillation caused by stale load reports. Every balancer
 * sends its work to the host that looks best until the next reports, which then
 * drive all of them to another host, and the oscillation sustains itself. A
 * share that changes by a bounded factor during the delay of the reports can't
 * overshoot by more than that factor.
 *
 * Not thread safe.
 */
class ShiftLimiter
{
public:
  /** By default, a share may at most double or halve in a second: 15 % during
   * the 200 ms age of a load report, less than the imbalance that two slots
   * per host cause by themselves. Precondition: aFactorPerSecond is at least
   * 1; 1e9 is effectively no limit. */
  explicit ShiftLimiter(double aFactorPerSecond = 2.0);

  /** Moves the host's share towards aTarget and returns the new share. A new
   * host starts at 1. Precondition: aTarget is above 0. */
  double Move(HostId aHost, double aTarget, Time aNow);

private:
  struct HostShare
  {
    double mShare = 1.0;
    Time mUpdatedAt;
  };

  double mLogPerSecond;
  std::map<HostId, HostShare> mShares;
};

} // namespace heatherplank
