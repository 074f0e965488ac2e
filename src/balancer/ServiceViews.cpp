#include "src/balancer/ServiceViews.h"

#include <algorithm>
#include <utility>

namespace heatherplank {

void ServiceViews::Set(std::span<const MemberViewPtr> aViews,
                       std::span<const ServiceId> aServices)
{
  for (std::size_t i = 0; i < aServices.size(); ++i) {
    Entry& entry = mViews[aServices[i]];
    if (entry.mView && entry.mView->Version() > aViews[i]->mVersion) {
      continue;
    }
    entry = MakeEntry(aServices[i], aViews[i]);
  }
}

void ServiceViews::SetDrains(DataCentreDrains aDrains)
{
  mDrains = std::move(aDrains);
  for (auto& [service, entry] : mViews) {
    if (entry.mMembers) {
      entry = MakeEntry(service, entry.mMembers);
    }
  }
}

ServiceViews::Entry ServiceViews::MakeEntry(ServiceId aService,
                                            MemberViewPtr aView) const
{
  std::vector<Member> members = aView->mMembers;
  for (Member& it : members) {
    if (mDrains.Contains(it.mDataCentre)) {
      it.mState = std::max(it.mState, HostState::Draining);
    }
  }
  Entry out;
  out.mView =
    MakeServiceView(aService, aView->mVersion, std::move(members), mScanLimit);
  out.mSuspects = aView->mSuspects;
  out.mMembers = std::move(aView);
  return out;
}

const ServiceViews::Entry* ServiceViews::Find(ServiceId aService) const
{
  auto it = mViews.find(aService);
  return it == mViews.end() ? nullptr : &it->second;
}

} // namespace heatherplank
