#pragma once

#include <array>
#include <cstddef>
#include <cstdint>
#include <optional>
#include <vector>

#include "include/heatherplank/Types.h"

namespace heatherplank {

/** The owner of a flow as last reported to a balancer. */
struct OwnerHint
{
  HostId mHost;
  Incarnation mIncarnation = 0;
};

/** A balancer's cache of flow owners: bounded and safe to lose. A wrong hint
 * costs a hop but breaks no flow, since the receiving agent checks.
 *
 * Four-way set-associative by the flow's hash, with least-recently-used
 * eviction within a set, so that a flood of new flows costs neither a sweep nor
 * an allocation. Not thread safe: one per shard.
 */
class HintCache
{
public:
  /** Number of hints in a set. */
  static constexpr std::size_t kWays = 4;

  /** aCapacity: flows, rounded up to a power of two; 24 bytes each. */
  explicit HintCache(std::size_t aCapacity);

  /** The hint for a flow's hash, or none. */
  std::optional<OwnerHint> Find(std::uint64_t aFlowHash);

  /** Stores an owner; may evict another flow's hint. */
  void Put(std::uint64_t aFlowHash, const OwnerHint& aOwner);

  /** Removes the hint of a flow, if there is one. */
  void Erase(std::uint64_t aFlowHash);

  /** Number of evicted hints since the start. */
  std::uint64_t Evictions() const { return mEvictions; }

  /** Number of sets, into which the hints are divided. */
  std::size_t Sets() const { return mSets.size(); }

  /** Calls aVisit(flow's hash, owner) for each hint of a set. Precondition:
   * aSet is below Sets(). */
  template<typename Visit>
  void ForEachInSet(std::size_t aSet, Visit aVisit) const
  {
    for (const Entry& it : mSets[aSet]) {
      if (!it.mOwner.mHost.IsNone()) {
        aVisit(it.mFlowHash, it.mOwner);
      }
    }
  }

  /** Bytes that the cache uses. */
  std::size_t MemoryUse() const { return mSets.capacity() * sizeof(Set); }

private:
  struct Entry
  {
    std::uint64_t mFlowHash = 0;
    OwnerHint mOwner;
  };
  /** Entries in the order of last use, most recent first. */
  using Set = std::array<Entry, kWays>;

  Set& SetOf(std::uint64_t aFlowHash);

  std::vector<Set> mSets;
  std::uint64_t mEvictions = 0;
};

} // namespace heatherplank
