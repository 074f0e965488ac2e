#pragma once

#include <cstddef>
#include <span>
#include <vector>

#include "include/heatherplank/Types.h"

namespace heatherplank {

/** Agents that share one search out among the hosts.
 *
 * Failure met: an agent that was just killed is among them; what it was to ask
 * is not asked, and membership misses it only some seconds later. Shown by
 * packets that reach other hosts and never the flow's own. With two, one dead
 * agent hides half of the hosts from one search, and the caller's repeat goes
 * by two others. Each more costs the balancer's link another copy of the
 * packet: eight of them filled links of 10 Mbit/s, and the share of uploads in
 * time fell from 99 to 54 of 100. */
constexpr std::size_t kFanOuts = 2;

/** Walks that each of them begins. A dead agent in a walk ends it and hides the
 * hosts behind it: of 64 hosts, eight walks of eight lose four of them on
 * average. */
constexpr std::size_t kWalksEach = 4;

/** A part of a search: the packet goes to the first host, and from host to host
 * until one holds the flow. */
struct SearchWalk
{
  Address mFirst;
  std::vector<Address> mOthers;
};

/** Deals hosts out to aCount walks in turn, so that each of the first ones
 * heads a walk. Fewer walks if there are fewer hosts. Thread safe. */
std::vector<SearchWalk> DealWalks(std::span<const Address> aHosts,
                                  std::size_t aCount);

} // namespace heatherplank
