#pragma once

#include <algorithm>
#include <cstdint>

#include "include/heatherplank/Clock.h"

namespace heatherplank {

/** How long a host works on a request, from how long its answers take.
 *
 * Failure met: the time of an answer holds the wait in the host's queue. Taken
 * for work, it makes the next wait look longer than it is, so flows are refused
 * that would be served in time, and with nothing placed the estimate never
 * falls again. Shown by refusals with few requests in progress, long after a
 * surge. An answer therefore counts by the rounds that it waited: those ahead
 * of it over the slots. Not thread safe.
 */
class ServiceTime
{
public:
  /** Before the first answer was seen: a usual request of these services. */
  static constexpr Duration kFirst = std::chrono::milliseconds(15);
  /** Weight of one more answer in the moving mean: some 20 answers count. */
  static constexpr int kWeight = 20;
  /** One answer counts for at most so many times the mean: a host that stood
   * still for a second is not slower afterwards. */
  static constexpr int kLargestStep = 4;

  Duration Get() const { return mMean; }

  /** aAhead: requests in progress as this one began, without it. */
  void Learn(Duration aTook, std::uint32_t aAhead, std::uint32_t aSlots)
  {
    std::uint32_t rounds = 1 + aAhead / std::max(aSlots, 1U);
    Duration work = std::min<Duration>(aTook / rounds, kLargestStep * mMean);
    mMean += (work - mMean) / kWeight;
  }

  /** The host started anew. */
  void Reset() { mMean = kFirst; }

private:
  Duration mMean = kFirst;
};

} // namespace heatherplank
