#include "src/membership/AgentMembership.h"

#include <algorithm>
#include <utility>

namespace heatherplank {

namespace {

/** One heartbeat in this many is also sent to a randomly chosen balancer. */
constexpr std::uint32_t kHeartbeatsPerProbe = 2;

} // namespace

AgentMembership::AgentMembership(const Member& aSelf,
                                 const InventoryCheck& aCheck,
                                 const AgentMembershipOptions& aOptions,
                                 std::uint64_t aSeed, Time aNow)
  : mSelf(aSelf)
  , mOptions(aOptions)
  , mSeeds(aOptions.mSeeds)
  , mPeers(MemberTableId::Hosts, aCheck, TableOptions())
  , mBalancers(MemberTableId::Balancers, mBalancerCheck, TableOptions())
  , mRandom(aSeed)
  , mServingSince(aNow)
{
}

MemberTableOptions AgentMembership::TableOptions()
{
  MemberTableOptions options;
  options.mDetectsFailures = false;
  // The monitors limit how many hosts are declared dead at once
  // (mMaxDeadFraction) before they report a death.
  options.mCapDeaths = false;
  return options;
}

std::vector<SendMembership> AgentMembership::TakeActions()
{
  return std::exchange(mActions, {});
}

void AgentMembership::SetState(HostState aState, Time aNow)
{
  if (aState <= mSelf.mState) {
    return;
  }
  mSelf.mState = aState;
  mServingSince = aNow;
  SendHeartbeats(aNow);
}

void AgentMembership::SetSlots(std::uint16_t aSlots, Time aNow)
{
  if (aSlots == mSelf.mSlots) {
    return;
  }
  mSelf.mSlots = aSlots;
  ++mRevision;
  SendHeartbeats(aNow);
}

void AgentMembership::Restart(Incarnation aIncarnation, Time aNow)
{
  mSelf.mIncarnation = aIncarnation;
  mSelf.mState = HostState::Cold;
  mServingSince = aNow;
  mHeartbeatNumber = 0;
  SendHeartbeats(aNow);
}

void AgentMembership::OnTick(Time aNow)
{
  mPeers.OnTick(aNow);
  mBalancers.OnTick(aNow);
  if (mAssignment && aNow - mConfirmedAt > mOptions.mAssignmentTimeout) {
    mAssignment.reset();
  }
  Duration interval = IsDiscovering(aNow) ? mOptions.mDiscoveryInterval
                                          : mOptions.mHeartbeatInterval;
  if (aNow - mHeartbeatAt >= interval) {
    SendHeartbeats(aNow);
  }
}

bool AgentMembership::IsDiscovering(Time aNow) const
{
  return mConfirmedAt == Time{} &&
         aNow - mServingSince < mOptions.mDiscoveryTimeout;
}

void AgentMembership::SetSeeds(std::vector<Address> aSeeds, Time aNow)
{
  mSeeds = std::move(aSeeds);
  // The first heartbeat announces the host, and goes to all monitors.
  if (mHeartbeatNumber > 0) {
    AnnounceToNewMonitors(aNow);
  }
}

/** Guards against: a balancer that starts learns of the hosts only from their
 * next heartbeats, up to 0.5 s later, and refuses callers meanwhile. An agent
 * therefore sends a heartbeat to a new monitor as soon as it learns of it. */
void AgentMembership::AnnounceToNewMonitors(Time aNow)
{
  std::vector<Address> monitors = Monitors();
  std::vector<Address> added;
  for (const Address& it : monitors) {
    if (std::ranges::count(mLastMonitors, it) == 0) {
      added.push_back(it);
    }
  }
  mLastMonitors = std::move(monitors);
  if (added.empty()) {
    return;
  }
  Heartbeat heartbeat = MakeHeartbeat(aNow);
  for (const Address& it : added) {
    mActions.push_back({ it, heartbeat });
  }
}

void AgentMembership::SendHeartbeats(Time aNow)
{
  mHeartbeatAt = aNow;
  Heartbeat heartbeat = MakeHeartbeat(aNow);
  std::vector<Address> receivers = Monitors();
  mLastMonitors = receivers;
  bool isSubset = mAssignment ||
                  !mOptions.mMonitors.IncludesAll(Balancers()->mMembers.size());
  bool probes = isSubset && mHeartbeatNumber % kHeartbeatsPerProbe == 0;
  if (probes && !receivers.empty()) {
    receivers.push_back(RandomBalancer());
  }
  bool knowsNone = !mAssignment && Balancers()->mMembers.empty();
  if (knowsNone && receivers.size() > mOptions.mMaxSeedsPerHeartbeat) {
    std::shuffle(receivers.begin(), receivers.end(), mRandom);
    receivers.resize(mOptions.mMaxSeedsPerHeartbeat);
  }
  for (const Address& it : receivers) {
    mActions.push_back({ it, heartbeat });
  }
}

Heartbeat AgentMembership::MakeHeartbeat(Time aNow)
{
  mHeartbeatSentAt[(mHeartbeatNumber + 1) % kMaxTrackedHeartbeats] = aNow;
  Heartbeat heartbeat;
  heartbeat.mRecord.mMember = mSelf;
  heartbeat.mRecord.mRevision = mRevision;
  heartbeat.mRecord.mHeartbeatNumber = ++mHeartbeatNumber;
  heartbeat.mRecord.mAge = aNow - mServingSince;
  heartbeat.mVersion = mPeers.Version();
  mPeers.OnHeartbeat(heartbeat, aNow);
  heartbeat.mServiceDigest =
    mOptions.mWantsPeers ? mPeers.ServiceDigest(mSelf.mService) : kWantsNoPeers;
  heartbeat.mBalancerDigest = mAssignment
                                ? mAssignment->Digest()
                                : mBalancers.ServiceDigest(BalancerService());
  heartbeat.mMonitorSource = Source();
  return heartbeat;
}

MonitorSource AgentMembership::Source() const
{
  if (!mOptions.mAcceptsAssignment) {
    return MonitorSource::AllBalancers;
  }
  if (!mAssignment) {
    return MonitorSource::None;
  }
  return mAssignment->mIsProvisional ? MonitorSource::Provisional
                                     : MonitorSource::Assigned;
}

/** Guards against: all monitors of a host die at once, no balancer notifies its
 * agent of the new monitors, and the host is declared dead. Some heartbeats
 * therefore also go to a randomly chosen balancer, which detects by the digests
 * that the agent's list is outdated and sends the current one. */
Address AgentMembership::RandomBalancer()
{
  if (mAssignment) {
    std::vector<Address> others = mSeeds;
    for (const MemberRecord& it : mAssignment->Spares()) {
      others.push_back(it.mMember.mControl);
    }
    return others.empty() ? mAssignment->mRecords.front().mMember.mControl
                          : others[mRandom() % others.size()];
  }
  MemberViewPtr view = Balancers();
  std::size_t known = view->mMembers.size();
  std::size_t pick = mRandom() % (known + mSeeds.size());
  return pick < known ? view->mMembers[pick].mControl : mSeeds[pick - known];
}

std::vector<Member> AgentMembership::KnownBalancers() const
{
  if (!mAssignment) {
    return Balancers()->mMembers;
  }
  std::vector<Member> out;
  for (const MemberRecord& it : mAssignment->mRecords) {
    out.push_back(it.mMember);
  }
  return out;
}

std::vector<Address> AgentMembership::Monitors() const
{
  if (mAssignment) {
    std::vector<Address> out;
    for (const MemberRecord& it : mAssignment->Monitors()) {
      out.push_back(it.mMember.mControl);
    }
    return out;
  }
  MemberViewPtr view = Balancers();
  if (view->mMembers.empty()) {
    return mSeeds;
  }
  std::size_t known = view->mMembers.size();
  // Where all balancers are monitors, the seeds are monitors too: each would
  // suspect this host until it is in the agent's list of balancers.
  std::vector<Address> monitors;
  if (mOptions.mMonitors.IncludesAll(known)) {
    monitors = mSeeds;
  }
  for (const Member& it :
       ChooseMonitors(mSelf.mHost, mSelf.mDataCentre, view->mMembers,
                      mOptions.mMonitors.CountOf(known))) {
    if (std::find(monitors.begin(), monitors.end(), it.mControl) ==
        monitors.end()) {
      monitors.push_back(it.mControl);
    }
  }
  return monitors;
}

void AgentMembership::OnMessage(const MembershipMessage& aMessage, Time aNow)
{
  const auto* delta = std::get_if<MemberDelta>(&aMessage);
  if (delta == nullptr) {
    return;
  }
  std::uint32_t age = mHeartbeatNumber - delta->mAnswersHeartbeat;
  if (delta->mAnswersHeartbeat != 0 && age < kMaxTrackedHeartbeats) {
    mConfirmedAt = std::max(
      mConfirmedAt,
      mHeartbeatSentAt[delta->mAnswersHeartbeat % kMaxTrackedHeartbeats]);
  }
  if (delta->mTable == MemberTableId::Hosts) {
    OnPeers(*delta, aNow);
  } else if (delta->mAssignedMonitors != 0) {
    OnAssignment(*delta, aNow);
  } else {
    OnBalancers(*delta, aNow);
  }
  // A balancer that suspects this host requests a heartbeat; see
  // BalancerMembership::RequestHeartbeatsFromSuspects.
  if (delta->mRequestsHeartbeat && !delta->mRecords.empty()) {
    mActions.push_back(
      { delta->mRecords.front().mMember.mControl, MakeHeartbeat(aNow) });
  }
}

void AgentMembership::OnPeers(const MemberDelta& aDelta, Time aNow)
{
  if (aDelta.mIsComplete) {
    mPeers.OnServiceDelta(mSelf.mService, aDelta, mOptions.mDropUnlistedAfter,
                          aNow);
  } else {
    mPeers.OnDelta(aDelta, aNow);
  }
  SupersedeNewerIncarnation(aDelta, aNow);
}

/** A balancer that starts knows few others, so its assignment does not replace
 * one of a balancer that knows all.
 *
 * Guards against: balancers whose views differ assign different monitors, and
 * each heartbeat to a new monitor is answered with another assignment. At most
 * one is accepted per heartbeat interval. */
void AgentMembership::OnAssignment(const MemberDelta& aDelta, Time aNow)
{
  bool isWorse =
    mAssignment && !mAssignment->mIsProvisional && aDelta.mIsProvisional;
  bool isTooSoon =
    mAssignment && aNow - mAssignedAt < mOptions.mHeartbeatInterval;
  if (!mOptions.mAcceptsAssignment || isWorse || isTooSoon ||
      aDelta.mAssignedMonitors > aDelta.mRecords.size()) {
    return;
  }
  mAssignment = MonitorAssignment{ aDelta.mRecords, aDelta.mAssignedMonitors,
                                   aDelta.mIsProvisional };
  mAssignedAt = aNow;
  AnnounceToNewMonitors(aNow);
}

void AgentMembership::OnBalancers(const MemberDelta& aDelta, Time aNow)
{
  if (aDelta.mIsComplete) {
    // The fleet has become so small that all balancers are monitors.
    mAssignment.reset();
    mBalancers.OnServiceDelta(BalancerService(), aDelta,
                              mOptions.mDropUnlistedAfter, aNow);
  } else if (!aDelta.mRequestsHeartbeat || !mAssignment) {
    mBalancers.OnDelta(aDelta, aNow);
  }
  AnnounceToNewMonitors(aNow);
}

/** Guards against: the host's clock steps back across a restart, so the new
 * incarnation is lower than the previous one, every heartbeat counts as stale
 * and the host never returns. Visible in the counter heartbeat_stale. The agent
 * is sent its own record with the higher incarnation, and adopts the next
 * incarnation above it. */
void AgentMembership::SupersedeNewerIncarnation(const MemberDelta& aDelta,
                                                Time aNow)
{
  for (const MemberRecord& it : aDelta.mRecords) {
    bool newer = it.mMember.mHost == mSelf.mHost &&
                 it.mMember.mIncarnation > mSelf.mIncarnation;
    if (newer) {
      mSelf.mIncarnation = it.mMember.mIncarnation + 1;
      SendHeartbeats(aNow);
    }
  }
}

} // namespace heatherplank
