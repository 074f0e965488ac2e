#pragma once

#include <algorithm>
#include <chrono>
#include <cstddef>

#include "include/heatherplank/Clock.h"

namespace heatherplank {

/** A token bucket that limits bytes per second. Not thread safe. */
class ByteBudget
{
public:
  /** aBurst: maximum number of unused bytes that accumulate. */
  ByteBudget(double aBytesPerSecond, double aBurst)
    : mRate(aBytesPerSecond)
    , mBurst(aBurst)
    , mTokens(aBurst)
  {
  }

  /** Refills the bucket; returns the bytes that may be sent now. */
  std::size_t Available(Time aNow)
  {
    double refill = std::chrono::duration<double>(aNow - mAt).count() * mRate;
    mTokens = std::min(mBurst, mTokens + std::max(0.0, refill));
    mAt = aNow;
    return mTokens > 0 ? static_cast<std::size_t>(mTokens) : 0;
  }

  /** Takes bytes; taking more than available delays later sends. */
  void Take(std::size_t aBytes) { mTokens -= static_cast<double>(aBytes); }

private:
  double mRate;
  double mBurst;
  double mTokens;
  Time mAt{};
};

} // namespace heatherplank
