#pragma once

#include <span>
#include <unordered_map>
#include <vector>

#include "include/heatherplank/DataCentreDrains.h"
#include "src/membership/MemberTable.h"
#include "src/steer/ServiceView.h"

namespace heatherplank {

/** The newest views of services that a balancer was given, with the hosts of
 * drained data centres as draining, whatever they say of themselves. Not thread
 * safe. */
class ServiceViews
{
public:
  struct Held
  {
    /** Null until a member was heard of. */
    ServiceViewPtr mView;
    /** What it was made of. */
    MemberViewPtr mMembers;
    /** Members that were not heard of for a moment. */
    std::vector<HostId> mSuspects;
  };

  /** aScanLimit: see RankTable. */
  explicit ServiceViews(std::size_t aScanLimit = RankTable::kScanLimit)
    : mScanLimit(aScanLimit)
  {
  }

  /** Takes views; one that is older than what is held is dropped. */
  void Set(std::span<const MemberViewPtr> aViews,
           std::span<const ServiceId> aServices);

  /** Data centres were drained or taken back. */
  void SetDrains(DataCentreDrains aDrains);

  /** The view of a service, or null. */
  const Held* Find(ServiceId aService) const;

  const std::unordered_map<ServiceId, Held>& All() const { return mViews; }

private:
  Held MakeHeld(ServiceId aService, MemberViewPtr aView) const;

  std::size_t mScanLimit;
  DataCentreDrains mDrains;
  std::unordered_map<ServiceId, Held> mViews;
};

} // namespace heatherplank
