#pragma once

#include <memory>
#include <mutex>
#include <set>

#include "include/heatherplank/Clock.h"
#include "src/decide/HostLoad.h"
#include "src/steer/ServiceView.h"

namespace heatherplank {

class OutlierDetector;

/** Which hosts of the service fail, by the results that their agents saw.
 * Thread safe, by its own lock.
 */
class Outliers
{
public:
  Outliers();
  ~Outliers();

  /** Takes the present view: hosts that left count no more. */
  void OnView(const ServiceView& aView);

  /** Takes a host's figures, this one's own too. */
  void OnFigures(HostId aHost, const HostLoad& aLoad, Time aNow);

  /** True while the host should get no new flow. */
  bool IsOut(HostId aHost, Time aNow) const;

private:
  mutable std::mutex mLock;
  std::unique_ptr<OutlierDetector> mDetector;
  std::set<HostId> mHosts;
};

} // namespace heatherplank
