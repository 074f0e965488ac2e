#include "src/record/RunOnceActions.h"

namespace heatherplank {

std::string_view ToString(RunOnceReason aReason)
{
  switch (aReason) {
    case RunOnceReason::PlatformDown:
      return "platform_down";
    case RunOnceReason::PlatformSlow:
      return "platform_slow";
    case RunOnceReason::DeadlinePassed:
      return "deadline_passed";
    case RunOnceReason::HolderLate:
      return "holder_late";
    case RunOnceReason::TooManyKeys:
      return "too_many_keys";
    case RunOnceReason::ShardFull:
      return "shard_full";
    case RunOnceReason::BadKey:
      return "bad_key";
    case RunOnceReason::RefusedByServer:
      return "refused_by_server";
    case RunOnceReason::Cancelled:
      return "cancelled";
    case RunOnceReason::StillRunning:
      return "still_running";
    case RunOnceReason::HolderSilent:
      return "holder_silent";
    case RunOnceReason::HolderLost:
      return "holder_lost";
    case RunOnceReason::NoAnswerKept:
      return "no_answer_kept";
    case RunOnceReason::KeyTooOld:
      return "key_too_old";
    case RunOnceReason::PeersSilent:
      return "peers_silent";
    case RunOnceReason::TooManyWaiters:
      return "too_many_waiters";
  }
  return "none";
}

} // namespace heatherplank
