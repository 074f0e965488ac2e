// Opening packets: the hosts that they are offered to, and refusals.
#include <algorithm>
#include <utility>

#include "src/base/Log.h"
#include "src/passthrough/FlowSteering.h"

namespace heatherplank {

void FlowSteering::RefuseWithReset(const FlowKey& aFlow, SteerEvent aReason)
{
  Increment(aReason);
  LogFlow("refused", { { "flow", aFlow.ToString() },
                       { "why", ToString(aReason) },
                       { "routes_version", RoutesVersion() } });
  mOutput.ToCaller(aFlow.mCaller, mFormat.MakeReset(aFlow, 0));
}

/** Drops a later copy instead of refusing it: the first copy may have opened
 * the flow elsewhere, and a refusal would reset it. */
void FlowSteering::RefuseOrDrop(const FlowKey& aFlow, bool aIsLaterCopy,
                                SteerEvent aReason)
{
  if (aIsLaterCopy) {
    RefuseWithoutReset(aFlow, aReason);
  } else {
    RefuseWithReset(aFlow, aReason);
  }
}

void FlowSteering::RefuseWithoutReset(const FlowKey& aFlow, SteerEvent aReason)
{
  Increment(SteerEvent::RefusedQuietly);
  LogFlow("refused_quietly", { { "flow", aFlow.ToString() },
                               { "why", ToString(aReason) },
                               { "routes_version", RoutesVersion() } });
}

std::vector<PlacementCandidate> FlowSteering::CandidatesFor(ServiceId aService,
                                                            std::uint64_t aHash,
                                                            Time aNow)
{
  std::vector<PlacementCandidate> out;
  const auto* entry = mViews.Find(aService);
  if (entry == nullptr) {
    return out;
  }
  for (const Member* it :
       OrderForPlacement(*entry->mView, aHash, MakeOrderInputs(aNow))) {
    out.push_back({ it->mHost, it->mTunnel });
  }
  return out;
}

/** The host that answered an earlier copy of an opening packet, if any: it gets
 * the copy first, since it opens no second flow. A host that takes no new flows
 * gets it only if it is a copy for certain. */
const Member* FlowSteering::HostOfCopy(const std::optional<FlowHint>& aHint,
                                       std::uint32_t aOpening,
                                       ServiceId aService) const
{
  if (!aHint || aHint->IsOtherFlow(aOpening)) {
    return nullptr;
  }
  auto it = mMembers.find(aHint->mHost);
  if (it == mMembers.end() || it->second.mService != aService ||
      mDrains.Contains(it->second.mDataCentre)) {
    return nullptr;
  }
  bool isCertain = aHint->mOpening.has_value();
  return isCertain || CanAdopt(it->second) ? &it->second : nullptr;
}

void FlowSteering::Open(const FlowPacket& aPacket, ByteView aDatagram,
                        Time aNow)
{
  FlowKey flow = aPacket.FlowFromCaller();
  mQueries.Forget(flow);
  std::uint64_t hash = HashFlow(flow);
  auto hint = FindHint(hash);
  // A refusal must not reset a flow that may be open, even if this packet is of
  // another one: it may be a late copy of an earlier opening.
  bool mayBeOpen = hint && !hint->mIsEnded && mMembers.contains(hint->mHost);
  bool isLaterCopy = aPacket.mRetransmissions > 0 || mayBeOpen ||
                     mWatch.IsWatched(flow) || aNow < mAssumeCopiesUntil;
  const FlowRoute* route = mInventory->Find(flow.mService);
  if (route == nullptr) {
    RefuseOrDrop(flow, isLaterCopy, SteerEvent::RefusedNoRoute);
    return;
  }
  ServiceId service = route->ServiceOf(hash);
  auto candidates = CandidatesFor(service, hash, aNow);
  SteeredPacket steered =
    MakeSteered(route, service, SteerPurpose::Place, aDatagram);
  if (const Member* hinted = HostOfCopy(hint, aPacket.mSequence, service)) {
    std::erase_if(candidates, [&](const PlacementCandidate& aIt) {
      return aIt.mHost == hinted->mHost;
    });
    candidates.insert(candidates.begin(), { hinted->mHost, hinted->mTunnel });
  }
  if (candidates.empty()) {
    RefuseOrDrop(flow, isLaterCopy || aNow < mHostDiscoveryUntil,
                 SteerEvent::RefusedNoHost);
    return;
  }
  Increment(SteerEvent::Offered);
  Offer(flow, std::move(steered), std::move(candidates),
        isLaterCopy ? PlacementWatch::Copy::Later : PlacementWatch::Copy::First,
        aNow);
}

void FlowSteering::Offer(const FlowKey& aFlow, SteeredPacket aSteered,
                         std::vector<PlacementCandidate> aCandidates,
                         PlacementWatch::Copy aCopy, Time aNow, int aRetries)
{
  aSteered.mCandidates.clear();
  for (std::size_t i = 1; i < aCandidates.size(); ++i) {
    aSteered.mCandidates.push_back(aCandidates[i].mTunnel);
  }
  LogFlow("offered", { { "flow", aFlow.ToString() },
                       { "to", aCandidates.front().mTunnel.ToString() },
                       { "others", aSteered.mCandidates.size() },
                       { "routes_version", RoutesVersion() } });
  mOutput.Steer(aCandidates.front().mTunnel, aSteered);
  mWatch.Begin(aFlow, std::move(aSteered), std::move(aCandidates), aCopy, aNow,
               aRetries);
}

} // namespace heatherplank
