#include "src/record/PlatformGate.h"

#include <algorithm>

namespace heatherplank {

namespace {

double Seconds(Duration aSpan)
{
  return std::chrono::duration<double>(aSpan).count();
}

} // namespace

PlatformGate::PlatformGate(const PlatformGateOptions& aOptions,
                           std::uint64_t aSeed)
  : mOptions(aOptions)
  , mRandom(aSeed)
  , mWrites{ aOptions.mWritesPerSecond, aOptions.mBurst, {} }
  , mReads{ aOptions.mReadsPerSecond, aOptions.mBurst, {} }
  , mBackoff(aOptions.mFirstBackoff)
{
}

double PlatformGate::TokensOf(const Bucket& aBucket, Time aNow) const
{
  double grown = aBucket.mTokens + Seconds(aNow - aBucket.mAt) * aBucket.mRate;
  return std::min(grown, mOptions.mBurst);
}

bool PlatformGate::Take(Bucket& aBucket, Time aNow)
{
  double tokens = TokensOf(aBucket, aNow);
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
  if (!Take(aIsWrite ? mWrites : mReads, aNow)) {
    return false;
  }
  mProbing = mOpen;
  return true;
}

void PlatformGate::OnAnswer(Duration aTook, Time aNow)
{
  mUsual = (mUsual * 7 + aTook) / 8;
  mAnsweredAt = aNow;
  mFailures = 0;
  mOpen = false;
  mProbing = false;
  mBackoff = mOptions.mFirstBackoff;
}

void PlatformGate::OnFailure(Time aNow)
{
  ++mFailures;
  if (mOpen && !mProbing) {
    // A call from before the breaker opened; the backoff counts it already.
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
  Duration rest = mOpen ? std::max(Duration{}, mProbeAt - aNow) : Duration{};
  return rest + Jitter(mBackoff);
}

Duration PlatformGate::ExpectedCall(bool aIsWrite, Time aNow) const
{
  const Bucket& bucket = aIsWrite ? mWrites : mReads;
  double missing = std::max(0.0, 1 - TokensOf(bucket, aNow));
  auto wait = std::chrono::duration<double>(missing / bucket.mRate);
  auto seconds = static_cast<int>(Seconds(aNow - mAnsweredAt));
  Duration usual = mUsual / (std::int64_t{ 1 } << std::clamp(seconds, 0, 30));
  return usual + std::chrono::duration_cast<Duration>(wait);
}

Duration PlatformGate::Jitter(Duration aSpan)
{
  std::uniform_int_distribution<Duration::rep> pick(aSpan.count() / 2,
                                                    aSpan.count());
  return Duration(pick(mRandom));
}

} // namespace heatherplank
