#include "src/passthrough/FlowAdmission.h"

namespace heatherplank {

Duration FlowAdmission::WaitAt(const HostCondition& aHost)
{
  if (aHost.mInProgress < aHost.mSlots) {
    return Duration::zero();
  }
  std::uint32_t ahead = aHost.mInProgress - aHost.mSlots + 1;
  return aHost.mServiceTime * ahead / aHost.mSlots;
}

bool FlowAdmission::HasFreeSlot(const HostCondition& aHost) const
{
  // A cold host works at a fraction of its speed. One slot less keeps its
  // answers within the target while other hosts have free slots.
  std::uint32_t slots =
    aHost.mIsCold && aHost.mSlots > 1 ? aHost.mSlots - 1 : aHost.mSlots;
  return aHost.mInProgress < slots;
}

bool FlowAdmission::IsWorthWaiting(const HostCondition& aHost,
                                   const FlowOffer& aOffer) const
{
  if (aOffer.mWillRetransmit) {
    return false;
  }
  bool important = aOffer.mImportance >= Importance::High;
  double perSlot =
    mOptions.mMaxWaitingPerSlot - (important ? 0 : mOptions.mReservedPerSlot);
  auto maxWaiting = static_cast<std::uint32_t>(perSlot * aHost.mSlots);
  if (aHost.mInProgress >= aHost.mSlots + maxWaiting) {
    return false;
  }
  double share = important ? mOptions.mImportantWaitShare : mOptions.mWaitShare;
  auto limit = std::chrono::duration_cast<Duration>(
    std::chrono::duration<double, Duration::period>(
      static_cast<double>(aOffer.mLatencyTarget.count()) * share));
  return WaitAt(aHost) <= limit;
}

FlowDecision FlowAdmission::Decide(const HostCondition& aHost,
                                   const FlowOffer& aOffer) const
{
  bool usable = aHost.mTakesNewFlows && !aHost.mSeemsDown;
  if (usable && HasFreeSlot(aHost)) {
    return FlowDecision::Admit;
  }
  if (aOffer.mHasMoreCandidates && !aOffer.mIsLastOffer) {
    return FlowDecision::Forward;
  }
  bool isBest = aOffer.mIsLastOffer || !aOffer.mHasBest ||
                WaitAt(aHost) <= aOffer.mBestWait;
  if (usable && isBest) {
    return IsWorthWaiting(aHost, aOffer) ? FlowDecision::Admit
                                         : FlowDecision::Refuse;
  }
  if (aOffer.mHasBest && !aOffer.mIsLastOffer) {
    return FlowDecision::ForwardToBest;
  }
  // Offering the flow to a host that only seems down is better than refusing it
  // for sure.
  return aHost.mTakesNewFlows ? FlowDecision::Admit : FlowDecision::Refuse;
}

} // namespace heatherplank
