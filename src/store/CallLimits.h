#pragma once

#include <cstdint>
#include <random>

#include "include/heatherplank/Clock.h"

namespace heatherplank {

/** Limits how often a process calls the platform. Without it, a process with
 * failing calls or many requests would use up the platform's rate limits, which
 * other processes need for their grants. No I/O or clock access; not thread
 * safe.
 */
class TokenBucket
{
public:
  /** Preconditions: aPerSecond and aBurst above 0. Starts full. */
  TokenBucket(double aPerSecond, double aBurst, Time aNow);

  /** Takes one token; false if there is none. */
  bool TryTake(Time aNow);

  /** When the next token is available, not before aNow. */
  Time NextAt(Time aNow) const;

private:
  void Refill(Time aNow);

  double mPerSecond;
  double mBurst;
  double mTokens;
  Time mRefilledAt;
};

/** Exponential back-off with full jitter: each pause is uniformly random
 * between 0 and a bound that doubles. After an outage of the platform, callers
 * with equal pauses would all retry at once and overload it again; random
 * pauses spread them over the bound. The same seed gives the same pauses. No
 * I/O or clock access; not thread safe.
 */
class Backoff
{
public:
  Backoff(Duration aInitial, Duration aMax, std::uint64_t aSeed);

  /** Returns the pause after a failure, and doubles the bound up to aMax. */
  Duration Next();

  /** Sets the bound back to aInitial, after a success. */
  void Reset();

private:
  Duration mInitial;
  Duration mMax;
  Duration mBound;
  std::mt19937_64 mRandom;
};

} // namespace heatherplank
