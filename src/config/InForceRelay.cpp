#include "src/config/InForceRelay.h"

#include <utility>

namespace heatherplank {

InForceRelay::InForceRelay(OnChange aOnChange)
  : mOnChange(std::move(aOnChange))
{
}

/** ConfigDistribution never reverts, but its actions are executed after its
 * lock was released. Two threads with version 5 and version 6 may call this in
 * the reverse order, and the process would route by version 5 until the next
 * change. The check and the call share one lock, so the higher version stays in
 * force.
 */
void InForceRelay::Deliver(const ConfigurationPtr& aConfiguration)
{
  std::lock_guard lock(mLock);
  if (aConfiguration->mVersion <= mVersion) {
    return;
  }
  mVersion = aConfiguration->mVersion;
  mOnChange(aConfiguration);
}

} // namespace heatherplank
