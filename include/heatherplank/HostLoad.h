#pragma once

#include <cstdint>

#include "include/heatherplank/Clock.h"
#include "include/heatherplank/Types.h"

namespace heatherplank {

/** The load that an agent reports about its host to other agents. All values
 * are the agent's own counts, never reports of the backend server's endpoints.
 */
struct HostLoad
{
  /** Queued requests. */
  std::uint32_t mQueued = 0;
  /** Slots in use. */
  std::uint32_t mBusy = 0;
  /** Usable slots. */
  std::uint32_t mSlots = 1;
  /** Moving average of the time to answer, including the queue; zero if there
   * was no answer yet. */
  Duration mLatency{};
  /** Moving mean of the time in a slot, excluding the queue. Zero before the
   * first result; restarts at the first one after a second without any. */
  Duration mServiceTime{};
  /** Moving share (0 to 1) of dispatched requests that failed or timed out. A
   * host that fails fast has short queues; by load alone it would look best. */
  double mFailureRate = 0;
  /** Cumulative number of results that these values were computed from; an
   * unchanged number means that the values are unchanged. */
  std::uint64_t mResultCount = 0;
  /** Age of the values at the time they are read. */
  Duration mAge{};
};

/** Requests on the host per slot. */
inline double LoadPerSlot(const HostLoad& aLoad)
{
  const double slots = aLoad.mSlots == 0 ? 1.0 : aLoad.mSlots;
  return (aLoad.mQueued + aLoad.mBusy) / slots;
}

/** A host that can take a request or flow. */
struct Candidate
{
  HostId mHost;
  HostLoad mLoad;
  /** Share of work that it may get: 1 is the full share, below 1 during slow
   * start, 0 while it is excluded (outlier, draining, unresponsive). */
  double mWeight = 1.0;
};

} // namespace heatherplank
