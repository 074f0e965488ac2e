#pragma once

#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <span>
#include <vector>

#include "include/heatherplank/Clock.h"
#include "src/wire/InventoryMessages.h"

namespace heatherplank {

/** Decides whether a balancer has had every version of the routes that any
 * other one has had in force within the lifetime of a flow. Balancers tell each
 * other these versions.
 *
 * Guards against: routes change twice in quick succession, or just before a
 * balancer starts. It never has the version in between, by which others placed
 * flows at a service that the route has left again.
 *
 * No I/O or clock access; not thread safe. */
class RouteVersions
{
public:
  /** Versions that a notice lists. With more, it says that some are missing. */
  static constexpr std::size_t kMaxListed = 16;

  /** aLifetime: of a flow. */
  explicit RouteVersions(Duration aLifetime)
    : mLifetime(aLifetime)
  {
  }

  /** A version came into force here. */
  void OnInForce(std::uint64_t aVersion, Time aNow);

  /** The versions of a notice of a balancer that has routes. */
  void OnPeer(std::span<const RecentVersion> aVersions, Time aNow);

  /** The versions to list in notices. */
  std::vector<RecentVersion> List(Time aNow);

  /** Whether another balancer has had a version that this one has not. */
  bool HasMissed(Time aNow);

  /** The newest version that another balancer has had and this one has not,
   * although it has had an older one and a newer one; 0 if there is none. */
  std::uint64_t NewestSkipped(Time aNow);

private:
  /** Stands for versions that a notice does not list. */
  static constexpr std::uint64_t kUnlisted = 0;

  void Record(std::uint64_t aVersion, Time aLastInForceAt);
  void Expire(Time aNow);

  const Duration mLifetime;
  std::optional<std::uint64_t> mCurrent;
  /** When each version was last known to be in force at a balancer. */
  std::map<std::uint64_t, Time> mLastInForceAt;
  /** The versions that came into force here. */
  std::set<std::uint64_t> mOwn;
};

} // namespace heatherplank
