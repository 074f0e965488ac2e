#pragma once

#include <cstddef>
#include <cstdint>
#include <span>

#include "include/heatherplank/Clock.h"
#include "include/heatherplank/Member.h"

namespace heatherplank {

/** Chooses the owner of a new flow among its candidates, by the balancing
 * policy in force. Called by one shard at a time.
 */
class OwnerPolicy
{
public:
  virtual ~OwnerPolicy() = default;

  /** The index of the owner in aCandidates, which are in the order of their
   * rank; an index out of range counts as 0. Precondition: aCandidates is not
   * empty. The members are valid during the call only.
   */
  virtual std::size_t Pick(std::span<const Member* const> aCandidates,
                           std::uint64_t aFlowHash, Time aNow) = 0;
};

/** Picks the best rank: rendezvous hashing alone. Thread safe. */
class FirstRankPolicy final : public OwnerPolicy
{
public:
  std::size_t Pick(std::span<const Member* const>, std::uint64_t, Time) override
  {
    return 0;
  }
};

} // namespace heatherplank
