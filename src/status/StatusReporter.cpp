#include "src/status/StatusReporter.h"

#include <algorithm>
#include <utility>

namespace heatherplank {

StatusReporter::StatusReporter(Options aOptions)
  : mOptions(std::move(aOptions))
{
}

void StatusReporter::OnInForce(std::uint64_t aVersion, std::int64_t aWallMs,
                               Time aNow)
{
  mOptions.mProcess.mVersion = aVersion;
  mOptions.mProcess.mInForceSinceMs = aWallMs;
  mChangedAt = mChangedAt.value_or(aNow);
}

PolicyFigures& StatusReporter::Figures(const std::string& aPolicy)
{
  PolicyFigures& out = mFigures[aPolicy];
  out.mName = aPolicy;
  return out;
}

bool StatusReporter::IsDue(Time aNow) const
{
  if (mChangedAt && aNow >= *mChangedAt + mOptions.mChangeDelay) {
    return true;
  }
  Duration period = mFigures.empty() ? mOptions.mMaxPeriod : mOptions.mPeriod;
  return aNow >= mSentAt + period;
}

std::optional<StatusReport> StatusReporter::Tick(Time aNow)
{
  if (!IsDue(aNow)) {
    return std::nullopt;
  }
  mSentAt = aNow;
  mChangedAt.reset();
  StatusReport out;
  out.mProcess = mOptions.mProcess;
  for (auto& it : mFigures) {
    out.mFigures.push_back(std::move(it.second));
  }
  mFigures.clear();
  return out;
}

HostId ChooseStatusAggregator(std::uint32_t aShard,
                              std::span<const HostId> aBalancers)
{
  auto rank = [aShard](HostId aId) { return MixHash(aId.mValue, aShard); };
  auto best = std::ranges::max_element(aBalancers, {}, rank);
  return best == aBalancers.end() ? HostId{} : *best;
}

} // namespace heatherplank
