#pragma once

#include <span>
#include <unordered_map>
#include <vector>

#include "src/membership/MemberTable.h"
#include "src/steer/ServiceView.h"

namespace heatherplank {

/** The newest views of services that a balancer was given. Not thread safe. */
class ServiceViews
{
public:
  struct Held
  {
    /** Null until a member was heard of. */
    ServiceViewPtr mView;
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

  /** The view of a service, or null. */
  const Held* Find(ServiceId aService) const;

  const std::unordered_map<ServiceId, Held>& All() const { return mViews; }

private:
  std::size_t mScanLimit;
  std::unordered_map<ServiceId, Held> mViews;
};

} // namespace heatherplank
