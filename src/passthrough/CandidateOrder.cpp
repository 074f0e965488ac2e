#include "src/passthrough/CandidateOrder.h"

#include <algorithm>

namespace heatherplank {

namespace {

std::vector<const Member*> Order(const RankedMembers& aRanked,
                                 const OrderInputs& aInputs)
{
  std::vector<const Member*> out(aRanked.begin(), aRanked.end());
  auto group = [&](const Member* aIt) {
    if (aInputs.mIsSuspect(aIt->mHost)) {
      return 2;
    }
    return aIt->mDataCentre == aInputs.mDataCentre ? 0 : 1;
  };
  std::stable_sort(out.begin(), out.end(),
                   [&](const Member* aLeft, const Member* aRight) {
                     return group(aLeft) < group(aRight);
                   });
  return out;
}

} // namespace

std::vector<const Member*> OrderForPlacement(const ServiceView& aView,
                                             std::uint64_t aFlowHash,
                                             const OrderInputs& aInputs)
{
  return Order(aView.Candidates(aFlowHash, kRankDepth), aInputs);
}

std::vector<const Member*> OrderForSearch(const ServiceView& aView,
                                          std::uint64_t aFlowHash,
                                          const OrderInputs& aInputs)
{
  return Order(aView.Ranked(aFlowHash), aInputs);
}

} // namespace heatherplank
