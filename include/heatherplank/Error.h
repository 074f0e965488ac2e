#pragma once

#include <cstdint>
#include <string>
#include <string_view>

#include <tl/expected.hpp>

namespace heatherplank {

/** The kind of a failure; callers branch on it, people read the message. */
enum class ErrorKind : std::uint8_t
{
  /** The input (settings, configuration, command line) is wrong. */
  InvalidInput,
  /** A peer sent bytes that do not parse or are not allowed. */
  Malformed,
  /** A size or count limit was exceeded. */
  TooLarge,
  /** The object does not exist. */
  NotFound,
  /** A conditional update lost a race against a newer version. */
  Conflict,
  /** The other side can't be reached, or refuses for now. */
  Unavailable,
  /** No answer came in time; the effect is unknown. */
  Timeout,
  /** The caller may not do this. */
  Forbidden,
  /** The operating system refused a call. */
  System,
};

/** The name of a kind, as it stands in logs and counters. */
std::string_view ToString(ErrorKind aKind);

/** A failure: what was found, and what the reader can do about it. */
struct Error
{
  ErrorKind mKind = ErrorKind::InvalidInput;
  /** What was found and where, one line. */
  std::string mMessage;
  /** What to do about it, one line. */
  std::string mRemedy;

  /** "<message>; <remedy>", one line. */
  std::string Describe() const;
};

template<typename T>
using Result = tl::expected<T, Error>;

/** Shorthand for returning a failure from a function that gives a Result. */
tl::unexpected<Error> Fail(ErrorKind aKind, std::string aMessage,
                           std::string aRemedy);

} // namespace heatherplank
