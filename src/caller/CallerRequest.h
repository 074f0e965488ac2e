#pragma once

#include <cstdint>
#include <optional>
#include <string>

#include "include/heatherplank/Clock.h"
#include "include/heatherplank/Error.h"
#include "src/wire/Frame.h"

namespace heatherplank {

/** The bytes first to last of a body, both included. */
struct ByteRange
{
  std::size_t mFirst = 0;
  std::size_t mLast = 0;
};

/** A caller's request, as read from one datagram; docs/CONTRACTS.md gives the
 * headers. */
struct CallerRequest
{
  std::string mMethod;
  std::string mTarget;
  std::string mContentType;
  std::string mBody;
  std::string mRequestId;
  std::string mIdempotencyKey;
  std::optional<Duration> mTimeout;
  std::optional<ByteRange> mRange;
  bool mCancel = false;
};

/** Longest request id and idempotency key that is accepted, in bytes; both are
 * kept in tables. */
constexpr std::size_t kMaxRequestId = 128;
constexpr std::size_t kMaxIdempotencyKey = 200;

/** Reads a whole HTTP/1.1 request from a datagram; Malformed with the remedy
 * for anything else. Thread safe.
 */
Result<CallerRequest> ParseCallerRequest(ByteView aDatagram);

/** The datagram of a request; ParseCallerRequest reads it back. Thread safe.
 */
std::string WriteCallerRequest(const CallerRequest& aRequest);

} // namespace heatherplank
