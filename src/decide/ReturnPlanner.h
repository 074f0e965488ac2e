#pragma once

#include <cstdint>
#include <random>

#include "include/heatherplank/Clock.h"

namespace heatherplank {

/** Tells refused callers when to come back.
 *
 * Load it answers: a refused crowd. Told one and the same moment, all come back
 * in it and all but a few are refused again (a retry storm on a beat); told
 * "soon" while the queue is long, they come in vain. So each refused caller
 * gets the next free place behind those refused before it: places are as far
 * apart as the host takes to serve one, beginning when the queue has room. A
 * quarter of the wait is added at random (seeded), since hosts that plan alike
 * would send their callers back alike.
 *
 * The places are estimates, not bookings: newcomers may take them. A wait is
 * 30 s at most, since what the load is like by then nobody knows.
 *
 * Not thread safe.
 */
class ReturnPlanner
{
public:
  /** With aSpread off, every caller is told the moment of the first room. */
  ReturnPlanner(std::uint64_t aSeed, bool aSpread);

  /** The wait for a caller refused at aNow, if there is room after aRoomIn and
   * one request is served every aEvery. Not negative. */
  Duration Next(Time aNow, Duration aRoomIn, Duration aEvery);

private:
  std::mt19937_64 mRng;
  bool mSpread;
  Time mNext;
};

} // namespace heatherplank
