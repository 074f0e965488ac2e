#pragma once

#include <cstdint>
#include <vector>

#include "include/heatherplank/Clock.h"
#include "src/decide/SlotLending.h"

namespace heatherplank {

/** A request that holds a slot. */
struct RunningSlot
{
  RequestId mId = 0;
  std::uint16_t mClass = 0;
  std::uint32_t mSize = 0;
  Time mStartedAt;
  Time mArrival;
};

/** The input of a wait estimate. Doesn't own its parts; valid while they exist.
 */
struct HostView
{
  ClassStates mClasses;
  std::span<const RunningSlot> mRunning;
  std::uint32_t mSlots = 1;
  ClassOrder mOrder = ClassOrder::Importance;
  /** No request is dispatched before this time. */
  Time mPausedUntil;
};

/** The expected number of slots for a class: the slots it can hold less the
 * recent use by classes of higher priority. At least a twentieth of a slot, so
 * that a wait is finite. */
double ExpectedSlots(const HostView& aHost, std::size_t aClass, Time aNow);

/** The expected wait of a request with aAhead requests of its class ahead of
 * it. Includes running requests, queued requests that go first, and requests
 * that classes of higher priority will add meanwhile, extrapolated from their
 * recent use. */
Duration ExpectedWait(const HostView& aHost, std::size_t aClass,
                      std::uint32_t aAhead, Time aNow);

/** The expected interval between dispatches of the class while all slots are
 * busy. */
Duration ExpectedInterval(const HostView& aHost, std::size_t aClass, Time aNow);

} // namespace heatherplank
