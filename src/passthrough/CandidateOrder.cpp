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

std::vector<const Member*> OrderForSearch(const ServiceView& aView,
                                          std::uint64_t aFlowHash,
                                          const OrderInputs& aInputs)
{
  auto ranked = aView.Ranked(aFlowHash);
  std::vector<const Member*> first(ranked.begin(), ranked.end());
  auto out = Order(first, aInputs);
  for (const Member* it : aView.RankedByScan(aFlowHash, kMaxSearched)) {
    if (out.size() < kMaxSearched && std::ranges::count(first, it) == 0) {
      out.push_back(it);
    }
  }
  return out;
}

} // namespace heatherplank
