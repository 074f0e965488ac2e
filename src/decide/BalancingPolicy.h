#pragma once

#include <cstddef>
#include <cstdint>
#include <memory>
#include <span>
#include <string_view>
#include <vector>

#include "include/heatherplank/Clock.h"
#include "include/heatherplank/Error.h"
#include "include/heatherplank/HostLoad.h"

namespace heatherplank {

/** Picks the owner of a new flow among its candidates. Flows that have an owner
 * keep it when the policy changes. Not thread safe.
 */
class BalancingPolicy
{
public:
  virtual ~BalancingPolicy() = default;

  /** The name by which operators select the policy. */
  virtual std::string_view Name() const = 0;

  /** The index of the owner. aCandidates are in rendezvous order; candidates of
   * weight 0 are skipped unless all have weight 0. aFlow is the hash of the
   * flow. Precondition: at least one candidate. */
  virtual std::size_t Pick(std::uint64_t aFlow,
                           std::span<const Candidate> aCandidates,
                           Time aNow) = 0;
};

/** The names that MakeBalancingPolicy accepts. */
std::span<const std::string_view> BalancingPolicyNames();

/** Makes a policy by name ("random", "rendezvous", "two-choices",
 * "least-latency"); InvalidInput for another name. The same seed gives the
 * same picks. */
Result<std::unique_ptr<BalancingPolicy>> MakeBalancingPolicy(
  std::string_view aName, std::uint64_t aSeed);

} // namespace heatherplank
