#include "src/passthrough/HostExclusion.h"

#include <utility>

namespace heatherplank {

bool HostExclusion::SetHasMissedRoutes(bool aHasMissed)
{
  return std::exchange(mHasMissedRoutes, aHasMissed) != aHasMissed;
}

void HostExclusion::OnOldestHost(std::optional<Duration> aAge, Time aNow)
{
  if (aAge) {
    mFirstHostStart = EarlierOf(mFirstHostStart, aNow - *aAge);
  } else {
    mHasHostOfUnknownAge = true;
  }
}

/** Whether this balancer has known the routes since a host started, or for the
 * lifetime of a flow. After a common power loss of all hosts and balancers it
 * may have known them a moment later. */
bool HostExclusion::KnowsRoutesSince(Time aHostStartedAt, Time aNow) const
{
  if (*mRoutesKnownSince <= aHostStartedAt ||
      aNow - *mRoutesKnownSince >= mFlowLifetime + kRoutePropagationTime) {
    return true;
  }
  if (!mGuards.mCheckCommonStart) {
    return *mRoutesKnownSince - aHostStartedAt <= kMaxStartSpread;
  }
  return mFirstHostStart && !mHasHostOfUnknownAge &&
         *mRoutesKnownSince - *mFirstHostStart <= kMaxStartSpread;
}

std::optional<Time> HostExclusion::ExcludableAt(Time aHostStartedAt,
                                                Time aAgentStartedAt,
                                                Time aNow) const
{
  if (!mRoutesKnownSince || (mGuards.mCheckMissedRoutes && mHasMissedRoutes) ||
      (mGuards.mCheckHostAge && !KnowsRoutesSince(aHostStartedAt, aNow))) {
    return std::nullopt;
  }
  return mGuards.mCheckAgentAge ? aAgentStartedAt + kRoutePropagationTime
                                : aNow;
}

} // namespace heatherplank
