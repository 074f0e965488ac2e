#pragma once

#include <cstdint>

#include "include/heatherplank/Clock.h"
#include "include/heatherplank/Types.h"

namespace heatherplank {

/** What an agent tells other agents about its host: its own counts, never what
 * the backend server's endpoints say.
 */
struct HostLoad
{
  /** Requests that wait for a slot. */
  std::uint32_t mQueued = 0;
  /** Slots in use. */
  std::uint32_t mBusy = 0;
  /** Slots that may be used. */
  std::uint32_t mSlots = 1;
  /** Moving average of an answer's time, queue included; zero if none yet. */
  Duration mLatency{};
  /** Moving mean of what requests take in a slot, queue not included; zero if
   * none was seen lately. */
  Duration mServiceTime{};
  /** Moving share (0 to 1) of dispatched requests that failed or timed out. A
   * host that fails fast has short queues; by load alone it would look best. */
  double mFailing = 0;
  /** Results so far that these figures were counted from; the same
   * number again means that nothing new is known. */
  std::uint64_t mResults = 0;
  /** Time since the figures were taken, when they are read. */
  Duration mAge{};
};

/** Requests at the host for each of its slots. */
inline double LoadPerSlot(const HostLoad& aLoad)
{
  const double slots = aLoad.mSlots == 0 ? 1.0 : aLoad.mSlots;
  return (aLoad.mQueued + aLoad.mBusy) / slots;
}

/** A host that could take a request or flow. */
struct Candidate
{
  HostId mHost;
  HostLoad mLoad;
  /** Share of work that it may get: 1 the full one, below 1 during slow start,
   * 0 while it is held out (outlier, draining, no answer). */
  double mWeight = 1.0;
};

} // namespace heatherplank
