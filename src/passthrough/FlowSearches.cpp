#include "src/passthrough/FlowSearches.h"

#include <utility>

namespace heatherplank {

FlowSearches::Decision FlowSearches::OnPacket(const FlowKey& aFlow,
                                              const SteeredPacket& aPacket,
                                              Time aNow)
{
  if (aNow - mLastExpiryAt >= kRetentionDuration) {
    RemoveExpired(aNow);
  }
  auto it = mSearches.find(aFlow);
  if (it == mSearches.end()) {
    if (mSearches.size() < kMaxFlows) {
      mSearches.emplace(aFlow, Search{ aNow, 1, {} });
    }
    return { true, 0 };
  }
  Search& search = it->second;
  if (aNow - search.mStartedAt >= kAnswerTimeout) {
    DropHeld(search);
    search.mStartedAt = aNow;
    return { true, search.mAttempts++ };
  }
  if (search.mHeld.size() < kMaxHeldPerFlow && mHeldTotal < kMaxHeldTotal) {
    search.mHeld.push_back(aPacket);
    ++mHeldTotal;
  }
  return { false, search.mAttempts };
}

std::vector<SteeredPacket> FlowSearches::TakeFound(const FlowKey& aFlow)
{
  auto it = mSearches.find(aFlow);
  if (it == mSearches.end()) {
    return {};
  }
  std::vector<SteeredPacket> out = std::move(it->second.mHeld);
  mHeldTotal -= out.size();
  mSearches.erase(it);
  return out;
}

void FlowSearches::DropHeld(Search& aSearch)
{
  mHeldTotal -= aSearch.mHeld.size();
  aSearch.mHeld.clear();
}

void FlowSearches::RemoveExpired(Time aNow)
{
  mLastExpiryAt = aNow;
  for (auto it = mSearches.begin(); it != mSearches.end();) {
    if (aNow - it->second.mStartedAt < kRetentionDuration) {
      ++it;
      continue;
    }
    DropHeld(it->second);
    it = mSearches.erase(it);
  }
}

} // namespace heatherplank
