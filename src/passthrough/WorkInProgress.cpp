#include "src/passthrough/WorkInProgress.h"

#include <algorithm>

namespace heatherplank {

void WorkInProgress::Begin(const FlowKey& aFlow, Time aNow, Time aExpiresAt,
                           WorkKind aKind)
{
  auto it = mWork.try_emplace(aFlow).first;
  it->second = { aNow, aExpiresAt, Size() - 1, aKind };
}

WorkInProgress::Ended WorkInProgress::End(const FlowKey& aFlow, Time aNow)
{
  auto it = mWork.find(aFlow);
  if (it == mWork.end()) {
    return {};
  }
  auto isOvertaken = [&](const auto& aIt) {
    return aIt.second.mKind == WorkKind::Request &&
           aIt.second.mBeganAt < it->second.mBeganAt;
  };
  Ended out{
    std::max(aNow - it->second.mBeganAt, Duration(1)), it->second.mAhead,
    static_cast<std::uint32_t>(std::ranges::count_if(mWork, isOvertaken))
  };
  mWork.erase(it);
  return out;
}

void WorkInProgress::Expire(Time aNow)
{
  std::erase_if(mWork,
                [&](const auto& aIt) { return aIt.second.mExpiresAt <= aNow; });
}

void WorkInProgress::DropOlderThan(Time aBefore)
{
  std::erase_if(mWork,
                [&](const auto& aIt) { return aIt.second.mBeganAt < aBefore; });
}

} // namespace heatherplank
