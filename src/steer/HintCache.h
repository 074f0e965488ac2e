#pragma once

#include <array>
#include <cstddef>
#include <cstdint>
#include <optional>
#include <vector>

#include "include/heatherplank/Types.h"

namespace heatherplank {

/** Who owns a flow, as far as a balancer has heard. */
struct OwnerHint
{
  HostId mHost;
  Incarnation mIncarnation = 0;
};

/** A balancer's memory of flow owners: bounded and safe to lose. A wrong hint
 * costs a hop, never a flow, since the agent that gets the packet checks.
 *
 * Set-associative by the flow's hash: of the flows that meet in a set of four
 * the one that was used longest ago gives way, so that a flood of new flows
 * costs no sweep and no allocation. Not thread safe: one for each shard.
 */
class HintCache
{
public:
  /** Room for aCapacity flows, rounded up to a power of two, at 24 bytes. */
  explicit HintCache(std::size_t aCapacity);

  /** The hint for a flow's hash, or none. */
  std::optional<OwnerHint> Find(std::uint64_t aFlowHash);

  /** Remembers an owner; may push out another flow's hint (counted). */
  void Put(std::uint64_t aFlowHash, const OwnerHint& aOwner);

  /** Forgets a flow, if it is there. */
  void Erase(std::uint64_t aFlowHash);

  /** Hints that gave way to others since the start. */
  std::uint64_t Evictions() const { return mEvictions; }

  /** Bytes that the cache holds. */
  std::size_t MemoryUse() const { return mSets.capacity() * sizeof(Set); }

private:
  static constexpr std::size_t kWays = 4;

  struct Entry
  {
    std::uint64_t mFlowHash = 0;
    OwnerHint mOwner;
  };
  /** The entry that was used last stands first. */
  using Set = std::array<Entry, kWays>;

  Set& SetOf(std::uint64_t aFlowHash);

  std::vector<Set> mSets;
  std::uint64_t mEvictions = 0;
};

} // namespace heatherplank
