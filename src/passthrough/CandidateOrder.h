#pragma once

#include <functional>
#include <vector>

#include "include/heatherplank/Member.h"
#include "include/heatherplank/Types.h"
#include "src/steer/ServiceView.h"

namespace heatherplank {

/** Inputs to the order in which hosts are offered a new flow.
 *
 * Hosts of the data centre of the balancer come first, then those of other data
 * centres, then suspected hosts. Local hosts are nearer, and a packet is
 * forwarded to another data centre only when no slot is free in the local one,
 * so an even spread costs nothing. Within each group the rendezvous rank of the
 * flow decides. Every balancer computes the same rank without coordination, so
 * a copy of an opening packet that reaches another balancer is mostly offered
 * to the same host first. */
struct OrderInputs
{
  DataCentreId mDataCentre;
  /** Whether the host left an offer unanswered recently (see
   * PlacementWatch::IsSuspected). */
  std::function<bool(HostId)> mIsSuspected;
};

/** Returns the hosts that may accept a new flow. Thread safe if aInputs is. */
std::vector<const Member*> OrderForPlacement(const ServiceView& aView,
                                             std::uint64_t aFlowHash,
                                             const OrderInputs& aInputs);

} // namespace heatherplank
