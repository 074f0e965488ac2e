#pragma once

#include <functional>
#include <memory>
#include <string>
#include <string_view>
#include <vector>

#include "src/decide/BalancingPolicy.h"
#include "src/steer/OwnerPolicy.h"

namespace heatherplank {

/** Chooses owners of new flows by the balancing policy in force and the last
 * reported load of the candidates. Not thread safe: one instance per shard.
 */
class OwnerPicker final : public OwnerPolicy
{
public:
  /** Returns the load and weight of a member. Called under the shard's lock. */
  using CandidateFactory = std::function<Candidate(const Member&, Time)>;

  OwnerPicker(CandidateFactory aMakeCandidate, std::uint64_t aSeed);

  /** Switches to the named policy. Returns false and changes nothing if the
   * name is unknown. */
  bool SetPolicy(std::string_view aName);

  std::size_t Pick(std::span<const Member* const> aCandidates,
                   std::uint64_t aFlowHash, Time aNow) override;

private:
  CandidateFactory mMakeCandidate;
  std::uint64_t mSeed;
  std::string mName;
  std::unique_ptr<BalancingPolicy> mPolicy;
  std::vector<Candidate> mCandidates;
};

} // namespace heatherplank
