#include "src/passthrough/FlowSearches.h"

namespace heatherplank {

FlowSearches::Lookup* FlowSearches::Begin(const FlowKey& aFlow,
                                          const SteeredPacket& aPacket,
                                          Time aNow)
{
  if (aNow - mLastExpiryAt >= kRetentionDuration) {
    RemoveOlderThan(kRetentionDuration, aNow);
  }
  auto it = mLookups.find(aFlow);
  if (it == mLookups.end()) {
    if (mLookups.size() >= kMaxFlows &&
        aNow - mLastExpiryAt >= kAnswerTimeout) {
      RemoveOlderThan(kAnswerTimeout, aNow);
    }
    if (mLookups.size() >= kMaxFlows) {
      return nullptr;
    }
    it = mLookups.try_emplace(aFlow).first;
  }
  Lookup& lookup = it->second;
  DropHeld(lookup);
  lookup.mStartedAt = aNow;
  lookup.mStage = Stage::Locating;
  lookup.mFirst = aPacket;
  mByStart.emplace_back(aNow, aFlow);
  return &lookup;
}

bool FlowSearches::OnPacket(const FlowKey& aFlow, const SteeredPacket& aPacket,
                            Time aNow)
{
  auto it = mLookups.find(aFlow);
  bool isRunning =
    it != mLookups.end() && aNow - it->second.mStartedAt < kAnswerTimeout;
  if (!isRunning) {
    return Begin(aFlow, aPacket, aNow) != nullptr;
  }
  Hold(it->second, aPacket);
  return false;
}

bool FlowSearches::OnReturned(const FlowKey& aFlow,
                              const SteeredPacket& aPacket, Time aNow)
{
  const SteeredPacket* first = First(aFlow);
  if (first != nullptr && first->mPacket == aPacket.mPacket) {
    return false;
  }
  return OnPacket(aFlow, aPacket, aNow);
}

bool FlowSearches::BeginQuery(const FlowKey& aFlow)
{
  if (!IsLocating(aFlow)) {
    return false;
  }
  mLookups.at(aFlow).mStage = Stage::Querying;
  return true;
}

bool FlowSearches::IsLocating(const FlowKey& aFlow) const
{
  auto it = mLookups.find(aFlow);
  return it != mLookups.end() && it->second.mStage == Stage::Locating;
}

const SteeredPacket* FlowSearches::First(const FlowKey& aFlow) const
{
  auto it = mLookups.find(aFlow);
  return it == mLookups.end() || !it->second.mFirst ? nullptr
                                                    : &*it->second.mFirst;
}

std::vector<FlowKey> FlowSearches::TakeUnlocated(Time aNow)
{
  std::vector<FlowKey> out;
  while (!mByStart.empty() && aNow - mByStart.front().first >= kLocateTimeout) {
    auto [startedAt, flow] = mByStart.front();
    mByStart.pop_front();
    auto it = mLookups.find(flow);
    if (it != mLookups.end() && it->second.mStage == Stage::Locating &&
        it->second.mStartedAt == startedAt) {
      out.push_back(flow);
    }
  }
  return out;
}

std::optional<Time> FlowSearches::NextAt() const
{
  if (mByStart.empty()) {
    return std::nullopt;
  }
  return mByStart.front().first + kLocateTimeout;
}

std::vector<SteeredPacket> FlowSearches::TakeFound(const FlowKey& aFlow)
{
  auto it = mLookups.find(aFlow);
  if (it == mLookups.end()) {
    return {};
  }
  Lookup& lookup = it->second;
  std::vector<SteeredPacket> out = std::move(lookup.mHeld);
  mHeldTotal -= out.size();
  if (lookup.mStage == Stage::Querying && lookup.mFirst) {
    out.insert(out.begin(), std::move(*lookup.mFirst));
  }
  mLookups.erase(it);
  return out;
}

void FlowSearches::Hold(Lookup& aLookup, const SteeredPacket& aPacket)
{
  bool fits =
    aLookup.mHeld.size() + 1 < kMaxHeldPerFlow && mHeldTotal < kMaxHeldTotal;
  if (fits) {
    aLookup.mHeld.push_back(aPacket);
    ++mHeldTotal;
  }
}

void FlowSearches::DropHeld(Lookup& aLookup)
{
  mHeldTotal -= aLookup.mHeld.size();
  aLookup.mHeld.clear();
  aLookup.mFirst.reset();
}

void FlowSearches::RemoveOlderThan(Duration aAge, Time aNow)
{
  mLastExpiryAt = aNow;
  for (auto it = mLookups.begin(); it != mLookups.end();) {
    if (aNow - it->second.mStartedAt < aAge) {
      ++it;
      continue;
    }
    DropHeld(it->second);
    it = mLookups.erase(it);
  }
}

} // namespace heatherplank
