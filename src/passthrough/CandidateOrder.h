#pragma once

#include <cstddef>
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

/** Minimum number of local hosts that are offered a new flow before hosts of
 * other data centres, if there are so many.
 *
 * Load: many data centres share a service, so only a few of the best ranked
 * hosts are local. While these happen to be busy, a flow would go to another
 * data centre for its lifetime, although most local hosts have free slots. */
constexpr std::ptrdiff_t kLocalCandidates = 8;

/** Services with more members get no further local candidates, since finding
 * them costs a scan of all members for every opening packet. */
constexpr std::size_t kMaxScannedMembers = 256;

/** Returns the hosts that may accept a new flow: the best ranked ones, and up
 * to kLocalCandidates local ones. Thread safe if aInputs is. */
std::vector<const Member*> OrderForPlacement(const ServiceView& aView,
                                             std::uint64_t aFlowHash,
                                             const OrderInputs& aInputs);

} // namespace heatherplank
