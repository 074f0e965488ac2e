#include "src/membership/BalancerMembership.h"

#include <algorithm>
#include <utility>

#include "src/membership/MessageSize.h"

namespace heatherplank {

namespace {

/** An agent is told of changes for this long after its last heartbeat. */
constexpr Duration kAgentHeardFor = std::chrono::seconds(3);

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
  , mDigestAt(aNow + aOptions.mDigestEvery)
  , mGrownAt(aNow)
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

void BalancerMembership::On(const Heartbeat& aBeat, Time aNow)
{
  bool isNewPeer = aBeat.mTable == MemberTableId::Balancers &&
                   FindBalancer(aBeat.mRecord.mMember.mHost) == nullptr;
  bool taken = TableOf(aBeat.mTable).OnHeartbeat(aBeat, aNow);
  if (taken && isNewPeer) {
    // It learns of this balancer, and through it of the hosts, half a second
    // before the next heartbeat would tell it.
    Send(aBeat.mRecord.mMember.mControl, MakeBeat());
  }
  if (taken) {
    TellOfNewer(aBeat, aNow);
  }
  if (!taken || aBeat.mTable != MemberTableId::Hosts) {
    return;
  }
  const Member& member = aBeat.mRecord.mMember;
  if (member.mState == HostState::Leaving) {
    mAgents.erase(member.mHost);
    return;
  }
  mAgents[member.mHost] = { member.mControl, member.mService,
                            aBeat.mServiceDigest != kWantsNoPeers, aNow };
  Confirm(aBeat);
  RepairAgent(aBeat, aNow);
}

/** Failure met: an agent that was paused or cut off goes on running its flows
 * while others take them over. The answer names the heartbeat that it answers,
 * so that the agent knows how long ago it was surely held alive; without one
 * for a while it stops deciding. */
void BalancerMembership::Confirm(const Heartbeat& aBeat)
{
  MemberDelta answer;
  answer.mVersion = mHosts.Version();
  answer.mAnswersBeat = aBeat.mRecord.mBeat;
  Send(aBeat.mRecord.mMember.mControl, answer);
}

void BalancerMembership::On(const MemberDelta& aDelta, Time aNow)
{
  if (aDelta.mAsks && !aDelta.mRecords.empty()) {
    Send(aDelta.mRecords.front().mMember.mControl, MakeBeat());
  }
  std::vector<MemberRecord> news = TableOf(aDelta.mTable).OnDelta(aDelta, aNow);
  if (aDelta.mTable == MemberTableId::Balancers) {
    YieldToNewer(aDelta, aNow);
  }
  if (aDelta.mTree == kNoTree || news.empty()) {
    return;
  }
  MemberDelta onward{ aDelta.mTable, aDelta.mVersion, aDelta.mTree, false,
                      std::move(news) };
  for (const Address& it : mTree.NextHops(aDelta.mTree)) {
    mBudget.Take(BytesOf(onward));
    Send(it, onward);
  }
}

void BalancerMembership::OnTick(Time aNow)
{
  mHosts.OnTick(aNow);
  mBalancers.OnTick(aNow);
  if (IsSeeking(aNow) && aNow - mBeatAt >= mOptions.mSeekEvery) {
    Beat(aNow);
  }
  if (aNow - mBeatAt >= mOptions.mHeartbeatEvery) {
    Beat(aNow);
    AskSuspected(mHosts, aNow);
    AskSuspected(mBalancers, aNow);
  }
  UpdateBalancers(aNow);
  if (!mStarted) {
    Bootstrap(aNow);
  }
  if (aNow - mFlushAt >= mOptions.mFlushEvery) {
    mFlushAt = aNow;
    Flush(mHosts, aNow);
    Flush(mBalancers, aNow);
    TellAgents(aNow);
  }
  ServeSnapshots(aNow);
  MemberViewPtr view = mBalancers.View(BalancerService());
  if (aNow >= mDigestAt && view->mMembers.size() > 1) {
    // A little jitter, so that balancers started together don't stay in step.
    mDigestAt = aNow + mOptions.mDigestEvery +
                mOptions.mDigestEvery / 8 * (mRandom() % 3);
    const Member& peer = view->mMembers[mRandom() % view->mMembers.size()];
    if (peer.mHost != mSelf.mHost) {
      SendDigests(peer.mControl, false);
    }
  }
}

bool BalancerMembership::IsSeeking(Time aNow) const
{
  return mBalancers.View(BalancerService())->mMembers.size() <= 1 &&
         aNow - mStartedAt < mOptions.mSeekFor;
}

Heartbeat BalancerMembership::MakeBeat()
{
  Heartbeat beat;
  beat.mTable = MemberTableId::Balancers;
  beat.mRecord.mMember = mSelf;
  beat.mRecord.mBeat = ++mBeat;
  beat.mRecord.mAge = std::chrono::hours(1);
  beat.mVersion = mHosts.Version();
  return beat;
}

void BalancerMembership::Beat(Time aNow)
{
  mBeatAt = aNow;
  Heartbeat beat = MakeBeat();
  mBalancers.OnHeartbeat(beat, aNow);
  MemberViewPtr view = mBalancers.View(BalancerService());
  // One more than judge it, in case this balancer's list is behind theirs.
  std::size_t n = mOptions.mMonitors.CountOf(view->mMembers.size()) + 1;
  std::vector<Address> to;
  for (const Member& it :
       ChooseMonitors(mSelf.mHost, mSelf.mDataCentre, view->mMembers, n)) {
    to.push_back(it.mControl);
  }
  // Seeds that are not members yet have to be met by their addresses.
  for (const Address& it : mSeeds) {
    bool known = std::ranges::count(view->mMembers, it, &Member::mControl) > 0;
    if (!known) {
      to.push_back(it);
    }
  }
  for (const Address& it : to) {
    if (it != mSelf.mControl) {
      Send(it, beat);
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
  Beat(aNow);
}

void BalancerMembership::UpdateBalancers(Time aNow)
{
  if (mBalancers.TakeChangedServices().empty()) {
    return;
  }
  MemberViewPtr view = mBalancers.View(BalancerService());
  mTree.SetBalancers(mSelf.mHost, view->mMembers);
  bool judgedAll =
    std::exchange(mJudgesAll, mOptions.mMonitors.AreAll(view->mMembers.size()));
  if (mJudgesAll && judgedAll) {
    return;
  }
  auto monitors = [this, view](const Member& aMember) {
    return mJudgesAll ||
           IsMonitor(mSelf.mHost, aMember.mHost, aMember.mDataCentre,
                     view->mMembers, mOptions.mMonitors.mCount);
  };
  mHosts.SetMonitored(monitors, aNow);
  mBalancers.SetMonitored(monitors, aNow);
}

void BalancerMembership::Flush(MemberTable& aTable, Time aNow)
{
  std::size_t limit = mBudget.Available(aNow) / kRecordBytes;
  std::map<std::uint8_t, MemberDelta> byTree;
  for (const MemberRecord& it : aTable.TakeChanges(limit, aNow)) {
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
      mBudget.Take(BytesOf(delta));
      Send(it, delta);
    }
  }
}

void BalancerMembership::TellAgents(Time aNow)
{
  std::map<ServiceId, MemberDelta> byService;
  for (const MemberRecord& it : mHosts.TakeNews(aNow)) {
    MemberDelta& delta = byService[it.mMember.mService];
    delta.mVersion = mHosts.Version();
    delta.mRecords.push_back(it);
  }
  MemberDelta balancers;
  balancers.mTable = MemberTableId::Balancers;
  balancers.mVersion = mBalancers.Version();
  balancers.mRecords = mBalancers.TakeNews(aNow);
  for (auto it = mAgents.begin(); it != mAgents.end();) {
    const Agent& agent = it->second;
    if (aNow - agent.mHeardAt > kAgentHeardFor) {
      it = mAgents.erase(it);
      continue;
    }
    auto news = byService.find(agent.mService);
    if (agent.mWantsPeers && news != byService.end()) {
      Send(agent.mControl, news->second);
    }
    if (!balancers.mRecords.empty()) {
      Send(agent.mControl, balancers);
    }
    ++it;
  }
}

} // namespace heatherplank
