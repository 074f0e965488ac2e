#include "src/passthrough/PastServiceNotices.h"

#include <algorithm>

namespace heatherplank {

PastServiceNotices::PastServiceNotices(double aLinkBytesPerSecond)
  : mLink(aLinkBytesPerSecond * kLinkShare, aLinkBytesPerSecond * kLinkShare)
{
}

void PastServiceNotices::OnHeartbeat(const Member& aAgent, Time aNow)
{
  Agent& agent = mAgents[aAgent.mHost];
  bool isSame = agent.mIncarnation == aAgent.mIncarnation &&
                agent.mRecipient.mService == aAgent.mService;
  if (!isSame) {
    agent.mRecipient = { aAgent.mControl, aAgent.mService };
    agent.mIncarnation = aAgent.mIncarnation;
    agent.mToldGeneration.reset();
  }
  agent.mHeardAt = aNow;
}

std::optional<PastServiceNotices::Recipient> PastServiceNotices::Next(
  const RouteServices& aServices, Time aNow)
{
  if (mLink.Available(aNow) == 0) {
    return std::nullopt;
  }
  for (auto& [host, agent] : mAgents) {
    std::uint64_t generation = aServices.Generation(agent.mRecipient.mService);
    if (agent.mToldGeneration != generation) {
      agent.mToldGeneration = generation;
      return agent.mRecipient;
    }
  }
  return std::nullopt;
}

void PastServiceNotices::OnTick(Time aNow)
{
  if (aNow - mLastExpiryAt < kAgentTimeout) {
    return;
  }
  mLastExpiryAt = aNow;
  std::erase_if(mAgents, [aNow](const auto& aIt) {
    return aNow - aIt.second.mHeardAt >= kAgentTimeout;
  });
}

} // namespace heatherplank
