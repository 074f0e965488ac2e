#pragma once

#include <cstdint>
#include <random>

#include "include/heatherplank/Clock.h"

namespace heatherplank {

struct PlatformGateOptions
{
  /** This process's share of the platform's rates. */
  double mWritesPerSecond = 300.0 / 7;
  double mReadsPerSecond = 2000.0 / 7;
  /** Calls that may be made at once after a pause. */
  double mBurst = 16;
  /** Failures in a row that open the breaker: one may be chance, and a
   * caller's deadline leaves time for about three. */
  std::uint32_t mFailuresToOpen = 3;
  Duration mFirstBackoff = std::chrono::milliseconds(250);
  /** Short, since claims are refused until a probe finds the platform up, and
   * few agents probe: those that are asked for a never-repeat request. */
  Duration mMaxBackoff = std::chrono::seconds(2);
};

/** Decides when the platform may be called: a token bucket for each rate, and
 * a circuit breaker. Pure; not thread safe.
 *
 * Failure met: at the end of an outage every agent calls at once and brings
 * the platform down again. It holds since an open breaker lets one probe
 * through at a time, at moments spread by seeded jitter, and the buckets hold
 * what follows within the rates.
 */
class PlatformGate
{
public:
  PlatformGate(const PlatformGateOptions& aOptions, std::uint64_t aSeed);

  /** Takes a token for a call; false if it must wait. While the breaker is
   * open, true once for the probe after the backoff. */
  bool Admit(bool aIsWrite, Time aNow);
  /** The platform answered, be it with a conflict; the call took aTook. */
  void OnAnswer(Duration aTook, Time aNow);
  /** A call failed or its answer was lost. */
  void OnFailure(Time aNow);

  bool IsOpen() const { return mOpen; }
  /** True while no call would be let through: a request that needs the
   * platform is refused at once. */
  bool Refuses(Time aNow) const
  {
    return mOpen && (mProbing || aNow < mProbeAt);
  }
  /** How long a refused caller should stay away, with jitter, so that callers
   * come back spread over the time after the next probe. */
  Duration RetryAfter(Time aNow);
  /** How long a call takes these days, waiting for a token included. What was
   * seen is believed half as much each second, so that requests refused for a
   * slow platform don't keep it slow in our eyes for ever. */
  Duration ExpectedCall(bool aIsWrite, Time aNow) const;

private:
  struct Bucket
  {
    double mRate = 0;
    double mTokens = 0;
    Time mAt{};
  };

  double TokensOf(const Bucket& aBucket, Time aNow) const;
  bool Take(Bucket& aBucket, Time aNow);
  /** Between half of a span and all of it. */
  Duration Jitter(Duration aSpan);

  const PlatformGateOptions mOptions;
  std::mt19937_64 mRandom;
  Bucket mWrites;
  Bucket mReads;
  std::uint32_t mFailures = 0;
  bool mOpen = false;
  bool mProbing = false;
  Duration mBackoff;
  Time mProbeAt{};
  /** Smoothed time of a call, and when it was last fed. */
  Duration mUsual = std::chrono::milliseconds(5);
  Time mAnsweredAt{};
};

} // namespace heatherplank
