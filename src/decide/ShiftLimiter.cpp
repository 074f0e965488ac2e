#include "src/decide/ShiftLimiter.h"

#include <algorithm>
#include <chrono>
#include <cmath>

namespace heatherplank {

ShiftLimiter::ShiftLimiter(double aFactorPerSecond)
  : mLogPerSecond(std::log(aFactorPerSecond))
{
}

double ShiftLimiter::Move(HostId aHost, double aTarget, Time aNow)
{
  auto [it, isNew] = mShares.try_emplace(aHost, HostShare{ 1.0, aNow });
  HostShare& entry = it->second;
  if (isNew) {
    return entry.mShare;
  }
  const std::chrono::duration<double> elapsed = aNow - entry.mUpdatedAt;
  const double step = std::exp(mLogPerSecond * std::max(0.0, elapsed.count()));
  entry.mShare = std::clamp(aTarget, entry.mShare / step, entry.mShare * step);
  entry.mUpdatedAt = aNow;
  return entry.mShare;
}

} // namespace heatherplank
