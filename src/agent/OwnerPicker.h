#pragma once

#include <functional>
#include <memory>
#include <string>
#include <string_view>
#include <vector>

#include "src/decide/BalancingPolicy.h"
#include "src/steer/OwnerPolicy.h"

namespace heatherplank {

/** Chooses owners of new flows by the balancing policy in force and the load
 * that is known of the candidates. Not thread safe: one for each shard.
 */
class OwnerPicker final : public OwnerPolicy
{
public:
  /** What is known of a member, its share of new work included. Called under
   * the shard's lock. */
  using Observe = std::function<Candidate(const Member&, Time)>;

  OwnerPicker(Observe aObserve, std::uint64_t aSeed);

  /** Puts a policy in force; an unknown name changes nothing and gives false.
   */
  bool SetPolicy(std::string_view aName);

  std::size_t Pick(std::span<const Member* const> aCandidates,
                   std::uint64_t aFlowHash, Time aNow) override;

private:
  Observe mObserve;
  std::uint64_t mSeed;
  std::string mName;
  std::unique_ptr<BalancingPolicy> mPolicy;
  std::vector<Candidate> mCandidates;
};

} // namespace heatherplank
