#include "src/passthrough/RecordReplicas.h"

#include <algorithm>

namespace heatherplank {

RecordReplicas::RecordReplicas(const Member& aSelf,
                               std::span<const Member> aOthers)
{
  mBalancers.push_back({ aSelf.mHost, aSelf.mIncarnation, aSelf.mTunnel });
  for (const Member& it : aOthers) {
    if (it.mDataCentre == aSelf.mDataCentre &&
        it.mState != HostState::Leaving) {
      mBalancers.push_back({ it.mHost, it.mIncarnation, it.mTunnel });
    }
  }
  std::ranges::sort(mBalancers, {}, &RecordReplica::mHost);
}

RecordReplicas::Selection RecordReplicas::Of(std::uint64_t aFlowHash) const
{
  Selection out{};
  std::array<std::uint64_t, kCount> scores{};
  for (const RecordReplica& it : mBalancers) {
    std::uint64_t score = MixHash(it.mHost.mValue, aFlowHash);
    if (out[0] == nullptr || score > scores[0]) {
      out = { &it, out[0] };
      scores = { score, scores[0] };
    } else if (out[1] == nullptr || score > scores[1]) {
      out[1] = &it;
      scores[1] = score;
    }
  }
  return out;
}

} // namespace heatherplank
