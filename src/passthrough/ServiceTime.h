#pragma once

#include <algorithm>
#include <cstdint>

#include "include/heatherplank/Clock.h"

namespace heatherplank {

/** How long a host works on a request, from how long its answers take; before
 * the first answer, from the latency target that callers set.
 *
 * Failure met: the time of an answer holds the wait in the host's queue. Taken
 * for work, it makes the next wait look longer than it is, so flows are refused
 * that would be served in time, and with nothing placed the estimate never
 * falls again. Shown by refusals with few requests in progress, long after a
 * surge. An answer therefore counts by the rounds that it waited: those ahead
 * of it over the slots.
 *
 * Pattern: a mass return, where no host has answered yet and most flows are
 * placed before one has. A first guess far below the work fills each queue so
 * that every answer in it is late. Callers set targets in proportion to the
 * work they ask for, so a share of the target is the first guess, and more of
 * it while the host is cold, as all are then. Not thread safe.
 */
class ServiceTime
{
public:
  static constexpr double kShareOfTarget = 0.15;
  /** How many times as long a cold host is expected to work. */
  static constexpr double kColdFactor = 1.5;
  /** Weight of one more answer in the moving mean: some 20 answers count. */
  static constexpr int kWeight = 20;
  /** One answer counts for at most so many times the mean: a host that stood
   * still for a second is not slower afterwards. */
  static constexpr int kLargestStep = 4;

  /** Zero before a request was expected. */
  Duration Get() const { return mMean; }

  /** A request with this latency target is about to be placed. */
  void Expect(Duration aTarget, bool aIsCold)
  {
    if (!mHasLearnt) {
      double share = kShareOfTarget * (aIsCold ? kColdFactor : 1);
      mMean = std::chrono::duration_cast<Duration>(aTarget * share);
    }
  }

  /** aAhead: requests in progress as this one began, without it. Requests that
   * nobody expected, of flows from before a restart, say nothing. */
  void Learn(Duration aTook, std::uint32_t aAhead, std::uint32_t aSlots)
  {
    if (mMean == Duration::zero()) {
      return;
    }
    mHasLearnt = true;
    std::uint32_t rounds = 1 + aAhead / std::max(aSlots, 1U);
    Duration work = std::min<Duration>(aTook / rounds, kLargestStep * mMean);
    mMean += (work - mMean) / kWeight;
  }

  /** The host started anew. */
  void Reset() { mHasLearnt = false; }

private:
  Duration mMean{};
  bool mHasLearnt = false;
};

} // namespace heatherplank
