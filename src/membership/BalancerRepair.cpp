// Repair of outdated or wrong records in this balancer, its peers and agents.
#include <algorithm>

#include "src/membership/BalancerMembership.h"
#include "src/membership/MessageSize.h"
#include "src/membership/MonitorAssignment.h"

namespace heatherplank {

namespace {

/** Maximum number of suspected members queried per heartbeat interval: 64
 * requests of about 200 bytes are 25 KB/s while a rack is down. */
constexpr std::size_t kMaxHeartbeatRequests = 64;

} // namespace

/** Guards against: while the lists of balancers differ, for example because
 * many start one after another, a balancer considers itself the monitor of a
 * host that sends heartbeats to others, and declares it dead: 1,049 times in
 * 40 s of a simulation with 40 balancers and 120 live hosts, whose open flows
 * were then not found there. A suspected member is therefore sent a request for
 * a heartbeat, and answers whichever monitors it has chosen itself. */
void BalancerMembership::RequestHeartbeatsFromSuspects(
  const MemberTable& aTable, Time aNow)
{
  RequestHeartbeats(aTable.Suspected(kMaxHeartbeatRequests), aNow);
}

std::vector<Member> BalancerMembership::RequestHeartbeats(std::size_t aCount,
                                                          Time aNow)
{
  auto sample = mHosts.Sample(aCount, mRandom);
  RequestHeartbeats(sample, aNow);
  return sample;
}

void BalancerMembership::RequestHeartbeats(std::span<const Member> aMembers,
                                           Time aNow)
{
  auto self = mBalancers.Find(mSelf.mHost, aNow);
  if (!self) {
    return;
  }
  MemberDelta request;
  request.mTable = MemberTableId::Balancers;
  request.mVersion = mBalancers.Version();
  request.mRecords.push_back(*self);
  request.mRequestsHeartbeat = true;
  for (const Member& it : aMembers) {
    mBudget.Take(EncodedBytes(request));
    Send(it.mControl, request);
  }
}

/** Sends a member the record of its newer incarnation, if this balancer holds
 * one: see SupersedeNewerIncarnation. */
void BalancerMembership::SendNewerIncarnation(const Heartbeat& aHeartbeat,
                                              Time aNow)
{
  const Member& sender = aHeartbeat.mRecord.mMember;
  auto current = TableOf(aHeartbeat.mTable).Find(sender.mHost, aNow);
  if (current && current->mMember.mIncarnation > sender.mIncarnation) {
    MemberDelta newer;
    newer.mTable = aHeartbeat.mTable;
    newer.mRecords.push_back(*current);
    Send(sender.mControl, newer);
  }
}

/** The counterpart of AgentMembership::SupersedeNewerIncarnation. Without it a
 * balancer that restarts with a lower incarnation is dropped by all others and
 * receives no changes. */
void BalancerMembership::SupersedeNewerIncarnation(const MemberDelta& aDelta,
                                                   Time aNow)
{
  for (const MemberRecord& it : aDelta.mRecords) {
    if (it.mMember.mHost == mSelf.mHost &&
        it.mMember.mIncarnation > mSelf.mIncarnation) {
      mSelf.mIncarnation = it.mMember.mIncarnation + 1;
      SendHeartbeats(aNow);
    }
  }
}

/** Guards against: a change sent to an agent is lost, and the agent continues
 * to hand off flows to a host that left. Each heartbeat carries digests of the
 * agent's members and balancers; if one differs, the balancer sends the whole
 * list. */
void BalancerMembership::RepairAgent(const Heartbeat& aHeartbeat, Time aNow)
{
  const Member& member = aHeartbeat.mRecord.mMember;
  bool accepts = aHeartbeat.mMonitorSource != MonitorSource::AllBalancers;
  if (accepts && AssignsMonitors()) {
    RepairAssignment(aHeartbeat, aNow);
    return;
  }
  // A balancer that is still starting holds only part of the service.
  if (!mStarted || mBudget.Available(aNow) == 0) {
    return;
  }
  bool wantsPeers = aHeartbeat.mServiceDigest != kWantsNoPeers;
  if (wantsPeers &&
      aHeartbeat.mServiceDigest != mHosts.ServiceDigest(member.mService)) {
    SendService(member.mControl, mHosts, member.mService, aNow);
  }
  if (aHeartbeat.mBalancerDigest !=
      mBalancers.ServiceDigest(BalancerService())) {
    SendService(member.mControl, mBalancers, BalancerService(), aNow);
  }
}

/** Whether agents that accept it get their monitors assigned instead of a list
 * of all balancers. */
bool BalancerMembership::AssignsMonitors() const
{
  std::size_t balancers = mBalancers.View(BalancerService())->mMembers.size();
  return !mOptions.mMonitors.IncludesAll(balancers);
}

void BalancerMembership::RepairAssignment(const Heartbeat& aHeartbeat,
                                          Time aNow)
{
  bool isWorse =
    !mStarted && aHeartbeat.mMonitorSource == MonitorSource::Assigned;
  if (isWorse) {
    return;
  }
  const Member& agent = aHeartbeat.mRecord.mMember;
  auto assignment = AssignMonitors(agent, mBalancers, mOptions.mMonitors, aNow);
  bool isFinal =
    !mStarted || aHeartbeat.mMonitorSource == MonitorSource::Assigned;
  bool isSame = assignment.Digest() == aHeartbeat.mBalancerDigest;
  if (assignment.mMonitors == 0 || (isSame && isFinal)) {
    return;
  }
  MemberDelta delta;
  delta.mTable = MemberTableId::Balancers;
  delta.mVersion = mBalancers.Version();
  delta.mRecords = std::move(assignment.mRecords);
  delta.mAssignedMonitors = static_cast<std::uint8_t>(assignment.mMonitors);
  delta.mIsProvisional = !mStarted;
  mSnapshotBudget.Take(EncodedBytes(delta));
  Send(agent.mControl, delta);
}

void BalancerMembership::SendService(const Address& aTo,
                                     const MemberTable& aTable,
                                     ServiceId aService, Time aNow)
{
  MemberDelta delta = aTable.ServiceDelta(aService, aNow);
  mBudget.Take(EncodedBytes(delta));
  Send(aTo, delta);
}

void BalancerMembership::On(const MemberDigest& aDigest, Time aNow)
{
  const Member* peer = FindBalancer(aDigest.mFrom);
  if (peer == nullptr) {
    return;
  }
  MemberTable& table = TableOf(aDigest.mTable);
  auto differences = table.Differences(aDigest, mOptions.mMaxRepairRanges);
  AdaptDigestInterval(!differences.empty(), aNow);
  // Several peers may hold what is missing here; one of them sends it.
  Time& requestedAt = mRepairRequestedAt[static_cast<int>(aDigest.mTable)];
  if (aNow - requestedAt >= mOptions.mMinDigestInterval) {
    requestedAt = differences.empty() ? requestedAt : aNow;
    for (auto& it : differences) {
      it.mFrom = mSelf.mHost;
      Send(peer->mControl, it);
    }
  }
  if (!aDigest.mIsReply && mSnapshotBudget.Available(aNow) > 0) {
    MemberDigest reply = table.Digest();
    reply.mFrom = mSelf.mHost;
    reply.mIsReply = true;
    mSnapshotBudget.Take(EncodedBytes(reply));
    Send(peer->mControl, reply);
  }
}

void BalancerMembership::AdaptDigestInterval(bool aFoundDifference, Time aNow)
{
  mRepairRounds = aFoundDifference ? mRepairRounds + 1 : 0;
  if (mRepairRounds > mOptions.mMaxRepairRounds) {
    mDigestInterval = mOptions.mDigestInterval;
  } else if (aFoundDifference) {
    mDigestInterval = mOptions.mMinDigestInterval;
  } else {
    mDigestInterval = std::min(2 * mDigestInterval, mOptions.mDigestInterval);
  }
  mDigestAt = std::min(mDigestAt, aNow + mDigestInterval);
}

void BalancerMembership::SendDigestsIfDue(Time aNow)
{
  MemberViewPtr view = mBalancers.View(BalancerService());
  if (aNow < mDigestAt || view->mMembers.size() <= 1) {
    return;
  }
  // Jitter keeps balancers that started together from staying synchronised.
  mDigestAt = aNow + mDigestInterval + mDigestInterval / 8 * (mRandom() % 3);
  const Member& peer = view->mMembers[mRandom() % view->mMembers.size()];
  if (peer.mHost != mSelf.mHost) {
    SendDigests(peer.mControl, false);
  }
}

void BalancerMembership::SendDigests(const Address& aTo, bool aIsReply)
{
  for (MemberTable* it : { &mHosts, &mBalancers }) {
    MemberDigest digest = it->Digest();
    digest.mFrom = mSelf.mHost;
    digest.mIsReply = aIsReply;
    mSnapshotBudget.Take(EncodedBytes(digest));
    Send(aTo, digest);
  }
}

} // namespace heatherplank
