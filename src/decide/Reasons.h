#pragma once

#include <cstddef>
#include <cstdint>
#include <string_view>

namespace heatherplank {

/** Why a request was not run. Each has a counter, labelled with its name. */
enum class RefusalReason : std::uint8_t
{
  /** The class's queue at this host has no room. */
  QueueFull,
  /** It would not be answered before its deadline. */
  DeadlineUnreachable,
  /** Its deadline passed while it waited. */
  DeadlinePassed,
  /** Its caller has more waiting than its share. */
  OverShare,
  /** The host drains, and no other candidate can take the request. */
  Draining,
  /** The backend server shed it, and it may not be retried now. */
  BackendShed,
  /** No host of the service takes work. */
  NoHost,
  /** The retry budget is spent. */
  RetryBudget,
  /** It must be recorded before it runs, and the platform can't be reached. */
  PlatformDown,
  /** The caller withdrew it before it ran. */
  Cancelled,
};

constexpr std::size_t kRefusalReasons = 10;

/** Why a request was sent again, or to another host. */
enum class RetryReason : std::uint8_t
{
  /** The backend server shed it unrun. */
  BackendShed,
  /** The backend server could not be reached; nothing was sent. */
  ConnectFailed,
  /** It may have run, but its rule allows it to run again. */
  Lost,
  /** The host drains. */
  Draining,
  /** Another candidate will start it sooner. */
  LighterHost,
};

constexpr std::size_t kRetryReasons = 5;

/** The name of a reason, as it stands in counters and in answers. */
std::string_view ToString(RefusalReason aReason);
std::string_view ToString(RetryReason aReason);

} // namespace heatherplank
