#include "src/passthrough/WorkInProgress.h"

#include <algorithm>

namespace heatherplank {

void WorkInProgress::Begin(const FlowKey& aFlow, Time aNow, Time aUntil)
{
  auto it = mWork.try_emplace(aFlow).first;
  it->second = { aNow, aUntil, Size() - 1 };
}

WorkInProgress::Ended WorkInProgress::End(const FlowKey& aFlow, Time aNow)
{
  auto it = mWork.find(aFlow);
  if (it == mWork.end()) {
    return {};
  }
  Ended out{ std::max(aNow - it->second.mSince, Duration(1)),
             it->second.mAhead };
  mWork.erase(it);
  return out;
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
