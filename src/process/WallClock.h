#pragma once

#include <chrono>

#include "include/heatherplank/Types.h"

namespace heatherplank {

/** Microseconds since the Unix epoch, used as the incarnation of a process that
 * starts now. aOffset is added to simulate a wrong clock. Thread safe.
 */
inline Incarnation WallClockMicroseconds(Duration aOffset = {})
{
  using std::chrono::duration_cast;
  using std::chrono::microseconds;
  auto now = std::chrono::system_clock::now().time_since_epoch() + aOffset;
  return static_cast<Incarnation>(duration_cast<microseconds>(now).count());
}

} // namespace heatherplank
