#pragma once

#include <map>
#include <memory>
#include <mutex>

#include "include/heatherplank/Clock.h"
#include "src/steer/ServiceView.h"

namespace heatherplank {

class SlowStart;

/** Starts the slow start of hosts that start while this agent runs. The weight
 * is no part of the rendezvous rank: a rank that grows for ten seconds would
 * move arbiters between hosts for ten seconds. Thread safe.
 */
class SlowStartTracker
{
public:
  SlowStartTracker();
  ~SlowStartTracker();

  /** Detects started hosts by new incarnations in the view. */
  void OnView(const ServiceView& aView, Time aNow);

  /** The share of work that a host may get; above 0, at most 1. */
  double Share(HostId aHost, Time aNow) const;

private:
  mutable std::mutex mLock;
  std::unique_ptr<SlowStart> mSlowStart;
  std::map<HostId, Incarnation> mKnown;
  bool mHasView = false;
};

} // namespace heatherplank
