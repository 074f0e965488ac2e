#pragma once

#include <cstddef>
#include <span>
#include <vector>

#include "include/heatherplank/Types.h"

namespace heatherplank {

/** Number of agents among which a balancer splits one search.
 *
 * Guards against: one of these agents was just killed, which membership detects
 * only some seconds later. The hosts assigned to it are not queried, and
 * packets reach other hosts but never the one that holds the flow. With two
 * agents, one dead agent hides half of the hosts from one search, and the
 * repeat of the caller goes through two others. Each further agent costs the
 * link of the balancer another copy of the packet: eight of them filled links
 * of 10 Mbit/s, and the share of uploads in time fell from 99 to 54 of 100. */
constexpr std::size_t kFanOutAgents = 2;

/** Number of paths (see SearchPath) that each of the kFanOutAgents agents
 * starts. A dead agent ends its path and hides the hosts behind it: with 64
 * hosts in eight paths of eight, it hides four hosts on average. */
constexpr std::size_t kPathsPerFanOut = 4;

/** A part of a search: the packet goes to mFirst and is forwarded along mOthers
 * until a host holds the flow. */
struct SearchPath
{
  Address mFirst;
  std::vector<Address> mOthers;
};

/** Distributes hosts round-robin over aCount paths, so that each of the first
 * aCount hosts heads a path. Returns fewer paths if there are fewer hosts.
 * Thread safe. */
std::vector<SearchPath> SplitSearch(std::span<const Address> aHosts,
                                    std::size_t aCount);

} // namespace heatherplank
