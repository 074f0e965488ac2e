#pragma once

#include <cstdint>

#include "include/heatherplank/Clock.h"

namespace heatherplank {

/** Names a request within one host's decisions; chosen by the driver and never
 * used twice while the first is known. */
using RequestId = std::uint64_t;

/** What the decisions know of a request. Its class says the rest. */
struct Request
{
  RequestId mId = 0;
  /** Index into AdmissionOptions::mClasses. */
  std::uint16_t mClass = 0;
  /** How often it was handed on by other hosts before. */
  std::uint16_t mHops = 0;
  /** Bytes of the request, as a hint; 0 if unknown. */
  std::uint32_t mSize = 0;
  /** Hash of the caller's address or key. */
  std::uint64_t mCaller = 0;
  Time mArrival;
  Time mDeadline;
};

/** How a dispatched request ended. */
enum class RunResult : std::uint8_t
{
  /** Answered; the service time counts. */
  Answered,
  /** Answered by an error of the backend server. */
  Failed,
  /** Shed by the backend server: not run. */
  Shed,
  /** The backend server could not be reached: not run. */
  Unreachable,
  /** No answer in time; it may have run. */
  TimedOut,
  /** Ended by the driver: cancelled, or never sent (no grant, host lost). */
  Abandoned,
};

} // namespace heatherplank
