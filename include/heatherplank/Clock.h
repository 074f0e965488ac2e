#pragma once

#include <algorithm>
#include <chrono>
#include <optional>

namespace heatherplank {

/** A time on this machine's monotonic clock; not comparable across machines. */
using Time = std::chrono::steady_clock::time_point;

/** A span of time. */
using Duration = std::chrono::steady_clock::duration;

/** Returns the earlier of two times; none if both are absent. Thread safe. */
inline std::optional<Time> EarlierOf(std::optional<Time> aLeft,
                                     std::optional<Time> aRight)
{
  return aLeft && aRight ? std::min(aLeft, aRight) : (aLeft ? aLeft : aRight);
}

/** Interface to the monotonic clock, so that tests can control the time.
 */
class Clock
{
public:
  virtual ~Clock() = default;

  /** Returns the current time. Thread safe. */
  virtual Time Now() const = 0;
};

/** The machine's monotonic clock. Thread safe. */
class SteadyClock final : public Clock
{
public:
  Time Now() const override { return std::chrono::steady_clock::now(); }
};

/** A clock that moves only when Advance is called. Not thread safe. */
class ManualClock final : public Clock
{
public:
  Time Now() const override { return mNow; }

  /** Moves the clock forward. Precondition: aBy is not negative. */
  void Advance(Duration aBy) { mNow += aBy; }

private:
  Time mNow = Time{} + std::chrono::hours(1);
};

} // namespace heatherplank
