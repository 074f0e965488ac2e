#pragma once

#include <cstdint>
#include <optional>
#include <string>

#include "include/heatherplank/Clock.h"
#include "include/heatherplank/Error.h"
#include "src/wire/Frame.h"

namespace heatherplank {

/** A range of a body's bytes; both ends are inclusive. */
struct ByteRange
{
  std::size_t mFirst = 0;
  std::size_t mLast = 0;
};

/** A caller's request, parsed from one datagram; docs/CONTRACTS.md lists the
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

/** Maximum length of a request id and of an idempotency key, in bytes; limited
 * because both are stored in tables. */
constexpr std::size_t kMaxRequestId = 128;
constexpr std::size_t kMaxIdempotencyKey = 200;

/** Parses a complete HTTP/1.1 request from a datagram; Malformed with the
 * remedy for anything else. Thread safe.
 */
Result<CallerRequest> ParseCallerRequest(ByteView aDatagram);

/** Serialises a request into a datagram that ParseCallerRequest parses. Thread
 * safe. */
std::string WriteCallerRequest(const CallerRequest& aRequest);

} // namespace heatherplank
