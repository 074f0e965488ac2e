#pragma once

#include <cstdint>
#include <random>

#include "include/heatherplank/Clock.h"

namespace heatherplank {

/** Limits how often a process calls the platform. Without it a process whose
 * calls fail, or that has much to ask, takes the platform's rates from the
 * grants of others. Pure; not thread safe.
 */
class TokenBucket
{
public:
  /** Preconditions: aPerSecond and aBurst above 0. Starts full. */
  TokenBucket(double aPerSecond, double aBurst, Time aNow);

  /** Takes one token if there is one. */
  bool TryTake(Time aNow);

  /** When the next token is there, not before aNow. */
  Time NextAt(Time aNow) const;

private:
  void Refill(Time aNow);

  double mPerSecond;
  double mBurst;
  double mTokens;
  Time mAt;
};

/** Exponential back-off with full jitter: each pause is drawn evenly from 0 to
 * a bound that doubles. When a platform comes back after an outage, callers
 * that paused for the same times would all return at once and bring it down
 * again; drawn pauses spread them over the whole bound. The same seed gives
 * the same pauses. Pure; not thread safe.
 */
class Backoff
{
public:
  Backoff(Duration aFirst, Duration aLongest, std::uint64_t aSeed);

  /** The pause after one more failure. */
  Duration Next();

  /** After a success: the bound is the first again. */
  void Reset();

private:
  Duration mFirst;
  Duration mLongest;
  Duration mBound;
  std::mt19937_64 mRandom;
};

} // namespace heatherplank
