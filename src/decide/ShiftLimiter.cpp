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
  auto [it, fresh] = mHeld.try_emplace(aHost, Held{ 1.0, aNow });
  Held& held = it->second;
  if (fresh) {
    return held.mShare;
  }
  const std::chrono::duration<double> elapsed = aNow - held.mAt;
  const double step = std::exp(mLogPerSecond * std::max(0.0, elapsed.count()));
  held.mShare = std::clamp(aTarget, held.mShare / step, held.mShare * step);
  held.mAt = aNow;
  return held.mShare;
}

} // namespace heatherplank
