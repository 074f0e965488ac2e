#pragma once

#include <algorithm>

#include "include/heatherplank/Clock.h"

namespace heatherplank {

/** How long to wait for a word on an opening packet, from how long such words
 * take: the smoothed mean and four times the mean deviation, as a
 * retransmission timeout is worked out (RFC 6298).
 *
 * Load it answers: a balancer behind a thin link, or with a small share of a
 * core, to which uploads come in windows of sixteen packets: its opening packets
 * and their answers wait behind them. Judged by a fixed 30 ms, hosts that answer
 * were called silent, and each such flow was offered to a second host, whose
 * slot it took for nothing.
 *
 * Not thread safe.
 */
class AnswerTimeout
{
public:
  /** A walk of the candidates takes some 5 ms. Above that lie the pauses of
   * hosts whose share of a core is small. */
  static constexpr Duration kLeast = std::chrono::milliseconds(30);
  /** Callers repeat an opening packet after 200 ms; a flow that is offered
   * again must be placed before that. */
  static constexpr Duration kMost = std::chrono::milliseconds(120);
  /** Weights of one more time in the mean and in the deviation (RFC 6298). */
  static constexpr int kMeanWeight = 8;
  static constexpr int kDeviationWeight = 4;
  static constexpr int kDeviations = 4;

  /** A word came aTook after its packet was sent. Take it also for one that had
   * been given up on, or a path that became slow is never learnt. */
  void Learn(Duration aTook)
  {
    Duration error = aTook > mMean ? aTook - mMean : mMean - aTook;
    mDeviation += (error - mDeviation) / kDeviationWeight;
    mMean += (aTook - mMean) / kMeanWeight;
  }

  Duration Get() const
  {
    return std::clamp(mMean + kDeviations * mDeviation, kLeast, kMost);
  }

private:
  Duration mMean{};
  Duration mDeviation{};
};

} // namespace heatherplank
