#pragma once

#include <ctime>

#include "include/heatherplank/Clock.h"

namespace heatherplank {

/** Notices that the process did not run for a while: it was stopped, or its
 * machine was suspended. What it believed of others is then as old as the gap,
 * though no time-out of its own may have passed: the steady clock does not
 * count a suspension. Not thread safe.
 */
class StandstillWatch
{
public:
  /** Longer than the pauses of a scheduler that gives a process its share once
   * in 100 ms; shorter than callers wait before they repeat a packet. */
  static constexpr Duration kGap = std::chrono::milliseconds(150);

  /** How long the process stood still since the last call; zero if it ran.
   * aSinceBoot: time since the machine's start, suspensions included. Call it
   * at least every 100 ms. */
  Duration OnTick(Time aNow, Duration aSinceBoot)
  {
    Duration gap = mStarted ? aSinceBoot - mSinceBoot : Duration::zero();
    if (mStarted && aNow - mNow > gap) {
      gap = aNow - mNow;
    }
    mStarted = true;
    mNow = aNow;
    mSinceBoot = aSinceBoot;
    return gap >= kGap ? gap : Duration::zero();
  }

  /** The machine's clock that counts suspensions. */
  static Duration SinceBoot()
  {
    timespec now{};
    ::clock_gettime(CLOCK_BOOTTIME, &now);
    return std::chrono::seconds(now.tv_sec) +
           std::chrono::nanoseconds(now.tv_nsec);
  }

private:
  bool mStarted = false;
  Time mNow{};
  Duration mSinceBoot{};
};

} // namespace heatherplank
