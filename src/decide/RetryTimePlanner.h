#pragma once

#include <cstdint>
#include <random>

#include "include/heatherplank/Clock.h"

namespace heatherplank {

/** Computes the retry times of refused callers.
 *
 * Guards against: a burst of refused callers. Given the same retry time, all
 * return at once and all but a few are refused again (a synchronized retry
 * storm); given a short time while the queue is long, they return in vain. So
 * each refused caller is given the next free position behind the callers
 * refused before it: positions start when the queue has room and are one
 * service interval apart. Up to a quarter of the wait is added as seeded random
 * jitter, since hosts with the same plan would otherwise synchronize their
 * callers.
 *
 * Positions are estimates, not reservations: new requests may take them. The
 * wait before jitter is at most 30 s, since the load can't be predicted further
 * ahead.
 *
 * Not thread safe.
 */
class RetryTimePlanner
{
public:
  /** With aSpread false, every caller is given the time at which the queue
   * first has room. */
  RetryTimePlanner(std::uint64_t aSeed, bool aSpread);

  /** The wait for a caller refused at aNow, if there is room after aRoomIn and
   * one request is served every aInterval. Not negative. */
  Duration NextWait(Time aNow, Duration aRoomIn, Duration aInterval);

private:
  std::mt19937_64 mRng;
  bool mSpread;
  Time mNextPosition;
};

} // namespace heatherplank
