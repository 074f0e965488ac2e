#include "src/config/InForceRelay.h"

#include <utility>

namespace heatherplank {

InForceRelay::InForceRelay(OnChange aOnChange)
  : mOnChange(std::move(aOnChange))
{
}

/** ConfigDistribution never steps back, but its actions are carried out after
 * its lock was let go. Two threads that took version 5 and version 6 out of it
 * may get here in the other order, and the process would route by version 5
 * until the next change. The check and the call stand under one lock, so the
 * later number stays.
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
