#pragma once

#include <algorithm>
#include <cstdint>

#include "include/heatherplank/Clock.h"

namespace heatherplank {

/** Estimates a host's processing time per request from the response times of
 * its answers or, before the first answer, from the callers' latency target.
 *
 * Guards against: a response time includes the wait in the host's queue. Used
 * as processing time, it overestimates the next wait, so flows are refused that
 * would be served in time; with no flow placed, the estimate never falls again.
 * The host then refuses flows with few requests in progress, long after a
 * surge. The response time is therefore divided by the number of rounds: one,
 * plus the requests ahead divided by the slots.
 *
 * Load: a mass return, where most flows are placed before any host has
 * answered. An initial estimate far below the processing time fills each queue
 * so that every answer is late. Callers set targets in proportion to the work
 * that they request, so the initial estimate is a share of the target, and a
 * larger share while the host is cold, as all hosts are then. Not thread safe.
 */
class ServiceTime
{
public:
  static constexpr double kInitialTargetShare = 0.15;
  /** Expected processing time of a cold host relative to a warm one. */
  static constexpr double kColdFactor = 1.5;
  /** Divisor of the exponential moving mean: about 20 answers count. */
  static constexpr int kMeanSamples = 20;
  /** Caps a sample at this multiple of the mean, so that a process stall of one
   * second doesn't make the host look slow afterwards. */
  static constexpr int kMaxStep = 4;

  /** The current estimate; zero before the first SetInitialEstimate. */
  Duration Get() const { return mMean; }

  /** Sets the initial estimate for a request that is about to be placed. No
   * effect once an answer was recorded. */
  void SetInitialEstimate(Duration aTarget, bool aIsCold)
  {
    if (!mHasSample) {
      double share = kInitialTargetShare * (aIsCold ? kColdFactor : 1);
      mMean = std::chrono::duration_cast<Duration>(aTarget * share);
    }
  }

  /** Records an answer. aAhead: other requests in progress when this one began.
   * Ignored before the first SetInitialEstimate: such requests belong to flows
   * from before a restart. */
  void RecordAnswer(Duration aTook, std::uint32_t aAhead, std::uint32_t aSlots)
  {
    if (mMean == Duration::zero()) {
      return;
    }
    mHasSample = true;
    std::uint32_t rounds = 1 + aAhead / std::max(aSlots, 1U);
    Duration work = std::min<Duration>(aTook / rounds, kMaxStep * mMean);
    mMean += (work - mMean) / kMeanSamples;
  }

  /** Call when the host restarted: SetInitialEstimate sets the estimate again.
   */
  void Reset() { mHasSample = false; }

private:
  Duration mMean{};
  bool mHasSample = false;
};

} // namespace heatherplank
