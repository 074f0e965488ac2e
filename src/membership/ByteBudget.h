#pragma once

#include <algorithm>
#include <chrono>
#include <cstddef>

#include "include/heatherplank/Clock.h"

namespace heatherplank {

/** A token bucket of bytes. Not thread safe. */
class ByteBudget
{
public:
  /** aBurst: most bytes saved up. */
  ByteBudget(double aBytesPerSecond, double aBurst)
    : mRate(aBytesPerSecond)
    , mBurst(aBurst)
    , mTokens(aBurst)
  {
  }

  /** Bytes that may be sent now. */
  std::size_t Available(Time aNow)
  {
    double grown = std::chrono::duration<double>(aNow - mAt).count() * mRate;
    mTokens = std::min(mBurst, mTokens + std::max(0.0, grown));
    mAt = aNow;
    return mTokens > 0 ? static_cast<std::size_t>(mTokens) : 0;
  }

  /** Takes bytes; more than there are makes the next ones wait. */
  void Take(std::size_t aBytes) { mTokens -= static_cast<double>(aBytes); }

private:
  double mRate;
  double mBurst;
  double mTokens;
  Time mAt{};
};

} // namespace heatherplank
