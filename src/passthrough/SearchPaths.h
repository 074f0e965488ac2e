#pragma once

#include <cstddef>
#include <span>
#include <vector>

#include "include/heatherplank/Types.h"

namespace heatherplank {

/** Number of paths (see SearchPath) of one search. A dead agent ends its path
 * and hides the hosts behind it; each path costs the sender another copy of the
 * packet. */
constexpr std::size_t kPathsPerSearch = 4;

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
