#include "src/balancer/ServiceViews.h"

namespace heatherplank {

void ServiceViews::Set(std::span<const MemberViewPtr> aViews,
                       std::span<const ServiceId> aServices)
{
  for (std::size_t i = 0; i < aServices.size(); ++i) {
    Held& held = mViews[aServices[i]];
    if (held.mView && held.mView->Version() > aViews[i]->mVersion) {
      continue;
    }
    held.mView = MakeServiceView(aServices[i], aViews[i]->mVersion,
                                 aViews[i]->mMembers, mScanLimit);
    held.mSuspects = aViews[i]->mSuspects;
  }
}

const ServiceViews::Held* ServiceViews::Find(ServiceId aService) const
{
  auto it = mViews.find(aService);
  return it == mViews.end() ? nullptr : &it->second;
}

} // namespace heatherplank
