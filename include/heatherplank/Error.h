#pragma once

#include <cstdint>
#include <string>
#include <string_view>

#include <tl/expected.hpp>

namespace heatherplank {

/** The kind of a failure; code branches on it, people read the message. */
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
  /** The peer can't be reached, or temporarily rejects requests. */
  Unavailable,
  /** No response arrived in time; the effect of the call is unknown. */
  Timeout,
  /** The caller lacks the permission. */
  Forbidden,
  /** A call to the operating system failed. */
  System,
};

/** Returns the name of a kind, as used in logs and counters. */
std::string_view ToString(ErrorKind aKind);

/** A failure: a description of the fault, and a remedy for the reader. */
struct Error
{
  ErrorKind mKind = ErrorKind::InvalidInput;
  /** Describes the fault and its location, one line. */
  std::string mMessage;
  /** Tells the reader how to fix it, one line. */
  std::string mRemedy;

  /** "<message>; <remedy>", one line. */
  std::string Describe() const;
};

template<typename T>
using Result = tl::expected<T, Error>;

/** Makes a failure to return from a function with a Result. */
tl::unexpected<Error> Fail(ErrorKind aKind, std::string aMessage,
                           std::string aRemedy);

} // namespace heatherplank
