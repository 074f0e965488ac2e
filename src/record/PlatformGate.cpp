#include "src/record/PlatformGate.h"

#include <algorithm>

namespace heatherplank {

namespace {

double Seconds(Duration aDuration)
{
  return std::chrono::duration<double>(aDuration).count();
}

} // namespace

PlatformGate::PlatformGate(const PlatformGateOptions& aOptions,
                           std::uint64_t aSeed)
  : mOptions(aOptions)
  , mRandom(aSeed)
  , mWrites{ aOptions.mWritesPerSecond, aOptions.mBurst, {} }
  , mReads{ aOptions.mReadsPerSecond, aOptions.mBurst, {} }
  , mBackoff(aOptions.mInitialBackoff)
{
}

double PlatformGate::AvailableTokens(const Bucket& aBucket, Time aNow) const
{
  double refilled =
    aBucket.mTokens + Seconds(aNow - aBucket.mAt) * aBucket.mRate;
  return std::min(refilled, mOptions.mBurst);
}

bool PlatformGate::TakeToken(Bucket& aBucket, Time aNow)
{
  double tokens = AvailableTokens(aBucket, aNow);
  if (tokens < 1) {
    return false;
  }
  aBucket.mTokens = tokens - 1;
  aBucket.mAt = aNow;
  return true;
}

bool PlatformGate::Admit(bool aIsWrite, Time aNow)
{
  if (Refuses(aNow)) {
    return false;
  }
  if (!TakeToken(aIsWrite ? mWrites : mReads, aNow)) {
    return false;
  }
  mProbing = mOpen;
  return true;
}

void PlatformGate::OnAnswer(Duration aDuration, Time aNow)
{
  mSmoothedLatency = (mSmoothedLatency * 7 + aDuration) / 8;
  mLastAnswerAt = aNow;
  mFailures = 0;
  mOpen = false;
  mProbing = false;
  mBackoff = mOptions.mInitialBackoff;
}

void PlatformGate::OnFailure(Time aNow)
{
  ++mFailures;
  if (mOpen && !mProbing) {
    // This call was started before the breaker opened; its failure must not
    // extend the backoff.
    return;
  }
  mProbing = false;
  if (mFailures < mOptions.mFailuresToOpen) {
    return;
  }
  mOpen = true;
  mProbeAt = aNow + Jitter(mBackoff);
  mBackoff = std::min(mBackoff * 2, mOptions.mMaxBackoff);
}

Duration PlatformGate::RetryAfter(Time aNow)
{
  Duration untilProbe =
    mOpen ? std::max(Duration{}, mProbeAt - aNow) : Duration{};
  return untilProbe + Jitter(mBackoff);
}

Duration PlatformGate::ExpectedCallDuration(bool aIsWrite, Time aNow) const
{
  const Bucket& bucket = aIsWrite ? mWrites : mReads;
  double missing = std::max(0.0, 1 - AvailableTokens(bucket, aNow));
  auto wait = std::chrono::duration<double>(missing / bucket.mRate);
  auto idleSeconds = static_cast<int>(Seconds(aNow - mLastAnswerAt));
  Duration latency =
    mSmoothedLatency / (std::int64_t{ 1 } << std::clamp(idleSeconds, 0, 30));
  return latency + std::chrono::duration_cast<Duration>(wait);
}

Duration PlatformGate::Jitter(Duration aMax)
{
  std::uniform_int_distribution<Duration::rep> pick(aMax.count() / 2,
                                                    aMax.count());
  return Duration(pick(mRandom));
}

} // namespace heatherplank
