#pragma once

#include <map>
#include <memory>
#include <mutex>

#include "include/heatherplank/Clock.h"
#include "src/steer/ServiceView.h"

namespace heatherplank {

class SlowStart;

/** Tells the slow start which hosts came up while this agent looked on. The
 * weight stays out of the rendezvous rank, since a rank that grows for ten
 * seconds would move arbiters about for ten seconds. Thread safe, by its own
 * lock.
 */
class SlowStarts
{
public:
  SlowStarts();
  ~SlowStarts();

  /** Takes the present view. */
  void OnView(const ServiceView& aView, Time aNow);

  /** The share of work that a host may get, above 0 to 1. */
  double Share(HostId aHost, Time aNow) const;

private:
  mutable std::mutex mLock;
  std::unique_ptr<SlowStart> mSlowStart;
  std::map<HostId, Incarnation> mKnown;
  bool mHasView = false;
};

} // namespace heatherplank
