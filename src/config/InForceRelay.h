#pragma once

#include <functional>
#include <mutex>

#include "include/heatherplank/Configuration.h"

namespace heatherplank {

/** Passes configurations that came into force to the rest of the process, each
 * at most once and in the order of their versions. Thread safe.
 */
class InForceRelay
{
public:
  using OnChange = std::function<void(const ConfigurationPtr&)>;

  /** aOnChange is called under the relay's lock and must not call the relay. */
  explicit InForceRelay(OnChange aOnChange);

  /** Passes on a configuration if its version is the highest so far. */
  void Deliver(const ConfigurationPtr& aConfiguration);

private:
  OnChange mOnChange;
  std::mutex mLock;
  std::uint64_t mVersion = 0;
};

} // namespace heatherplank
