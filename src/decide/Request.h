#pragma once

#include <cstdint>

#include "include/heatherplank/Clock.h"

namespace heatherplank {

/** Identifies a request on one host; chosen by the driver and not reused while
 * the request is known. */
using RequestId = std::uint64_t;

/** A request as seen by the admission policy; its class defines the rest. */
struct Request
{
  RequestId mId = 0;
  /** Index into AdmissionOptions::mClasses. */
  std::uint16_t mClass = 0;
  /** How often other hosts forwarded it before. */
  std::uint16_t mHops = 0;
  /** Size of the request in bytes, as a hint; 0 if unknown. */
  std::uint32_t mSize = 0;
  /** Hash of the caller's address or key. */
  std::uint64_t mCaller = 0;
  Time mArrival;
  Time mDeadline;
};

/** How a dispatched request ended. */
enum class RunResult : std::uint8_t
{
  /** Answered; the service time is valid. */
  Answered,
  /** The backend server answered with an error. */
  Failed,
  /** Shed by the backend server: not run. */
  Shed,
  /** The backend server could not be reached: not run. */
  Unreachable,
  /** No answer before the deadline; it may have run. */
  TimedOut,
  /** Ended by the driver: cancelled, or never sent (no grant, host lost). */
  Abandoned,
};

} // namespace heatherplank
