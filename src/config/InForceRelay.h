#pragma once

#include <functional>
#include <mutex>

#include "include/heatherplank/Configuration.h"

namespace heatherplank {

/** Hands configurations that came into force on to the rest of a process, each
 * once and in order of their versions. Thread safe.
 */
class InForceRelay
{
public:
  using OnChange = std::function<void(const ConfigurationPtr&)>;

  /** aOnChange is called under the relay's lock: it must not call the relay. */
  explicit InForceRelay(OnChange aOnChange);

  /** Hands a configuration on unless the same version or a higher one was. */
  void Deliver(const ConfigurationPtr& aConfiguration);

private:
  OnChange mOnChange;
  std::mutex mLock;
  std::uint64_t mVersion = 0;
};

} // namespace heatherplank
