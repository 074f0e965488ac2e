#pragma once

#include <functional>
#include <vector>

#include "include/heatherplank/Member.h"
#include "include/heatherplank/Types.h"
#include "src/steer/ServiceView.h"

namespace heatherplank {

/** In which order hosts are asked to take a flow, or for a flow they may hold.
 *
 * Within a group the rendezvous rank of the flow decides, which every balancer
 * works out alike without being told: a flow that one balancer placed is found
 * by another one by the same walk, mostly with the first host. Hosts of the
 * balancer's own data centre go first: they are nearer, and the walk leaves
 * the data centre only when no slot is free in it, so evenness costs nothing.
 * Hosts that gave no sign of life go last.
 */
struct OrderInputs
{
  DataCentreId mDataCentre;
  /** Whether a host gave no sign of life when it was last needed. */
  std::function<bool(HostId)> mIsSuspect;
};

/** Hosts that may take a new flow. Thread safe if aInputs is. */
std::vector<const Member*> OrderForPlacement(const ServiceView& aView,
                                             std::uint64_t aFlowHash,
                                             const OrderInputs& aInputs);

/** Most hosts that a search walks, in the flow's own order.
 *
 * Failure met: members came between the placement and the search and pushed the
 * flow's host down its ranks; shown by a flow that no walk reaches. A host that
 * stood among the first eight of a part of the members stands among the first
 * 64 of all if that part was an eighth or more. A walk takes about half a
 * millisecond a host, and callers repeat a packet after 200 ms. */
constexpr std::size_t kMostSearched = 64;

/** Hosts that may hold a flow, those that drain too. Thread safe if aInputs
 * is. */
std::vector<const Member*> OrderForSearch(const ServiceView& aView,
                                          std::uint64_t aFlowHash,
                                          const OrderInputs& aInputs);

} // namespace heatherplank
