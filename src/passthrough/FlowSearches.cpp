#include "src/passthrough/FlowSearches.h"

#include <utility>

namespace heatherplank {

FlowSearches::Verdict FlowSearches::OnPacket(const FlowKey& aFlow,
                                             const SteeredPacket& aPacket,
                                             Time aNow)
{
  if (aNow - mForgotAt >= kRememberFor) {
    Forget(aNow);
  }
  auto it = mSearches.find(aFlow);
  if (it == mSearches.end()) {
    if (mSearches.size() < kMostFlows) {
      mSearches.emplace(aFlow, Search{ aNow, 1, {} });
    }
    return { true, 0 };
  }
  Search& search = it->second;
  if (aNow - search.mBeganAt >= kAnswerWithin) {
    DropHeld(search);
    search.mBeganAt = aNow;
    return { true, search.mTimes++ };
  }
  if (search.mHeld.size() < kMostHeld && mHeldInAll < kMostHeldInAll) {
    search.mHeld.push_back(aPacket);
    ++mHeldInAll;
  }
  return { false, search.mTimes };
}

std::vector<SteeredPacket> FlowSearches::TakeFound(const FlowKey& aFlow)
{
  auto it = mSearches.find(aFlow);
  if (it == mSearches.end()) {
    return {};
  }
  std::vector<SteeredPacket> out = std::move(it->second.mHeld);
  mHeldInAll -= out.size();
  mSearches.erase(it);
  return out;
}

void FlowSearches::DropHeld(Search& aSearch)
{
  mHeldInAll -= aSearch.mHeld.size();
  aSearch.mHeld.clear();
}

void FlowSearches::Forget(Time aNow)
{
  mForgotAt = aNow;
  for (auto it = mSearches.begin(); it != mSearches.end();) {
    if (aNow - it->second.mBeganAt < kRememberFor) {
      ++it;
      continue;
    }
    DropHeld(it->second);
    it = mSearches.erase(it);
  }
}

} // namespace heatherplank
