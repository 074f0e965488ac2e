#pragma once

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

#include "include/heatherplank/Clock.h"
#include "src/caller/CallerRequest.h"
#include "src/wire/PacketCodec.h"

namespace heatherplank {

/** What became of a request, as the caller is told. */
enum class Outcome : std::uint8_t
{
  /** The backend server ran it; the answer is its own. */
  Run = 0,
  /** It was not run, and will not be unless asked again. */
  NotRun = 1,
  /** It may have run; it will not be run again. */
  Unknown = 2,
};

std::string_view ToString(Outcome aOutcome);

/** The final answer to a request. */
struct Answer
{
  unsigned mStatus = 200;
  Outcome mOutcome = Outcome::Run;
  /** With NotRun and Unknown: the counter's reason. */
  std::string mReason;
  /** When to come back; zero if there is nothing to come back for. */
  Duration mRetryAfter{ 0 };
  std::string mContentType;
  std::string mBody;
  /** The host that ran it, and its service. */
  std::string mServedBy;
  std::string mService;
};

/** Body bytes of an answer that go into one datagram: with its headers it
 * stays under the 1,500 bytes of an Ethernet frame. */
constexpr std::size_t kMaxBodyPerDatagram = 1100;

/** A refusal: not run, and when to come back. */
Answer MakeNotRun(unsigned aStatus, std::string_view aReason,
                  Duration aRetryAfter);

/** An answer for what may have run, with nothing to come back for. */
Answer MakeUnknown(std::string_view aReason);

/** A refusal by a process that can't tell whether another one ran the request:
 * unknown, and when to ask again under the same key. */
Answer MakeUnsure(std::string_view aReason, Duration aRetryAfter);

/** The datagrams of an answer: one, or one a range if the body is too large.
 * With aRange, only those that cover it. An epoch of 0, where nobody owns the
 * flow, is left out. Thread safe.
 */
std::vector<std::string> WriteAnswer(const Answer& aAnswer,
                                     std::string_view aRequestId,
                                     FlowEpoch aEpoch,
                                     const std::optional<ByteRange>& aRange);

} // namespace heatherplank
