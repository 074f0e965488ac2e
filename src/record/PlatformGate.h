#pragma once

#include <cstdint>
#include <random>

#include "include/heatherplank/Clock.h"

namespace heatherplank {

struct PlatformGateOptions
{
  /** This process's share of the platform's rate limits. */
  double mWritesPerSecond = 300.0 / 7;
  double mReadsPerSecond = 2000.0 / 7;
  /** Capacity of each token bucket, in calls. */
  double mBurst = 16;
  /** Consecutive failures that open the breaker. A single failure may be
   * transient, and a caller's deadline leaves time for about three. */
  std::uint32_t mFailuresToOpen = 3;
  Duration mInitialBackoff = std::chrono::milliseconds(250);
  /** Short, because claims are refused until a probe succeeds, and only agents
   * that receive a never-repeat request send probes. */
  Duration mMaxBackoff = std::chrono::seconds(2);
};

/** Decides when the platform may be called: a token bucket each for reads and
 * writes, and a circuit breaker. No I/O or clock access; not thread safe.
 *
 * Guards against: at the end of an outage all agents call the platform at once
 * and overload it again. An open breaker admits one probe at a time, after a
 * backoff with seeded jitter, and the token buckets limit the calls that
 * follow to the configured rates. */
class PlatformGate
{
public:
  PlatformGate(const PlatformGateOptions& aOptions, std::uint64_t aSeed);

  /** Takes a token for a call; false if the call must wait. While the breaker
   * is open, admits one probe after each backoff. */
  bool Admit(bool aIsWrite, Time aNow);
  /** The platform answered (a conflict counts too); the call took aDuration. */
  void OnAnswer(Duration aDuration, Time aNow);
  /** A call failed, or its answer was lost. */
  void OnFailure(Time aNow);

  bool IsOpen() const { return mOpen; }
  /** True while the breaker admits no call, so that a request that needs the
   * platform should be refused at once. */
  bool Refuses(Time aNow) const
  {
    return mOpen && (mProbing || aNow < mProbeAt);
  }
  /** The Retry-After of a refused caller: the time until the next probe plus
   * jitter, which spreads the retries. */
  Duration RetryAfter(Time aNow);
  /** The expected duration of a call, including the wait for a token. The
   * measured latency is halved for each second without an answer: requests
   * refused for a slow platform make no calls, so the estimate would otherwise
   * never recover. */
  Duration ExpectedCallDuration(bool aIsWrite, Time aNow) const;

private:
  struct Bucket
  {
    double mRate = 0;
    double mTokens = 0;
    Time mAt{};
  };

  double AvailableTokens(const Bucket& aBucket, Time aNow) const;
  bool TakeToken(Bucket& aBucket, Time aNow);
  /** A random duration between aMax / 2 and aMax. */
  Duration Jitter(Duration aMax);

  const PlatformGateOptions mOptions;
  std::mt19937_64 mRandom;
  Bucket mWrites;
  Bucket mReads;
  std::uint32_t mFailures = 0;
  bool mOpen = false;
  bool mProbing = false;
  Duration mBackoff;
  Time mProbeAt{};
  /** Exponential moving average of the call latency, updated at
   * mLastAnswerAt. */
  Duration mSmoothedLatency = std::chrono::milliseconds(5);
  Time mLastAnswerAt{};
};

} // namespace heatherplank
