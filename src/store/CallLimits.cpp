#include "src/store/CallLimits.h"

#include <algorithm>

namespace heatherplank {

using Seconds = std::chrono::duration<double>;

TokenBucket::TokenBucket(double aPerSecond, double aBurst, Time aNow)
  : mPerSecond(aPerSecond)
  , mBurst(aBurst)
  , mTokens(aBurst)
  , mRefilledAt(aNow)
{
}

void TokenBucket::Refill(Time aNow)
{
  mTokens = std::min(mBurst, mTokens + Seconds(aNow - mRefilledAt).count() *
                                         mPerSecond);
  mRefilledAt = aNow;
}

bool TokenBucket::TryTake(Time aNow)
{
  Refill(aNow);
  if (mTokens < 1) {
    return false;
  }
  mTokens -= 1;
  return true;
}

Time TokenBucket::NextAt(Time aNow) const
{
  double missing = 1 - mTokens;
  if (missing <= 0) {
    return aNow;
  }
  // Rounded up, so that the token is available at the returned time.
  auto wait = std::chrono::ceil<Duration>(Seconds(missing / mPerSecond)) +
              std::chrono::microseconds(1);
  return std::max(aNow, mRefilledAt + wait);
}

Backoff::Backoff(Duration aInitial, Duration aMax, std::uint64_t aSeed)
  : mInitial(aInitial)
  , mMax(aMax)
  , mBound(aInitial)
  , mRandom(aSeed)
{
}

Duration Backoff::Next()
{
  std::uniform_int_distribution<Duration::rep> pick(0, mBound.count());
  mBound = std::min(mMax, 2 * mBound);
  return Duration(pick(mRandom));
}

void Backoff::Reset()
{
  mBound = mInitial;
}

} // namespace heatherplank
