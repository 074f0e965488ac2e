#pragma once

#include <functional>
#include <vector>

#include "include/heatherplank/Member.h"
#include "include/heatherplank/Types.h"
#include "src/steer/ServiceView.h"

namespace heatherplank {

/** Inputs to the order in which hosts are offered a new flow or are searched
 * for an existing one.
 *
 * Hosts of the data centre of the balancer come first, then those of other data
 * centres, then suspected hosts. Local hosts are nearer, and a packet is
 * forwarded to another data centre only when no slot is free in the local one,
 * so an even spread costs nothing. Within each group the rendezvous rank of the
 * flow decides. Every balancer computes the same rank without coordination, so
 * another balancer finds the flow along the same candidate list, mostly at the
 * first host. */
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

/** Maximum number of hosts that a search covers, in the rank order of the flow.
 *
 * Guards against: members are added between placement and search and push the
 * host of the flow down its ranks, so that no search reaches the flow. A host
 * among the first eight of a part of the members is among the first 64 of all
 * members if that part was an eighth or more. A search takes about half a
 * millisecond per host, and callers repeat a packet after 200 ms. */
constexpr std::size_t kMaxSearched = 64;

/** Returns the hosts that may hold a flow, including draining hosts. Thread
 * safe if aInputs is. */
std::vector<const Member*> OrderForSearch(const ServiceView& aView,
                                          std::uint64_t aFlowHash,
                                          const OrderInputs& aInputs);

} // namespace heatherplank
