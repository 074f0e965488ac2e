#include "src/agent/OwnerPicker.h"

#include <utility>

namespace heatherplank {

namespace {

constexpr std::string_view kFirstPolicy = "two-choices";

} // namespace

OwnerPicker::OwnerPicker(Observe aObserve, std::uint64_t aSeed)
  : mObserve(std::move(aObserve))
  , mSeed(aSeed)
{
  SetPolicy(kFirstPolicy);
}

bool OwnerPicker::SetPolicy(std::string_view aName)
{
  if (aName == mName) {
    return true;
  }
  auto policy = MakeBalancingPolicy(aName, mSeed);
  if (!policy) {
    return false;
  }
  mPolicy = std::move(*policy);
  mName = aName;
  return true;
}

std::size_t OwnerPicker::Pick(std::span<const Member* const> aCandidates,
                              std::uint64_t aFlowHash, Time aNow)
{
  mCandidates.clear();
  for (const Member* it : aCandidates) {
    mCandidates.push_back(mObserve(*it, aNow));
  }
  return mPolicy->Pick(aFlowHash, mCandidates, aNow);
}

} // namespace heatherplank
