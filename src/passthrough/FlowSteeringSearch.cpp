// FlowSteering's searches for the host of a flow that has no hint.
#include <algorithm>
#include <random>
#include <utility>

#include "src/base/Log.h"
#include "src/passthrough/FlowSteering.h"
#include "src/passthrough/SearchPaths.h"

namespace heatherplank {

namespace {

/** Orders each repeated search of a flow differently, so that an unresponsive
 * agent hides other hosts each time. */
void Shuffle(std::vector<Address>& aOrder, std::uint64_t aSeed)
{
  std::minstd_rand random(static_cast<std::uint32_t>(aSeed));
  std::shuffle(aOrder.begin(), aOrder.end(), random);
}

} // namespace

/** Starts the second stage of the flow's lookup, once per lookup: searches each
 * service of the route, whose weights may have changed since the flow was
 * opened. */
void FlowSteering::StartSearch(const FlowKey& aFlow, Time aNow)
{
  if (!mSearches.BeginSearch(aFlow)) {
    return;
  }
  std::uint32_t earlier = mSearches.EarlierLookups(aFlow);
  SteeredPacket first = mSearches.TakeFirst(aFlow);
  std::uint64_t hash = HashFlow(aFlow);
  // An agent may send back a packet of this balancer's earlier incarnation
  // before this incarnation has routes.
  const FlowRoute* route =
    mInventory ? mInventory->Find(aFlow.mService) : nullptr;
  if (route == nullptr) {
    Search(aFlow, std::move(first), hash, earlier, aNow);
    return;
  }
  for (const RouteShare& it : route->mShares) {
    first.mService = it.mService;
    Search(aFlow, first, hash, earlier, aNow);
  }
}

void FlowSteering::Search(const FlowKey& aFlow, SteeredPacket aSteered,
                          std::uint64_t aHash, std::uint32_t aEarlierSearches,
                          Time aNow)
{
  const auto* entry = mViews.Find(aSteered.mService);
  std::vector<Address> hosts;
  if (entry != nullptr) {
    for (const Member* it :
         OrderForSearch(*entry->mView, aHash, MakeOrderInputs(aNow))) {
      hosts.push_back(it->mTunnel);
    }
  }
  if (hosts.empty()) {
    Increment(SteerEvent::DroppedNotReady);
    return;
  }
  // The first search keeps the order, which begins with the hosts that most
  // likely hold the flow.
  if (aEarlierSearches > 0) {
    Shuffle(hosts, aHash + aEarlierSearches);
  }
  Increment(SteerEvent::Searched);
  LogFlow("searched", { { "flow", aFlow.ToString() },
                        { "first", hosts.front().ToString() },
                        { "others", hosts.size() - 1 },
                        { "earlier", aEarlierSearches } });
  aSteered.mPurpose = SteerPurpose::FanOut;
  for (SearchPath& it : SplitSearch(hosts, kFanOutAgents)) {
    aSteered.mCandidates = std::move(it.mOthers);
    mOutput.Steer(it.mFirst, aSteered);
  }
}

/** Sends the packets that waited for the search to the host of the flow. */
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

void FlowSteering::OnReturned(const SteeredPacket& aSteered, Time aNow)
{
  auto packet = mFormat.Parse(aSteered.mPacket);
  if (!packet) {
    Increment(SteerEvent::Malformed);
    return;
  }
  Increment(SteerEvent::HintWrong);
  FlowKey flow = packet->FlowFromCaller();
  LogFlow("hint_wrong", { { "flow", flow.ToString() } });
  mHints.Erase(HashFlow(flow));
  mSearches.OnReturned(flow, aSteered, aNow);
  StartSearch(flow, aNow);
}

} // namespace heatherplank
