#include "src/passthrough/FlowSteering.h"

#include <algorithm>
#include <utility>

#include "src/base/Log.h"

namespace heatherplank {

namespace {

/** Members of one service that are ranked by a scan: some 10 ns each for every
 * opening packet, where tables would cost 24 ms at each change of a member. At
 * 70 new flows a second, a scan of 4,096 is 0.3 % of a core. */
constexpr std::size_t kScanLimit = 4096;

/** What waited in the sockets is read within this after a standstill: a few
 * thousand packets at 50 microseconds. */
constexpr auto kQueueReadWithin = std::chrono::milliseconds(250);

/** Copies of a datagram that the fabric makes come within this; the fault soak
 * delays them by 300 ms at most. Balancers are rarely in rotation so soon after
 * their start, so hardly any caller waits for its answer because of it. */
constexpr auto kCopiesAfterStart = std::chrono::milliseconds(500);

/** How long after its start a balancer may not have heard the hosts yet: two
 * heartbeats and a reading of the directory.
 *
 * Failure met: everything lost power and comes back; a balancer that is up
 * before the hosts refuses each caller, who tries three times within 30 ms and
 * gives up. Dropped, the opening packet is repeated after 200 ms, when the
 * hosts are there. */
constexpr auto kHearHostsWithin = std::chrono::milliseconds(2000);

} // namespace

FlowSteering::FlowSteering(const Options& aOptions, const PacketFormat& aFormat,
                           FlowSteeringOutput& aOutput)
  : mOptions(aOptions)
  , mFormat(aFormat)
  , mOutput(aOutput)
  , mViews(kScanLimit)
  , mHints(aOptions.mMaxHints)
{
}

void FlowSteering::SetInventory(FlowInventoryPtr aInventory)
{
  mInventory = std::move(aInventory);
}

void FlowSteering::SetDrains(const DataCentreDrains& aDrains)
{
  mDrains = aDrains;
  mViews.SetDrains(aDrains);
  TakeMembers();
}

void FlowSteering::SetViews(std::span<const MemberViewPtr> aViews,
                            std::span<const ServiceId> aServices)
{
  mViews.Set(aViews, aServices);
  TakeMembers();
}

void FlowSteering::TakeMembers()
{
  std::unordered_map<HostId, Member> members;
  for (const auto& [service, held] : mViews.All()) {
    for (const Member& it : held.mView->Members()) {
      members.insert_or_assign(it.mHost, it);
    }
  }
  members.swap(mMembers);
  LogChanges(members);
}

/** Says which hosts came, changed or went since aBefore. */
void FlowSteering::LogChanges(
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

void FlowSteering::OnStandstill(Time aNow)
{
  mWatch.ForgetAll();
  mStaleUntil = std::max(mStaleUntil, aNow + kQueueReadWithin);
}

void FlowSteering::OnStart(Time aNow)
{
  mStaleUntil = aNow + kCopiesAfterStart;
  mHearsUntil = aNow + kHearHostsWithin;
}

std::size_t FlowSteering::UsableHosts() const
{
  return static_cast<std::size_t>(
    std::count_if(mMembers.begin(), mMembers.end(),
                  [](const auto& aIt) { return CanAdopt(aIt.second); }));
}

OrderInputs FlowSteering::Inputs(Time aNow) const
{
  return { mOptions.mDataCentre, [this, aNow](HostId aHost) {
            return mWatch.IsSuspect(aHost, aNow);
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
    Add(SteerEvent::Malformed);
    return;
  }
  // Judged by nothing, a packet is dropped as if it were lost on the way: told
  // "no such route" by a balancer that just started, a caller would give up.
  if (!mInventory) {
    Add(SteerEvent::DroppedNotReady);
    return;
  }
  if (packet->mSyn) {
    Open(*packet, aDatagram, aNow);
  } else {
    Forward(*packet, aDatagram, aNow);
  }
}

void FlowSteering::RefuseOpen(const FlowKey& aFlow, SteerEvent aWhy)
{
  Add(aWhy);
  LogFlow("refused", { { "flow", aFlow.ToString() },
                       { "why", ToString(aWhy) },
                       { "routes_version", RoutesVersion() } });
  mOutput.ToCaller(aFlow.mCaller, mFormat.MakeReset(aFlow, 0));
}

/** A later copy is dropped: the first one may have opened the flow elsewhere,
 * and a refusal would reset it. */
void FlowSteering::RefuseOrDrop(const FlowKey& aFlow, bool aIsLater,
                                SteerEvent aWhy)
{
  if (aIsLater) {
    RefuseQuietly(aFlow, aWhy);
  } else {
    RefuseOpen(aFlow, aWhy);
  }
}

void FlowSteering::RefuseQuietly(const FlowKey& aFlow, SteerEvent aWhy)
{
  Add(SteerEvent::RefusedQuietly);
  LogFlow("refused_quietly", { { "flow", aFlow.ToString() },
                               { "why", ToString(aWhy) },
                               { "routes_version", RoutesVersion() } });
}

std::vector<PlacementCandidate> FlowSteering::CandidatesFor(ServiceId aService,
                                                            std::uint64_t aHash,
                                                            Time aNow)
{
  std::vector<PlacementCandidate> out;
  const auto* held = mViews.Find(aService);
  if (held == nullptr) {
    return out;
  }
  for (const Member* it :
       OrderForPlacement(*held->mView, aHash, Inputs(aNow))) {
    out.push_back({ it->mHost, it->mTunnel });
  }
  return out;
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

void FlowSteering::Open(const FlowPacket& aPacket, ByteView aDatagram,
                        Time aNow)
{
  FlowKey flow = aPacket.FlowFromCaller();
  std::uint64_t hash = HashFlow(flow);
  const Member* hinted = HintedMember(hash);
  bool isLater = aPacket.mRepeats > 0 || hinted != nullptr ||
                 mWatch.IsWatched(flow) || aNow < mStaleUntil;
  const FlowRoute* route = mInventory->Find(flow.mService);
  if (route == nullptr) {
    RefuseOrDrop(flow, isLater, SteerEvent::RefusedNoRoute);
    return;
  }
  ServiceId service = route->ServiceOf(hash);
  auto candidates = CandidatesFor(service, hash, aNow);
  SteeredPacket steered =
    MakeSteered(route, service, SteerPurpose::Place, aDatagram);
  // A copy of an opening packet goes to the host that answered the first one,
  // if any: there it opens nothing new.
  bool isHintOfUse = hinted != nullptr && hinted->mService == service &&
                     !mDrains.Contains(hinted->mDataCentre);
  if (isHintOfUse) {
    std::erase_if(candidates, [&](const PlacementCandidate& aIt) {
      return aIt.mHost == hinted->mHost;
    });
    candidates.insert(candidates.begin(), { hinted->mHost, hinted->mTunnel });
  }
  if (candidates.empty()) {
    RefuseOrDrop(flow, isLater || aNow < mHearsUntil,
                 SteerEvent::RefusedNoHost);
    return;
  }
  Add(SteerEvent::Offered);
  Offer(flow, std::move(steered), std::move(candidates),
        isLater ? PlacementWatch::Copy::Later : PlacementWatch::Copy::First,
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

void FlowSteering::OnTick(Time aNow)
{
  for (auto& it : mWatch.TakeLate(aNow)) {
    LogEvent(LogLevel::Warning, "offer_unanswered",
             { { "flow", it.mFlow.ToString() },
               { "host", it.mSilent.ToString() },
               { "others", it.mCandidates.size() } });
    if (it.mCandidates.empty()) {
      continue;
    }
    Add(SteerEvent::OfferedAgain);
    Offer(it.mFlow, std::move(it.mSteered), std::move(it.mCandidates),
          PlacementWatch::Copy::Later, aNow, it.mRetries);
  }
}

void FlowSteering::Forward(const FlowPacket& aPacket, ByteView aDatagram,
                           Time aNow)
{
  FlowKey flow = aPacket.FlowFromCaller();
  std::uint64_t hash = HashFlow(flow);
  const FlowRoute* route = mInventory->Find(flow.mService);
  if (const Member* member = HintedMember(hash)) {
    Add(SteerEvent::Hinted);
    mOutput.Steer(
      member->mTunnel,
      MakeSteered(route, member->mService, SteerPurpose::Deliver, aDatagram));
    return;
  }
  if (route == nullptr) {
    Add(SteerEvent::DroppedNoRoute);
    return;
  }
  SearchAll(flow, *route,
            MakeSteered(route, {}, SteerPurpose::Search, aDatagram), hash,
            aNow);
}

void FlowSteering::OnReport(const PlacementReport& aReport, Time aNow)
{
  mWatch.Clear(aReport.mHost);
  if (aReport.mOutcome == PlacementOutcome::Placed) {
    if (auto sentAt = mWatch.End(aReport.mFlow)) {
      mOutput.Placed(aNow - *sentAt);
    }
    mHints.Put(HashFlow(aReport.mFlow), { aReport.mHost, 0 });
    DeliverFound(aReport);
    return;
  }
  if (mWatch.EndRefused(aReport.mFlow, aNow)) {
    RefuseOpen(aReport.mFlow, SteerEvent::RefusedByHosts);
  } else {
    RefuseQuietly(aReport.mFlow, SteerEvent::RefusedByHosts);
  }
}

} // namespace heatherplank
