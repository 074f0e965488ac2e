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
    case SteerRefusal::HostSilent:
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
    // A restart at the same address holds none of the old flows, and a host
    // that is leaving has handed its flows on: following a hint to either would
    // lose the flow's packets for as long as the hint lives.
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
