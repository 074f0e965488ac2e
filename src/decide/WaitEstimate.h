#pragma once

#include <cstdint>
#include <vector>

#include "include/heatherplank/Clock.h"
#include "src/decide/SlotLending.h"

namespace heatherplank {

/** A request in a slot. */
struct RunningSlot
{
  RequestId mId = 0;
  std::uint16_t mClass = 0;
  std::uint32_t mSize = 0;
  Time mSince;
  Time mArrival;
};

/** What a wait is estimated from. A view; valid while its parts stay. */
struct HostView
{
  ClassStates mClasses;
  std::span<const RunningSlot> mRunning;
  std::uint32_t mSlots = 1;
  ClassOrder mOrder = ClassOrder::Importance;
  /** No dispatch before this moment. */
  Time mPausedUntil;
};

/** Slots that a class can count on: those it can hold, less what classes that
 * go before it used lately. At least a twentieth of a slot, so that a wait
 * stays finite. */
double SlotsToCountOn(const HostView& aHost, std::size_t aClass, Time aNow);

/** How long a request waits that has aAhead others of its class before it. It
 * counts what runs, what waits before it, and what classes that go before it
 * will bring meanwhile, going by what they brought lately. */
Duration ExpectedWait(const HostView& aHost, std::size_t aClass,
                      std::uint32_t aAhead, Time aNow);

/** How often the host starts a request of the class, all slots busy. */
Duration ExpectedInterval(const HostView& aHost, std::size_t aClass, Time aNow);

} // namespace heatherplank
