#pragma once

#include <array>
#include <cstdint>

#include "include/heatherplank/Clock.h"

namespace heatherplank {

/** A moving mean of observed times and of their deviation from it. */
class TimeEstimate
{
public:
  /** Takes an observation; the first one is the mean. */
  void Observe(Duration aTime);

  Duration Mean() const { return mMean; }
  Duration Deviation() const { return mDeviation; }
  std::uint32_t Count() const { return mCount; }

private:
  Duration mMean{};
  Duration mDeviation{};
  std::uint32_t mCount = 0;
};

/** What a class's requests take at this host, from the answers seen here.
 *
 * Load it answers: work whose length nobody states, on hosts whose speed
 * changes. Without it a queue's length in requests says nothing of the wait.
 * Requests of different size are estimated apart once each size was seen often
 * enough, since in a class with long work among short the common mean is wrong
 * for both.
 *
 * Before the first observation an eighth of the deadline is assumed: a slot
 * then takes a queue of seven, which is little enough that a host which turns
 * out to be slow has not promised much, and enough to learn from.
 *
 * Not thread safe.
 */
class ServiceTimes
{
public:
  /** aDeadline scales the first assumption. Precondition: it is above 0. */
  explicit ServiceTimes(Duration aDeadline);

  /** An answer came after aTime. */
  void Observe(std::uint32_t aSize, Duration aTime);

  /** No answer came within aTime: the true time is at least that. A shorter one
   * says nothing and is ignored. */
  void ObserveAtLeast(std::uint32_t aSize, Duration aTime);

  /** The mean over all sizes. */
  Duration Mean() const;
  /** The mean for a size. */
  Duration Mean(std::uint32_t aSize) const;
  /** Two deviations above the mean for a size: nineteen of twenty answers come
   * within it. */
  Duration High(std::uint32_t aSize) const;
  /** The same over all sizes. */
  Duration High() const;

  /** True until something was observed. */
  bool IsCold() const { return mAll.Count() == 0; }

private:
  const TimeEstimate& For(std::uint32_t aSize) const;
  Duration HighOf(const TimeEstimate& aEstimate) const;

  Duration mAssumed;
  TimeEstimate mAll;
  std::array<TimeEstimate, 8> mBySize;
};

} // namespace heatherplank
