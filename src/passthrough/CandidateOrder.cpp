#include "src/passthrough/CandidateOrder.h"

#include <algorithm>

namespace heatherplank {

namespace {

/** Best ranked hosts among which further local ones are looked for. */
constexpr std::size_t kMaxLocalScan = 64;

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

/** Adds the best ranked hosts of a data centre that accept new flows, until
 * aInOut has kLocalCandidates of them. */
void AddLocalHosts(const ServiceView& aView, std::uint64_t aFlowHash,
                   DataCentreId aDataCentre, std::vector<const Member*>& aInOut)
{
  auto isLocal = [&](const Member* aIt) {
    return aIt->mDataCentre == aDataCentre;
  };
  auto localCount = std::ranges::count_if(aInOut, isLocal);
  if (aView.Members().size() > kMaxScannedMembers) {
    return;
  }
  for (const Member* it : aView.RankedByScan(aFlowHash, kMaxLocalScan)) {
    if (localCount >= kLocalCandidates) {
      return;
    }
    if (isLocal(it) && CanAdopt(*it) && std::ranges::count(aInOut, it) == 0) {
      aInOut.push_back(it);
      ++localCount;
    }
  }
}

} // namespace

std::vector<const Member*> OrderForPlacement(const ServiceView& aView,
                                             std::uint64_t aFlowHash,
                                             const OrderInputs& aInputs)
{
  auto ranked = aView.Candidates(aFlowHash, kRankDepth);
  std::vector<const Member*> out(ranked.begin(), ranked.end());
  AddLocalHosts(aView, aFlowHash, aInputs.mDataCentre, out);
  return Order(std::move(out), aInputs);
}

} // namespace heatherplank
