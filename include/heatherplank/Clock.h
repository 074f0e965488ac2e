#pragma once

#include <chrono>

namespace heatherplank {

/** A point on the monotonic clock; never compared between machines. */
using Time = std::chrono::steady_clock::time_point;

/** A span of time. */
using Duration = std::chrono::steady_clock::duration;

/** The runtime's clock behind an interface, so that tests can hold it still.
 */
class Clock
{
public:
  virtual ~Clock() = default;

  /** The present moment. Thread safe. */
  virtual Time Now() const = 0;
};

/** The machine's monotonic clock. Thread safe. */
class SteadyClock final : public Clock
{
public:
  Time Now() const override { return std::chrono::steady_clock::now(); }
};

/** A clock that stands still until it is told to move. Not thread safe. */
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
