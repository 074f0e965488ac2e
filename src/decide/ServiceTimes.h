#pragma once

#include <array>
#include <cstdint>

#include "include/heatherplank/Clock.h"

namespace heatherplank {

/** A moving mean of observed times and their mean deviation. */
class TimeEstimate
{
public:
  /** Adds an observation; the first one becomes the mean. */
  void Observe(Duration aTime);

  Duration Mean() const { return mMean; }
  Duration Deviation() const { return mDeviation; }
  std::uint32_t Count() const { return mCount; }

private:
  Duration mMean{};
  Duration mDeviation{};
  std::uint32_t mCount = 0;
};

/** The service times of a class on this host, from the answers observed here.
 *
 * Guards against: work of unknown length on hosts of changing speed, where the
 * number of queued requests doesn't determine the wait. Requests of different
 * size are estimated separately once each size has enough observations, since a
 * common mean of long and short work is wrong for both.
 *
 * Before the first observation, an eighth of the deadline is assumed. A slot
 * then admits a queue of seven: few enough to limit the commitments of a host
 * that proves to be slow, and enough to observe its speed.
 *
 * Not thread safe.
 */
class ServiceTimes
{
public:
  /** aDeadline scales the initial assumption. Precondition: it is above 0. */
  explicit ServiceTimes(Duration aDeadline);

  /** Records an answer after aTime. */
  void Observe(std::uint32_t aSize, Duration aTime);

  /** Records that no answer came within aTime, a lower bound of the service
   * time. A time below the mean carries no information and is ignored. */
  void ObserveAtLeast(std::uint32_t aSize, Duration aTime);

  /** The mean over all sizes. */
  Duration Mean() const;
  /** The mean for requests of about aSize bytes. */
  Duration Mean(std::uint32_t aSize) const;
  /** Mean plus two deviations for a size: 19 of 20 answers take at most this
   * time. */
  Duration UpperEstimate(std::uint32_t aSize) const;
  /** Mean plus two deviations over all sizes. */
  Duration UpperEstimate() const;

  /** True until the first observation. */
  bool IsCold() const { return mAll.Count() == 0; }

private:
  const TimeEstimate& EstimateFor(std::uint32_t aSize) const;
  Duration UpperEstimateOf(const TimeEstimate& aEstimate) const;

  Duration mAssumed;
  TimeEstimate mAll;
  std::array<TimeEstimate, 8> mBySize;
};

} // namespace heatherplank
