#include "src/membership/BalancerMembership.h"

#include <algorithm>
#include <utility>

#include "src/membership/MessageSize.h"

namespace heatherplank {

namespace {

/** An agent is sent changes for this long after its last heartbeat. */
constexpr Duration kAgentTimeout = std::chrono::seconds(3);

} // namespace

std::string_view ToString(MembershipReadiness aReadiness)
{
  switch (aReadiness) {
    case MembershipReadiness::Starting:
      return "starting";
    case MembershipReadiness::Ready:
      return "ready";
    case MembershipReadiness::Isolated:
      return "isolated";
  }
  return "unknown";
}

BalancerMembership::BalancerMembership(
  const Member& aSelf, const InventoryCheck& aCheck,
  const BalancerMembershipOptions& aOptions, std::uint64_t aSeed, Time aNow)
  : mSelf(aSelf)
  , mOptions(aOptions)
  , mSeeds(aOptions.mSeeds)
  , mHosts(MemberTableId::Hosts, aCheck, aOptions.mTable)
  , mBalancers(MemberTableId::Balancers, mBalancerCheck, aOptions.mTable)
  , mRandom(aSeed)
  , mBudget(aOptions.mBytesPerSecond, aOptions.mBytesPerSecond)
  , mSnapshotBudget(aOptions.mSnapshotBytesPerSecond,
                    aOptions.mSnapshotBytesPerSecond)
  , mStartedAt(aNow)
  , mDigestAt(aNow + aOptions.mMinDigestInterval)
  , mDigestInterval(aOptions.mMinDigestInterval)
  , mHostCountChangedAt(aNow)
{
  std::erase(mSeeds, mSelf.mControl);
  mSelf.mService = BalancerService();
  mSelf.mState = HostState::Serving;
}

std::vector<SendMembership> BalancerMembership::TakeActions()
{
  return std::exchange(mActions, {});
}

MembershipReadiness BalancerMembership::Readiness() const
{
  if (!mStarted) {
    return MembershipReadiness::Starting;
  }
  return mHosts.IsIsolated() ? MembershipReadiness::Isolated
                             : MembershipReadiness::Ready;
}

MemberTable& BalancerMembership::TableOf(MemberTableId aTable)
{
  return aTable == MemberTableId::Hosts ? mHosts : mBalancers;
}

const Member* BalancerMembership::FindBalancer(HostId aHost) const
{
  MemberViewPtr view = mBalancers.View(BalancerService());
  auto it = std::ranges::find(view->mMembers, aHost, &Member::mHost);
  return it == view->mMembers.end() ? nullptr : &*it;
}

void BalancerMembership::Send(const Address& aTo,
                              const MembershipMessage& aMessage)
{
  mActions.push_back({ aTo, aMessage });
}

void BalancerMembership::OnMessage(const MembershipMessage& aMessage, Time aNow)
{
  std::visit([&](const auto& aIt) { On(aIt, aNow); }, aMessage);
}

void BalancerMembership::On(const Heartbeat& aHeartbeat, Time aNow)
{
  bool isNewPeer = aHeartbeat.mTable == MemberTableId::Balancers &&
                   FindBalancer(aHeartbeat.mRecord.mMember.mHost) == nullptr;
  bool accepted = TableOf(aHeartbeat.mTable).OnHeartbeat(aHeartbeat, aNow);
  if (accepted && isNewPeer) {
    // The new peer learns of this balancer, and through it of the hosts,
    // without waiting up to 0.5 s for the next periodic heartbeat.
    Send(aHeartbeat.mRecord.mMember.mControl, MakeHeartbeat());
    Introduce(aHeartbeat.mRecord.mMember, aNow);
  }
  if (accepted) {
    SendNewerIncarnation(aHeartbeat, aNow);
  }
  if (!accepted || aHeartbeat.mTable != MemberTableId::Hosts) {
    return;
  }
  const Member& member = aHeartbeat.mRecord.mMember;
  if (member.mState == HostState::Leaving) {
    mAgents.erase(member.mHost);
    return;
  }
  mAgents[member.mHost] = { member.mControl, member.mService,
                            aHeartbeat.mServiceDigest != kWantsNoPeers,
                            aHeartbeat.mMonitorSource !=
                              MonitorSource::AllBalancers,
                            aNow };
  ConfirmHeartbeat(aHeartbeat);
  RepairAgent(aHeartbeat, aNow);
}

/** Guards against: an agent that was stalled or isolated continues to run its
 * flows while other hosts take them over. The answer carries the number of the
 * heartbeat, so the agent knows until when it was certainly considered alive;
 * without an answer for some time it stops making decisions. */
void BalancerMembership::ConfirmHeartbeat(const Heartbeat& aHeartbeat)
{
  MemberDelta answer;
  answer.mVersion = mHosts.Version();
  answer.mAnswersHeartbeat = aHeartbeat.mRecord.mHeartbeatNumber;
  Send(aHeartbeat.mRecord.mMember.mControl, answer);
}

void BalancerMembership::On(const MemberDelta& aDelta, Time aNow)
{
  if (aDelta.mRequestsHeartbeat && !aDelta.mRecords.empty()) {
    Send(aDelta.mRecords.front().mMember.mControl, MakeHeartbeat());
  }
  std::vector<MemberRecord> changed =
    TableOf(aDelta.mTable).OnDelta(aDelta, aNow);
  if (aDelta.mTable == MemberTableId::Balancers) {
    SupersedeNewerIncarnation(aDelta, aNow);
  }
  if (aDelta.mTree == kNoTree || changed.empty()) {
    return;
  }
  MemberDelta forwarded{ aDelta.mTable, aDelta.mVersion, aDelta.mTree, false,
                         std::move(changed) };
  for (const Address& it : mTree.NextHops(aDelta.mTree)) {
    Send(it, forwarded);
  }
}

void BalancerMembership::OnTick(Time aNow)
{
  mHosts.OnTick(aNow);
  mBalancers.OnTick(aNow);
  if (IsDiscovering(aNow) &&
      aNow - mHeartbeatAt >= mOptions.mDiscoveryInterval) {
    SendHeartbeats(aNow);
  }
  if (aNow - mHeartbeatAt >= mOptions.mHeartbeatInterval) {
    SendHeartbeats(aNow);
    RequestHeartbeatsFromSuspects(mHosts, aNow);
    RequestHeartbeatsFromSuspects(mBalancers, aNow);
  }
  UpdateBalancers(aNow);
  if (!mStarted) {
    Bootstrap(aNow);
  }
  if (aNow - mFlushAt >= mOptions.mFlushInterval) {
    mFlushAt = aNow;
    Flush(mHosts, aNow);
    Flush(mBalancers, aNow);
    NotifyAgents(aNow);
  }
  ServeSnapshots(aNow);
  SendDigestsIfDue(aNow);
}

bool BalancerMembership::IsDiscovering(Time aNow) const
{
  return mBalancers.View(BalancerService())->mMembers.size() <= 1 &&
         aNow - mStartedAt < mOptions.mDiscoveryTimeout;
}

Heartbeat BalancerMembership::MakeHeartbeat()
{
  Heartbeat heartbeat;
  heartbeat.mTable = MemberTableId::Balancers;
  heartbeat.mRecord.mMember = mSelf;
  heartbeat.mRecord.mHeartbeatNumber = ++mHeartbeatNumber;
  heartbeat.mRecord.mAge = std::chrono::hours(1);
  heartbeat.mVersion = mHosts.Version();
  return heartbeat;
}

void BalancerMembership::SendHeartbeats(Time aNow)
{
  mHeartbeatAt = aNow;
  Heartbeat heartbeat = MakeHeartbeat();
  mBalancers.OnHeartbeat(heartbeat, aNow);
  MemberViewPtr view = mBalancers.View(BalancerService());
  // One more than the rule asks for, in case this balancer's list is outdated.
  std::size_t n = mOptions.mMonitors.CountOf(view->mMembers.size()) + 1;
  std::vector<Address> receivers;
  for (const Member& it :
       ChooseMonitors(mSelf.mHost, mSelf.mDataCentre, view->mMembers, n)) {
    receivers.push_back(it.mControl);
  }
  // Seeds that are not members yet are reached by their addresses.
  std::vector<Address> unknown;
  for (const Address& it : mSeeds) {
    if (std::ranges::count(view->mMembers, it, &Member::mControl) == 0) {
      unknown.push_back(it);
    }
  }
  if (unknown.size() > mOptions.mMaxSeedsPerHeartbeat) {
    std::shuffle(unknown.begin(), unknown.end(), mRandom);
    unknown.resize(mOptions.mMaxSeedsPerHeartbeat);
  }
  receivers.insert(receivers.end(), unknown.begin(), unknown.end());
  for (const Address& it : receivers) {
    if (it != mSelf.mControl) {
      Send(it, heartbeat);
    }
  }
}

void BalancerMembership::SetSeeds(std::vector<Address> aSeeds)
{
  mSeeds = std::move(aSeeds);
  std::erase(mSeeds, mSelf.mControl);
}

void BalancerMembership::Leave(Time aNow)
{
  mSelf.mState = HostState::Leaving;
  SendHeartbeats(aNow);
}

void BalancerMembership::UpdateBalancers(Time aNow)
{
  if (mBalancers.TakeChangedServices().empty()) {
    return;
  }
  MemberViewPtr view = mBalancers.View(BalancerService());
  mTree.SetBalancers(mSelf.mHost, view->mMembers);
  bool monitoredAll = std::exchange(
    mMonitorsAll, mOptions.mMonitors.IncludesAll(view->mMembers.size()));
  if (mMonitorsAll && monitoredAll) {
    return;
  }
  auto isMonitoredHere = [this, view](const Member& aMember) {
    return mMonitorsAll ||
           IsMonitor(mSelf.mHost, aMember.mHost, aMember.mDataCentre,
                     view->mMembers, mOptions.mMonitors.mCount);
  };
  mHosts.SetMonitored(isMonitoredHere, aNow);
  mBalancers.SetMonitored(isMonitoredHere, aNow);
}

void BalancerMembership::Flush(MemberTable& aTable, Time aNow)
{
  std::size_t limit = mBudget.Available(aNow) / kRecordBytes;
  std::map<std::uint8_t, MemberDelta> byTree;
  for (const MemberRecord& it : aTable.TakePeerChanges(limit, aNow)) {
    std::uint8_t tree = mTree.TreeOf(it.mMember.mHost);
    MemberDelta& delta = byTree[tree];
    delta.mTable =
      &aTable == &mHosts ? MemberTableId::Hosts : MemberTableId::Balancers;
    delta.mVersion = aTable.Version();
    delta.mTree = tree;
    delta.mRecords.push_back(it);
  }
  SendChanges(byTree);
}

void BalancerMembership::SendChanges(
  std::map<std::uint8_t, MemberDelta>& aByTree)
{
  for (const auto& [tree, delta] : aByTree) {
    for (const Address& it : mTree.FirstHops(tree)) {
      mBudget.Take(EncodedBytes(delta));
      Send(it, delta);
    }
  }
}

void BalancerMembership::NotifyAgents(Time aNow)
{
  std::map<ServiceId, MemberDelta> byService;
  for (const MemberRecord& it : mHosts.TakeViewChanges(aNow)) {
    MemberDelta& delta = byService[it.mMember.mService];
    delta.mVersion = mHosts.Version();
    delta.mRecords.push_back(it);
  }
  MemberDelta balancers;
  balancers.mTable = MemberTableId::Balancers;
  balancers.mVersion = mBalancers.Version();
  balancers.mRecords = mBalancers.TakeViewChanges(aNow);
  bool assigns = AssignsMonitors();
  for (auto it = mAgents.begin(); it != mAgents.end();) {
    const Agent& agent = it->second;
    if (aNow - agent.mLastHeartbeatAt > kAgentTimeout) {
      it = mAgents.erase(it);
      continue;
    }
    auto changes = byService.find(agent.mService);
    if (agent.mWantsPeers && changes != byService.end()) {
      Send(agent.mControl, changes->second);
    }
    bool isAssigned = agent.mAcceptsAssignment && assigns;
    if (!isAssigned && !balancers.mRecords.empty()) {
      Send(agent.mControl, balancers);
    }
    ++it;
  }
}

} // namespace heatherplank
