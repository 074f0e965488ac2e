#include "src/agent/OwnerPicker.h"

#include <utility>

namespace heatherplank {

namespace {

constexpr std::string_view kDefaultPolicy = "two-choices";

} // namespace

OwnerPicker::OwnerPicker(CandidateFactory aMakeCandidate, std::uint64_t aSeed)
  : mMakeCandidate(std::move(aMakeCandidate))
  , mSeed(aSeed)
{
  SetPolicy(kDefaultPolicy);
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
    mCandidates.push_back(mMakeCandidate(*it, aNow));
  }
  return mPolicy->Pick(aFlowHash, mCandidates, aNow);
}

} // namespace heatherplank
