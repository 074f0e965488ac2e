#pragma once

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

#include "include/heatherplank/Clock.h"
#include "src/caller/CallerRequest.h"
#include "src/wire/PacketCodec.h"

namespace heatherplank {

/** Outcome of a request, as reported to the caller. */
enum class Outcome : std::uint8_t
{
  /** The backend server ran the request and produced the answer. */
  Run = 0,
  /** The request was not run, and will not be unless it is sent again. */
  NotRun = 1,
  /** The request may have run; it will not be run again. */
  Unknown = 2,
};

std::string_view ToString(Outcome aOutcome);

/** The final answer to a request. */
struct Answer
{
  unsigned mStatus = 200;
  Outcome mOutcome = Outcome::Run;
  /** With NotRun and Unknown: the reason, as counted in the metrics. */
  std::string mReason;
  /** Time after which to retry; zero if a retry is of no use. */
  Duration mRetryAfter{ 0 };
  std::string mContentType;
  std::string mBody;
  /** Host that ran the request, and its service. */
  std::string mServedBy;
  std::string mService;
};

/** Maximum body bytes of an answer in one datagram: with its headers, the
 * datagram stays under the 1,500 bytes of an Ethernet frame. */
constexpr std::size_t kMaxBodyPerDatagram = 1100;

/** Makes an answer for a rejected request: not run, and when to retry. */
Answer MakeNotRun(unsigned aStatus, std::string_view aReason,
                  Duration aRetryAfter);

/** Makes an answer for a request that may have run; a retry is of no use. */
Answer MakeUnknown(std::string_view aReason);

/** Makes an answer by a process that can't tell whether another process ran the
 * request: unknown, and when to retry with the same idempotency key. */
Answer MakeUnsure(std::string_view aReason, Duration aRetryAfter);

/** Serialises an answer into datagrams: one, or one per byte range if the body
 * is too large; with aRange, only those that cover it. An epoch of 0, of a flow
 * without owner, is omitted. Thread safe.
 */
std::vector<std::string> WriteAnswer(const Answer& aAnswer,
                                     std::string_view aRequestId,
                                     FlowEpoch aEpoch,
                                     const std::optional<ByteRange>& aRange);

} // namespace heatherplank
