#pragma once

#include <cstddef>
#include <cstdint>
#include <string_view>

namespace heatherplank {

/** Why a request was not run. Each reason has a counter, labelled with its
 * name. */
enum class RefusalReason : std::uint8_t
{
  /** The class's queue at this host has no room. */
  QueueFull,
  /** The request would not be answered before its deadline. */
  DeadlineUnreachable,
  /** The deadline of the request passed while it was queued. */
  DeadlinePassed,
  /** The caller has more than its share of queued requests. */
  OverShare,
  /** The host drains, and no other candidate can take the request. */
  Draining,
  /** The backend server shed the request, and it may not be retried now. */
  BackendShed,
  /** No host of the service accepts work. */
  NoHost,
  /** The retry budget is spent. */
  RetryBudget,
  /** The request must be recorded before it runs, and the platform is
   * unreachable. */
  PlatformDown,
  /** The caller cancelled the request before it ran. */
  Cancelled,
};

constexpr std::size_t kRefusalReasons = 10;

/** Why a request was retried or forwarded to another host. */
enum class RetryReason : std::uint8_t
{
  /** The backend server shed the request without running it. */
  BackendShed,
  /** The backend server could not be reached; nothing was sent. */
  ConnectFailed,
  /** The request may have run, but its rule allows it to be repeated. */
  Lost,
  /** The host drains. */
  Draining,
  /** Another candidate is expected to start the request sooner. */
  LessLoadedHost,
};

constexpr std::size_t kRetryReasons = 5;

/** The name of a reason in counters and answers. */
std::string_view ToString(RefusalReason aReason);
std::string_view ToString(RetryReason aReason);

} // namespace heatherplank
