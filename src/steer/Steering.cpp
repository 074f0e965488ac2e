#include "src/steer/Steering.h"

#include <optional>

namespace heatherplank {

std::string_view ToString(SteerRefusal aReason)
{
  switch (aReason) {
    case SteerRefusal::UnknownService:
      return "unknown_service";
    case SteerRefusal::NoMember:
      return "no_member";
    case SteerRefusal::HostUnresponsive:
      return "host_silent";
  }
  return "unknown";
}

SteerDecision Steer(std::uint64_t aFlowHash, const ServiceView* aView,
                    HintCache& aHints)
{
  if (aView == nullptr) {
    return SteerRefusal::UnknownService;
  }
  if (auto hint = aHints.Find(aFlowHash)) {
    const Member* owner = aView->Find(hint->mHost);
    // A restarted host has none of its old flows, and a leaving host has handed
    // off its flows. Following a hint to either would lose the flow's packets
    // until the hint is replaced.
    if (owner != nullptr && owner->mIncarnation == hint->mIncarnation &&
        owner->mState != HostState::Leaving) {
      return SteerTarget{ owner, PacketDirective::Deliver };
    }
    aHints.Erase(aFlowHash);
  }
  const Member* arbiter = aView->Arbiter(aFlowHash);
  if (arbiter == nullptr) {
    return SteerRefusal::NoMember;
  }
  return SteerTarget{ arbiter, PacketDirective::Route };
}

} // namespace heatherplank
