#pragma once

#include <ctime>

#include "include/heatherplank/Clock.h"

namespace heatherplank {

/** Detects that the process was stalled: by SIGSTOP, or because its VM was
 * suspended. Its state about other processes is then as old as the stall, even
 * if none of its timeouts expired, since the steady clock does not count a
 * suspension. Not thread safe.
 */
class ProcessStallWatch
{
public:
  /** Longer than the pauses of a scheduler with a 100 ms CPU quota period;
   * shorter than the callers' first retransmission delay. */
  static constexpr Duration kMinStall = std::chrono::milliseconds(150);

  /** Returns how long the process was stalled since the last call, or zero.
   * aSinceBoot: time since the VM's boot, suspensions included. Call it at
   * least every 100 ms. */
  Duration OnTick(Time aNow, Duration aSinceBoot)
  {
    Duration gap = mStarted ? aSinceBoot - mLastSinceBoot : Duration::zero();
    if (mStarted && aNow - mLastNow > gap) {
      gap = aNow - mLastNow;
    }
    mStarted = true;
    mLastNow = aNow;
    mLastSinceBoot = aSinceBoot;
    return gap >= kMinStall ? gap : Duration::zero();
  }

  /** Time since the VM's boot, suspensions included. */
  static Duration SinceBoot()
  {
    timespec now{};
    ::clock_gettime(CLOCK_BOOTTIME, &now);
    return std::chrono::seconds(now.tv_sec) +
           std::chrono::nanoseconds(now.tv_nsec);
  }

private:
  bool mStarted = false;
  Time mLastNow{};
  Duration mLastSinceBoot{};
};

} // namespace heatherplank
