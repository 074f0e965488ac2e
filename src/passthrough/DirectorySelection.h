#pragma once

#include <algorithm>
#include <cstddef>
#include <cstdint>
#include <span>

#include "include/heatherplank/Member.h"
#include "include/heatherplank/Types.h"

namespace heatherplank {

/** Number of balancers in each data centre that have a directory entry. */
constexpr std::size_t kDirectoryEntriesPerDataCentre = 4;

/** Whether a balancer has a directory entry: the first few of its data centre
 * by a hash of their names. A process that looks for balancers needs any one
 * that is alive. If each had an entry, a fleet that starts would write as many
 * as it has balancers, and listings would grow with it. Thread safe.
 *
 * aOthers: the other balancers in the membership view. */
inline bool HasDirectoryEntry(const Member& aSelf,
                              std::span<const Member> aOthers)
{
  constexpr std::uint64_t kRankSeed = 0x6469726563746f72;
  auto score = [](const Member& aIt) {
    return MixHash(kRankSeed, aIt.mHost.mValue);
  };
  auto ahead = std::ranges::count_if(aOthers, [&](const Member& aIt) {
    return aIt.mDataCentre == aSelf.mDataCentre && score(aIt) > score(aSelf);
  });
  return static_cast<std::size_t>(ahead) < kDirectoryEntriesPerDataCentre;
}

} // namespace heatherplank
