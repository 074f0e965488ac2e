#include "src/steer/ServiceView.h"

#include <algorithm>
#include <utility>

namespace heatherplank {

namespace {

std::vector<Member> SortedByHost(std::vector<Member> aMembers)
{
  std::sort(aMembers.begin(), aMembers.end());
  return aMembers;
}

} // namespace

ServiceView::ServiceView(ServiceId aService, std::uint64_t aVersion,
                         std::vector<Member> aMembers, std::size_t aScanLimit)
  : mService(aService)
  , mVersion(aVersion)
  , mMembers(SortedByHost(std::move(aMembers)))
  , mRanks(mMembers, aScanLimit)
{
}

const Member* ServiceView::Find(HostId aHost) const
{
  auto it = std::lower_bound(
    mMembers.begin(), mMembers.end(), aHost,
    [](const Member& aLeft, HostId aRight) { return aLeft.mHost < aRight; });
  return it != mMembers.end() && it->mHost == aHost ? &*it : nullptr;
}

RankedMembers ServiceView::Ranked(std::uint64_t aFlowHash) const
{
  RankedMembers out;
  for (std::uint16_t it : mRanks.Best(aFlowHash)) {
    out.push_back(&mMembers[it]);
  }
  return out;
}

std::vector<const Member*> ServiceView::RankedByScan(std::uint64_t aFlowHash,
                                                     std::size_t aCount) const
{
  std::vector<const Member*> out;
  for (std::uint16_t it : mRanks.BestByScan(aFlowHash, aCount)) {
    out.push_back(&mMembers[it]);
  }
  return out;
}

RankedMembers ServiceView::Candidates(std::uint64_t aFlowHash,
                                      std::size_t aCount) const
{
  RankedMembers out;
  for (std::uint16_t it : mRanks.BestAdoptable(aFlowHash, aCount)) {
    out.push_back(&mMembers[it]);
  }
  return out;
}

const Member* ServiceView::Arbiter(std::uint64_t aFlowHash) const
{
  std::uint16_t first = mRanks.First(aFlowHash);
  return first == RankTable::kNoMember ? nullptr : &mMembers[first];
}

std::size_t ServiceView::MemoryUse() const
{
  return sizeof(*this) + mMembers.capacity() * sizeof(Member) +
         mRanks.MemoryUse();
}

ServiceViewPtr MakeServiceView(ServiceId aService, std::uint64_t aVersion,
                               std::vector<Member> aMembers,
                               std::size_t aScanLimit)
{
  return ServiceViewPtr(
    new ServiceView(aService, aVersion, std::move(aMembers), aScanLimit));
}

} // namespace heatherplank
