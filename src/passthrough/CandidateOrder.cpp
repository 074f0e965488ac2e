#include "src/passthrough/CandidateOrder.h"

#include <algorithm>

namespace heatherplank {

namespace {

std::vector<const Member*> Order(std::vector<const Member*> aMembers,
                                 const OrderInputs& aInputs)
{
  auto group = [&](const Member* aIt) {
    if (aInputs.mIsSuspected(aIt->mHost)) {
      return 2;
    }
    return aIt->mDataCentre == aInputs.mDataCentre ? 0 : 1;
  };
  std::stable_sort(aMembers.begin(), aMembers.end(),
                   [&](const Member* aLeft, const Member* aRight) {
                     return group(aLeft) < group(aRight);
                   });
  return aMembers;
}

} // namespace

std::vector<const Member*> OrderForPlacement(const ServiceView& aView,
                                             std::uint64_t aFlowHash,
                                             const OrderInputs& aInputs)
{
  auto ranked = aView.Candidates(aFlowHash, kRankDepth);
  return Order({ ranked.begin(), ranked.end() }, aInputs);
}

} // namespace heatherplank
