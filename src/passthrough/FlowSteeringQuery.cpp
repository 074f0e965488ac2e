// FlowSteering's queries for the host of a flow that has no hint.
#include <algorithm>
#include <map>
#include <utility>

#include "src/base/Log.h"
#include "src/passthrough/FlowSteering.h"
#include "src/passthrough/SearchPaths.h"

namespace heatherplank {

namespace {

QueriedFlow MakeQueriedFlow(const FlowPacket& aPacket)
{
  QueriedFlow out{ aPacket.FlowFromCaller(), std::nullopt };
  if (aPacket.mAck) {
    out.mAcknowledged = aPacket.mAcknowledged;
  }
  return out;
}

} // namespace

/** Starts the second stage of the flow's lookup, once per lookup. */
void FlowSteering::StartQuery(const FlowKey& aFlow, Time aNow)
{
  if (!mSearches.BeginQuery(aFlow)) {
    return;
  }
  if (mMembers.empty()) {
    Increment(SteerEvent::DroppedNotReady);
  }
  const SteeredPacket* first = mSearches.First(aFlow);
  auto packet = first != nullptr ? mFormat.Parse(first->mPacket) : std::nullopt;
  if (packet && ResetIfHeldNowhere(*packet, aNow)) {
    mSearches.TakeFound(aFlow);
  } else if (packet) {
    Increment(SteerEvent::Queried);
    mQueries.OnPacket(MakeQueriedFlow(*packet), !packet->mReset, aNow);
  }
}

void FlowSteering::SendQuery(const Address& aAgent, const FlowQuery& aQuery)
{
  Increment(SteerEvent::QuerySent);
  mOutput.Query(aAgent, aQuery);
}

void FlowSteering::OnFound(const FlowKey& aFlow, HostId aHost, Time aNow)
{
  Increment(SteerEvent::FoundByQuery);
  LogFlow("found_by_query", { { "flow", aFlow.ToString() } });
  std::uint64_t hash = HashFlow(aFlow);
  mHints.Put(hash, { aHost, 0 });
  mLocations.OnHostLearnt({ hash, aHost }, aNow);
  DeliverFound(aFlow, aHost);
}

void FlowSteering::SetKnownPast(KnownPast aKnown, Time aNow)
{
  if (aKnown != mKnownPast) {
    mKnownPast = std::move(aKnown);
    mQueries.ResumeAwaiting(aNow);
  }
}

/** The agents that restarted under a running host probe their hosts with the
 * first packet of the lookup and remember what a host returns, so that a later
 * query is denied. Only hosts of the route's services are probed: no other host
 * may receive the route's packets.
 *
 * Guards against: this balancer has just started and does not know that the
 * route has left the service of an undecided host, which holds the flow. The
 * packet would go to hosts of the present services only. So it waits until that
 * is known. */
ProbeResult FlowSteering::OnUndecided(const FlowKey& aFlow,
                                      std::span<const Address> aHosts)
{
  LogFlow("undecided", { { "flow", aFlow.ToString() },
                         { "hosts", aHosts.size() },
                         { "first", aHosts.front().ToString() } });
  auto services = mRouteServices.Of(aFlow.mService);
  std::map<ServiceId, std::vector<Address>> byService;
  for (const auto& [host, member] : mMembers) {
    if (std::ranges::count(aHosts, member.mTunnel) == 0) {
      continue;
    }
    if (std::ranges::count(services, member.mService) > 0) {
      byService[member.mService].push_back(member.mTunnel);
    } else if (mOptions.mQueryGuards.mAwaitPastServices &&
               !mKnownPast.Contains(member.mService)) {
      Increment(SteerEvent::AwaitsPastServices);
      return ProbeResult::Awaiting;
    }
  }
  if (byService.empty()) {
    return ProbeResult::NotProbed;
  }
  auto packets = mSearches.TakeFound(aFlow);
  if (packets.empty()) {
    return ProbeResult::NotProbed;
  }
  Increment(SteerEvent::Searched);
  LogFlow("searched",
          { { "flow", aFlow.ToString() }, { "undecided", aHosts.size() } });
  SteeredPacket& first = packets.front();
  first.mPurpose = SteerPurpose::Search;
  for (auto& [service, hosts] : byService) {
    first.mService = service;
    for (SearchPath& it : SplitSearch(hosts, kPathsPerSearch)) {
      first.mCandidates = std::move(it.mOthers);
      mOutput.Steer(it.mFirst, first);
    }
  }
  return ProbeResult::Probed;
}

bool FlowSteering::MayHold(const FlowKey& aFlow, HostId aHost) const
{
  auto services = mRouteServices.Of(aFlow.mService);
  auto member = mMembers.find(aHost);
  return services.empty() || member == mMembers.end() ||
         std::ranges::count(services, member->second.mService) > 0;
}

void FlowSteering::OnHeldNowhere(const QueriedFlow& aFlow,
                                 const NowhereEvidence& aEvidence)
{
  Increment(SteerEvent::NoHostHolds);
  LogFlow("flow_nowhere", { { "flow", aFlow.mFlow.ToString() },
                            { "hosts", aEvidence.mDenials },
                            { "excluded", aEvidence.mExcluded } });
  mSearches.TakeFound(aFlow.mFlow);
  SendReset(aFlow);
}

bool FlowSteering::HasPendingOffer(const FlowKey& aFlow) const
{
  return mWatch.IsWatched(aFlow);
}

std::vector<HostId> FlowSteering::LikelyHosts(const FlowKey& aFlow,
                                              std::size_t aLimit) const
{
  std::vector<HostId> out;
  auto services = mRouteServices.Of(aFlow.mService);
  for (ServiceId service : services) {
    const auto* entry = mViews.Find(service);
    if (entry == nullptr) {
      continue;
    }
    for (const Member* it : entry->mView->RankedByScan(
           HashFlow(aFlow), aLimit / services.size())) {
      out.push_back(it->mHost);
    }
  }
  return out;
}

/** Answers a packet of a flow that no host holds. A caller's reset is not
 * answered. */
bool FlowSteering::ResetIfHeldNowhere(const FlowPacket& aPacket, Time aNow)
{
  QueriedFlow flow = MakeQueriedFlow(aPacket);
  if (!mQueries.IsHeldNowhere(flow, aNow)) {
    return false;
  }
  if (!aPacket.mReset) {
    Increment(SteerEvent::ResetAgain);
    SendReset(flow);
  }
  return true;
}

void FlowSteering::SendReset(const QueriedFlow& aFlow)
{
  mOutput.ToCaller(
    aFlow.mFlow.mCaller,
    mFormat.MakeReset(aFlow.mFlow, aFlow.mAcknowledged.value_or(0)));
}

/** Sends the packets that waited for the lookup to the host of the flow. */
void FlowSteering::DeliverFound(const FlowKey& aFlow, HostId aHost)
{
  auto held = mSearches.TakeFound(aFlow);
  auto member = mMembers.find(aHost);
  if (member == mMembers.end()) {
    return;
  }
  for (SteeredPacket& it : held) {
    it.mPurpose = SteerPurpose::Deliver;
    it.mService = member->second.mService;
    it.mCandidates.clear();
    mOutput.Steer(member->second.mTunnel, it);
  }
}

void FlowSteering::OnReturned(const SteeredPacket& aSteered, Time aNow)
{
  auto packet = mFormat.Parse(aSteered.mPacket);
  if (!packet) {
    Increment(SteerEvent::Malformed);
    return;
  }
  FlowKey flow = packet->FlowFromCaller();
  mSearches.OnReturned(flow, aSteered, aNow);
  // Only an agent's host names a service. A replica without a record says
  // nothing about a hint that this balancer has got meanwhile.
  if (aSteered.mService.IsNone()) {
    OnNotLocated(flow, SteerEvent::LocateFailed, aNow);
    return;
  }
  Increment(SteerEvent::HintWrong);
  LogFlow("hint_wrong", { { "flow", flow.ToString() } });
  mHints.Erase(HashFlow(flow));
  StartQuery(flow, aNow);
}

} // namespace heatherplank
