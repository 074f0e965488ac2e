#include "src/passthrough/FlowSteering.h"

#include <algorithm>
#include <utility>

#include "src/base/Log.h"

namespace heatherplank {

namespace {

/** Services with up to this many members are ranked by a scan. A scan costs
 * some 10 ns per member for every opening packet; rank tables would cost 24 ms
 * at each change of a member. At 70 new flows a second, a scan of 4,096 members
 * takes 0.3 % of a core. */
constexpr std::size_t kScanLimit = 4096;

/** After a process stall, the backlog of the sockets is read within this time:
 * a few thousand packets at 50 microseconds each. */
constexpr auto kBacklogReadDuration = std::chrono::milliseconds(250);

/** Copies that the fabric makes of a datagram sent before the start arrive
 * within this time; the fault soak delays copies by at most 300 ms. Balancers
 * are rarely in rotation so soon after their start, so hardly any caller waits
 * longer for its answer because of it. */
constexpr auto kDelayedCopyDuration = std::chrono::milliseconds(500);

/** For this long after its start, a balancer may not have discovered all hosts:
 * two heartbeats of the agents, and one read of the BalancerDirectory, in which
 * balancers and agents find each other if their seeds are unreachable.
 *
 * Guards against: after a power loss of all VMs, a balancer that is up before
 * the hosts refuses each caller, which tries three times within 30 ms and gives
 * up. If the opening packet is dropped instead, the caller repeats it after 200
 * ms, when the hosts are available. */
constexpr auto kHostDiscoveryDuration = std::chrono::milliseconds(2000);

Member MakeSelf(const FlowSteering::Options& aOptions)
{
  Member out;
  out.mHost = aOptions.mHost;
  out.mDataCentre = aOptions.mDataCentre;
  out.mTunnel = aOptions.mSelf;
  return out;
}

} // namespace

FlowSteering::FlowSteering(const Options& aOptions, const PacketFormat& aFormat,
                           FlowSteeringOutput& aOutput)
  : mOptions(aOptions)
  , mFormat(aFormat)
  , mOutput(aOutput)
  , mViews(kScanLimit)
  , mHints(aOptions.mMaxHints)
  , mLocations(MakeSelf(aOptions))
  , mQueries({ { aOptions.mSelf, aOptions.mDataCentre, aOptions.mFirstRound },
               aOptions.mQueryGuards,
               aOptions.mFlowRetention },
             *this)
  , mRouteServices(aOptions.mFlowRetention)
{
}

void FlowSteering::SetInventory(FlowInventoryPtr aInventory)
{
  mInventory = std::move(aInventory);
  mRouteServices.SetInventory(*mInventory);
}

void FlowSteering::SetDrains(const DataCentreDrains& aDrains)
{
  mDrains = aDrains;
  mViews.SetDrains(aDrains);
  UpdateMembers();
}

void FlowSteering::SetViews(std::span<const MemberViewPtr> aViews,
                            std::span<const ServiceId> aServices)
{
  mViews.Set(aViews, aServices);
  UpdateMembers();
}

void FlowSteering::UpdateMembers()
{
  std::unordered_map<HostId, Member> members;
  std::vector<QueriedHost> queried;
  for (const auto& [service, entry] : mViews.All()) {
    for (const Member& it : entry.mView->Members()) {
      members.insert_or_assign(it.mHost, it);
    }
  }
  queried.reserve(members.size());
  for (const auto& [host, it] : members) {
    queried.push_back(
      { host, it.mTunnel, it.mDataCentre, it.mState == HostState::Leaving });
  }
  mQueries.SetHosts(std::move(queried));
  members.swap(mMembers);
  LogMemberChanges(members);
}

/** Logs the hosts that were added, changed state or were removed since
 * aBefore. */
void FlowSteering::LogMemberChanges(
  const std::unordered_map<HostId, Member>& aBefore) const
{
  for (const auto& [host, member] : mMembers) {
    auto it = aBefore.find(host);
    if (it == aBefore.end() || it->second.mState != member.mState) {
      LogEvent(LogLevel::Info, "member",
               { { "host", member.mTunnel.ToString() },
                 { "state", ToString(member.mState) },
                 { "incarnation", member.mIncarnation } });
    }
  }
  for (const auto& [host, member] : aBefore) {
    if (!mMembers.contains(host)) {
      LogEvent(LogLevel::Warning, "member_dropped",
               { { "host", member.mTunnel.ToString() },
                 { "state", ToString(member.mState) } });
    }
  }
}

void FlowSteering::OnProcessStall(Time aNow)
{
  mWatch.ForgetAll();
  mQueries.OnProcessStall(aNow);
  mAssumeCopiesUntil =
    std::max(mAssumeCopiesUntil, aNow + kBacklogReadDuration);
}

void FlowSteering::OnStart(Time aNow)
{
  mAssumeCopiesUntil = aNow + kDelayedCopyDuration;
  mHostDiscoveryUntil = aNow + kHostDiscoveryDuration;
}

std::size_t FlowSteering::UsableHosts() const
{
  return static_cast<std::size_t>(
    std::count_if(mMembers.begin(), mMembers.end(),
                  [](const auto& aIt) { return CanAdopt(aIt.second); }));
}

OrderInputs FlowSteering::MakeOrderInputs(Time aNow) const
{
  return { mOptions.mDataCentre, [this, aNow](HostId aHost) {
            return mWatch.IsSuspected(aHost, aNow);
          } };
}

SteeredPacket FlowSteering::MakeSteered(const FlowRoute* aRoute,
                                        ServiceId aService,
                                        SteerPurpose aPurpose,
                                        ByteView aDatagram) const
{
  SteeredPacket out;
  out.mService = aService;
  out.mPurpose = aPurpose;
  out.mIngress = mOptions.mSelf;
  if (aRoute != nullptr) {
    out.mImportance = aRoute->mImportance;
    out.mLatencyTarget = aRoute->mLatencyTarget;
  }
  if (aPurpose == SteerPurpose::Place) {
    out.mDrainsVersion = mDrains.mVersion;
    out.mColdRate = mInventory->ColdRateOf(aService);
  }
  out.mPacket.assign(aDatagram.begin(), aDatagram.end());
  return out;
}

void FlowSteering::OnPacket(ByteView aDatagram, Time aNow)
{
  auto packet = mFormat.Parse(aDatagram);
  if (!packet) {
    Increment(SteerEvent::Malformed);
    return;
  }
  // Without routes the packet is dropped as if it were lost in the network: a
  // caller that is refused for an unknown route by a balancer that just started
  // would give up.
  if (!mInventory) {
    Increment(SteerEvent::DroppedNotReady);
    return;
  }
  if (packet->mSyn) {
    Open(*packet, aDatagram, aNow);
  } else {
    Forward(*packet, aDatagram, aNow);
  }
}
std::optional<FlowHint> FlowSteering::FindHint(std::uint64_t aHash)
{
  auto hint = mHints.Find(aHash);
  return hint ? std::optional(FlowHint::Unpack(*hint)) : std::nullopt;
}

const Member* FlowSteering::HintedMember(std::uint64_t aHash)
{
  auto hint = mHints.Find(aHash);
  if (!hint) {
    return nullptr;
  }
  auto it = mMembers.find(hint->mHost);
  return it == mMembers.end() ? nullptr : &it->second;
}
void FlowSteering::OnTick(Time aNow)
{
  for (auto& it : mWatch.TakeTimedOut(aNow)) {
    LogEvent(LogLevel::Warning, "offer_unanswered",
             { { "flow", it.mFlow.ToString() },
               { "host", it.mUnresponsive.ToString() },
               { "others", it.mCandidates.size() } });
    if (it.mCandidates.empty()) {
      continue;
    }
    Increment(SteerEvent::OfferedAgain);
    Offer(it.mFlow, std::move(it.mSteered), std::move(it.mCandidates),
          PlacementWatch::Copy::Later, aNow, it.mRepeatedOffers);
  }
  for (const FlowKey& it : mSearches.TakeUnlocated(aNow)) {
    OnNotLocated(it, SteerEvent::LocateTimedOut, aNow);
  }
  if (mInventory) {
    mQueries.OnRoutes(aNow);
  }
  mRouteServices.OnTick(aNow);
  mQueries.OnTick(aNow);
}

std::optional<Time> FlowSteering::NextAt() const
{
  return EarlierOf(mWatch.NextAt(),
                   EarlierOf(mSearches.NextAt(), mQueries.NextAt()));
}

void FlowSteering::Forward(const FlowPacket& aPacket, ByteView aDatagram,
                           Time aNow)
{
  FlowKey flow = aPacket.FlowFromCaller();
  std::uint64_t hash = HashFlow(flow);
  if (aPacket.mFin || aPacket.mReset) {
    OnFlowEnded(hash);
  }
  const FlowRoute* route = mInventory->Find(flow.mService);
  if (const Member* member = HintedMember(hash)) {
    Increment(SteerEvent::Hinted);
    mOutput.Steer(
      member->mTunnel,
      MakeSteered(route, member->mService, SteerPurpose::Deliver, aDatagram));
    return;
  }
  if (route == nullptr) {
    Increment(SteerEvent::DroppedNoRoute);
    return;
  }
  if (ResetIfHeldNowhere(aPacket, aNow)) {
    return;
  }
  SteeredPacket steered =
    MakeSteered(route, {}, SteerPurpose::Search, aDatagram);
  if (!mSearches.OnPacket(flow, steered, aNow)) {
    Increment(SteerEvent::HeldForSearch);
    return;
  }
  if (!Locate(flow, std::move(steered))) {
    StartQuery(flow, aNow);
  }
}

void FlowSteering::OnReport(const PlacementReport& aReport, Time aNow)
{
  mWatch.ClearSuspicion(aReport.mHost);
  if (aReport.mOutcome == PlacementOutcome::Placed) {
    auto offer = mWatch.End(aReport.mFlow);
    if (offer) {
      mOutput.Placed(aNow - offer->mSentAt);
    }
    StoreHost(aReport, offer ? &offer->mSteered : nullptr, aNow);
    mQueries.Forget(aReport.mFlow);
    DeliverFound(aReport.mFlow, aReport.mHost);
    return;
  }
  if (mWatch.EndRefused(aReport.mFlow, aNow)) {
    RefuseWithReset(aReport.mFlow, SteerEvent::RefusedByHosts);
  } else {
    RefuseWithoutReset(aReport.mFlow, SteerEvent::RefusedByHosts);
  }
}

} // namespace heatherplank
