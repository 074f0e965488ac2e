#include "src/passthrough/WorkInProgress.h"

#include <algorithm>

namespace heatherplank {

void WorkInProgress::Begin(const FlowKey& aFlow, Time aNow, Time aUntil)
{
  auto [it, isNew] = mWork.try_emplace(aFlow, Work{ aNow, aUntil });
  if (!isNew) {
    it->second = { aNow, aUntil };
  }
}

Duration WorkInProgress::End(const FlowKey& aFlow, Time aNow)
{
  auto it = mWork.find(aFlow);
  if (it == mWork.end()) {
    return Duration::zero();
  }
  Duration lasted = aNow - it->second.mSince;
  mWork.erase(it);
  return std::max(lasted, Duration(1));
}

void WorkInProgress::Expire(Time aNow)
{
  std::erase_if(mWork,
                [&](const auto& aIt) { return aIt.second.mUntil <= aNow; });
}

void WorkInProgress::DropOlderThan(Time aBefore)
{
  std::erase_if(mWork,
                [&](const auto& aIt) { return aIt.second.mSince < aBefore; });
}

} // namespace heatherplank
