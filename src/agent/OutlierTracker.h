#pragma once

#include <memory>
#include <mutex>
#include <set>

#include "include/heatherplank/Clock.h"
#include "include/heatherplank/HostLoad.h"
#include "src/steer/ServiceView.h"

namespace heatherplank {

class OutlierDetector;

/** Detects failing hosts of the service by the results that their agents
 * report. Thread safe.
 */
class OutlierTracker
{
public:
  OutlierTracker();
  ~OutlierTracker();

  /** Adds and removes hosts by the current view. */
  void OnView(const ServiceView& aView);

  /** Records the reported load of a host, which may be this one. */
  void OnLoadReport(HostId aHost, const HostLoad& aLoad, Time aNow);

  /** True while the host should get no new flows. */
  bool IsEjected(HostId aHost, Time aNow) const;

private:
  mutable std::mutex mLock;
  std::unique_ptr<OutlierDetector> mDetector;
  std::set<HostId> mHosts;
};

} // namespace heatherplank
