// Searches: how a balancer finds the host of a flow that it does not know.
#include <algorithm>
#include <random>
#include <utility>

#include "src/base/Log.h"
#include "src/passthrough/FlowSteering.h"
#include "src/passthrough/SearchWalks.h"

namespace heatherplank {

namespace {

/** Another order for each search of a flow, so that a repeat passes a dead
 * agent at another place. */
void Shuffle(std::vector<Address>& aOrder, std::uint64_t aSeed)
{
  std::minstd_rand random(static_cast<std::uint32_t>(aSeed));
  std::shuffle(aOrder.begin(), aOrder.end(), random);
}

} // namespace

/** Weights may have changed since the flow was opened, so each service of its
 * route may hold it. */
void FlowSteering::SearchAll(const FlowKey& aFlow, const FlowRoute& aRoute,
                             SteeredPacket aSteered, std::uint64_t aHash,
                             Time aNow)
{
  auto verdict = mSearches.OnPacket(aFlow, aSteered, aNow);
  if (!verdict.mSearch) {
    Add(SteerEvent::HeldForSearch);
    return;
  }
  for (const RouteShare& it : aRoute.mShares) {
    aSteered.mService = it.mService;
    Search(aFlow, aSteered, aHash, verdict.mEarlier, aNow);
  }
}

void FlowSteering::Search(const FlowKey& aFlow, SteeredPacket aSteered,
                          std::uint64_t aHash, std::uint32_t aEarlier,
                          Time aNow)
{
  const auto* held = mViews.Find(aSteered.mService);
  std::vector<Address> hosts;
  if (held != nullptr) {
    for (const Member* it : OrderForSearch(*held->mView, aHash, Inputs(aNow))) {
      hosts.push_back(it->mTunnel);
    }
  }
  if (hosts.empty()) {
    Add(SteerEvent::DroppedNotReady);
    return;
  }
  // The first search begins at the hosts that most likely hold the flow.
  if (aEarlier > 0) {
    Shuffle(hosts, aHash + aEarlier);
  }
  Add(SteerEvent::Searched);
  LogFlow("searched", { { "flow", aFlow.ToString() },
                        { "first", hosts.front().ToString() },
                        { "others", hosts.size() - 1 },
                        { "earlier", aEarlier } });
  aSteered.mPurpose = SteerPurpose::FanOut;
  for (SearchWalk& it : DealWalks(hosts, kFanOuts)) {
    aSteered.mCandidates = std::move(it.mOthers);
    mOutput.Steer(it.mFirst, aSteered);
  }
}

/** Sends what waited for a search to the flow's host. */
void FlowSteering::DeliverFound(const PlacementReport& aReport)
{
  auto held = mSearches.TakeFound(aReport.mFlow);
  auto member = mMembers.find(aReport.mHost);
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

void FlowSteering::OnNotHere(SteeredPacket aSteered, Time aNow)
{
  auto packet = mFormat.Parse(aSteered.mPacket);
  if (!packet) {
    Add(SteerEvent::Malformed);
    return;
  }
  Add(SteerEvent::HintWrong);
  FlowKey flow = packet->FlowFromCaller();
  LogFlow("hint_wrong", { { "flow", flow.ToString() } });
  std::uint64_t hash = HashFlow(flow);
  mHints.Erase(hash);
  // A packet of this balancer's former life may come back before it has routes.
  const FlowRoute* route =
    mInventory ? mInventory->Find(flow.mService) : nullptr;
  if (route != nullptr) {
    SearchAll(flow, *route, std::move(aSteered), hash, aNow);
  } else {
    Search(flow, std::move(aSteered), hash, 0, aNow);
  }
}

} // namespace heatherplank
