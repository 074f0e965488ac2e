#include "src/decide/Reasons.h"

namespace heatherplank {

std::string_view ToString(RefusalReason aReason)
{
  switch (aReason) {
    case RefusalReason::QueueFull:
      return "queue_full";
    case RefusalReason::DeadlineUnreachable:
      return "deadline_unreachable";
    case RefusalReason::DeadlinePassed:
      return "deadline_passed";
    case RefusalReason::OverShare:
      return "over_share";
    case RefusalReason::Draining:
      return "draining";
    case RefusalReason::BackendShed:
      return "backend_shed";
    case RefusalReason::NoHost:
      return "no_host";
    case RefusalReason::RetryBudget:
      return "retry_budget";
    case RefusalReason::PlatformDown:
      return "platform_down";
    case RefusalReason::Cancelled:
      return "cancelled";
  }
  return "unknown";
}

std::string_view ToString(RetryReason aReason)
{
  switch (aReason) {
    case RetryReason::BackendShed:
      return "backend_shed";
    case RetryReason::ConnectFailed:
      return "connect_failed";
    case RetryReason::Lost:
      return "lost";
    case RetryReason::Draining:
      return "draining";
    case RetryReason::LessLoadedHost:
      return "lighter_host";
  }
  return "unknown";
}

} // namespace heatherplank
