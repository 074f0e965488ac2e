#pragma once

#include <span>
#include <unordered_map>
#include <vector>

#include "include/heatherplank/DataCentreDrains.h"
#include "src/membership/MemberTable.h"
#include "src/steer/ServiceView.h"

namespace heatherplank {

/** The newest views of a balancer's services, in which the hosts of drained
 * data centres are draining, whatever state they report. Not thread safe. */
class ServiceViews
{
public:
  struct Entry
  {
    /** Null until a membership view of the service exists. */
    ServiceViewPtr mView;
    /** The membership view that mView was built from. */
    MemberViewPtr mMembers;
    /** Suspected members, which missed recent heartbeats. */
    std::vector<HostId> mSuspects;
  };

  /** See RankTable for aScanLimit. */
  explicit ServiceViews(std::size_t aScanLimit = RankTable::kScanLimit)
    : mScanLimit(aScanLimit)
  {
  }

  /** Updates the views of services; a view that is older than the present one
   * is ignored. aViews and aServices correspond by index. */
  void Set(std::span<const MemberViewPtr> aViews,
           std::span<const ServiceId> aServices);

  /** Sets the drained data centres and rebuilds all views. */
  void SetDrains(DataCentreDrains aDrains);

  /** The view of a service, or null. */
  const Entry* Find(ServiceId aService) const;

  const std::unordered_map<ServiceId, Entry>& All() const { return mViews; }

private:
  Entry MakeEntry(ServiceId aService, MemberViewPtr aView) const;

  std::size_t mScanLimit;
  DataCentreDrains mDrains;
  std::unordered_map<ServiceId, Entry> mViews;
};

} // namespace heatherplank
