#pragma once

#include <optional>

#include "include/heatherplank/Clock.h"
#include "src/passthrough/RouteServices.h"
#include "src/wire/InventoryMessages.h"

namespace heatherplank {

/** What an agent has been told of the routes that left its service, kept for
 * balancers that start: see PastServiceNotices. No I/O or clock access; not
 * thread safe. */
class PastServiceMemory
{
public:
  /** aRetention: the lifetime of a flow. */
  PastServiceMemory(ServiceId aService, Duration aRetention)
    : mService(aService)
    , mServices(aRetention)
  {
  }

  /** A balancer's list for this agent's service; others are ignored. */
  void OnList(const PastServices& aList, Time aNow)
  {
    if (aList.mService != mService) {
      return;
    }
    mServices.OnPeer(aList.mServices, aNow);
    mKnownSince = EarlierOf(mKnownSince, aNow - aList.mKnownFor);
  }

  /** The answer to a balancer's request. */
  PastServices List(Time aNow) const
  {
    return { mService, 0, mKnownSince ? aNow - *mKnownSince : Duration{},
             mServices.ListPast(aNow, mService) };
  }

  /** Call about every 50 ms. */
  void OnTick(Time aNow) { mServices.OnTick(aNow); }

private:
  const ServiceId mService;
  RouteServices mServices;
  /** Since when a balancer that told this agent has followed the routes. */
  std::optional<Time> mKnownSince;
};

} // namespace heatherplank
