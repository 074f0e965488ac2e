#include "src/store/CallLimits.h"

#include <algorithm>

namespace heatherplank {

using Seconds = std::chrono::duration<double>;

TokenBucket::TokenBucket(double aPerSecond, double aBurst, Time aNow)
  : mPerSecond(aPerSecond)
  , mBurst(aBurst)
  , mTokens(aBurst)
  , mAt(aNow)
{
}

void TokenBucket::Refill(Time aNow)
{
  mTokens =
    std::min(mBurst, mTokens + Seconds(aNow - mAt).count() * mPerSecond);
  mAt = aNow;
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
  // Rounded up, so that the token is there at that time.
  auto wait = std::chrono::ceil<Duration>(Seconds(missing / mPerSecond)) +
              std::chrono::microseconds(1);
  return std::max(aNow, mAt + wait);
}

Backoff::Backoff(Duration aFirst, Duration aLongest, std::uint64_t aSeed)
  : mFirst(aFirst)
  , mLongest(aLongest)
  , mBound(aFirst)
  , mRandom(aSeed)
{
}

Duration Backoff::Next()
{
  std::uniform_int_distribution<Duration::rep> pick(0, mBound.count());
  mBound = std::min(mLongest, 2 * mBound);
  return Duration(pick(mRandom));
}

void Backoff::Reset()
{
  mBound = mFirst;
}

} // namespace heatherplank
