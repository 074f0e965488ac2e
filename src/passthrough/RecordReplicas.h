#pragma once

#include <array>
#include <cstddef>
#include <cstdint>
#include <span>
#include <vector>

#include "include/heatherplank/Member.h"
#include "include/heatherplank/Types.h"

namespace heatherplank {

/** A balancer that may be a record replica. After a restart, which changes the
 * incarnation, it has lost its records. */
struct RecordReplica
{
  HostId mHost;
  Incarnation mIncarnation = 0;
  Address mTunnel;

  bool operator==(const RecordReplica&) const = default;
};

/** Selects the record replicas of flows among the balancers of a data centre by
 * rendezvous hashing: each balancer that has the same balancers in view selects
 * the same replicas, and one that is added or removed changes only the replicas
 * of the flows that it is selected for.
 *
 * Immutable; thread safe. */
class RecordReplicas
{
public:
  static constexpr std::size_t kCount = 2;

  /** The replicas of a flow, best first; null where there are fewer. */
  using Selection = std::array<const RecordReplica*, kCount>;

  RecordReplicas() = default;

  /** Selects among aSelf and those of aOthers that are in the same data centre
   * and not leaving. */
  RecordReplicas(const Member& aSelf, std::span<const Member> aOthers);

  /** Valid as long as this object. */
  Selection Of(std::uint64_t aFlowHash) const;

  std::span<const RecordReplica> All() const { return mBalancers; }

  bool operator==(const RecordReplicas&) const = default;

private:
  /** Ordered by mHost. */
  std::vector<RecordReplica> mBalancers;
};

} // namespace heatherplank
