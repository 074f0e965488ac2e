#include "src/membership/AgentMembership.h"

#include <algorithm>
#include <utility>

namespace heatherplank {

namespace {

/** Each so many heartbeats one more goes to a balancer picked at random. */
constexpr std::uint32_t kBeatsPerProbe = 2;

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
  options.mJudgesSilence = false;
  // The monitors have weighed a death before they tell of it.
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
  Beat(aNow);
}

void AgentMembership::SetSlots(std::uint16_t aSlots, Time aNow)
{
  if (aSlots == mSelf.mSlots) {
    return;
  }
  mSelf.mSlots = aSlots;
  ++mRevision;
  Beat(aNow);
}

void AgentMembership::Restart(Incarnation aIncarnation, Time aNow)
{
  mSelf.mIncarnation = aIncarnation;
  mSelf.mState = HostState::Cold;
  mServingSince = aNow;
  mBeat = 0;
  Beat(aNow);
}

void AgentMembership::OnTick(Time aNow)
{
  mPeers.OnTick(aNow);
  mBalancers.OnTick(aNow);
  Duration every =
    IsSeeking(aNow) ? mOptions.mSeekEvery : mOptions.mHeartbeatEvery;
  if (aNow - mBeatAt >= every) {
    Beat(aNow);
  }
}

bool AgentMembership::IsSeeking(Time aNow) const
{
  return mConfirmedAt == Time{} && aNow - mServingSince < mOptions.mSeekFor;
}

void AgentMembership::SetSeeds(std::vector<Address> aSeeds, Time aNow)
{
  mSeeds = std::move(aSeeds);
  // Before the first heartbeat the host is not announced yet.
  if (mBeat > 0) {
    Greet(aNow);
  }
}

/** Failure met: a balancer starts, learns of the hosts only by their next
 * heartbeats, up to 0.5 s later, and refuses callers meanwhile. An agent beats
 * to a monitor as soon as it hears of it. */
void AgentMembership::Greet(Time aNow)
{
  std::vector<Address> monitors = Monitors();
  std::vector<Address> fresh;
  for (const Address& it : monitors) {
    if (std::ranges::count(mBeatenTo, it) == 0) {
      fresh.push_back(it);
    }
  }
  mBeatenTo = std::move(monitors);
  if (fresh.empty()) {
    return;
  }
  Heartbeat beat = MakeBeat(aNow);
  for (const Address& it : fresh) {
    mActions.push_back({ it, beat });
  }
}

void AgentMembership::Beat(Time aNow)
{
  mBeatAt = aNow;
  Heartbeat beat = MakeBeat(aNow);
  std::vector<Address> to = Monitors();
  mBeatenTo = to;
  bool probes = mBeat % kBeatsPerProbe == 0 &&
                !mOptions.mMonitors.AreAll(Balancers()->mMembers.size());
  if (probes && !to.empty()) {
    to.push_back(AnyBalancer());
  }
  for (const Address& it : to) {
    mActions.push_back({ it, beat });
  }
}

Heartbeat AgentMembership::MakeBeat(Time aNow)
{
  mSentAt[(mBeat + 1) % kBeatsRemembered] = aNow;
  Heartbeat beat;
  beat.mRecord.mMember = mSelf;
  beat.mRecord.mRevision = mRevision;
  beat.mRecord.mBeat = ++mBeat;
  beat.mRecord.mAge = aNow - mServingSince;
  beat.mVersion = mPeers.Version();
  mPeers.OnHeartbeat(beat, aNow);
  beat.mServiceDigest =
    mOptions.mWantsPeers ? mPeers.ServiceDigest(mSelf.mService) : kWantsNoPeers;
  beat.mBalancerDigest = mBalancers.ServiceDigest(BalancerService());
  return beat;
}

/** Failure met: all monitors of a host die at once, nobody is left to tell its
 * agent of new ones, and the host is held dead. It beats to a balancer picked
 * at random now and then, which sees by the hashes that the agent's list is
 * old and sends the new one. */
Address AgentMembership::AnyBalancer()
{
  MemberViewPtr view = Balancers();
  std::size_t known = view->mMembers.size();
  std::size_t pick = mRandom() % (known + mSeeds.size());
  return pick < known ? view->mMembers[pick].mControl : mSeeds[pick - known];
}

std::vector<Address> AgentMembership::Monitors() const
{
  MemberViewPtr view = Balancers();
  if (view->mMembers.empty()) {
    return mSeeds;
  }
  std::size_t known = view->mMembers.size();
  // Where all balancers are monitors, those of the settings are too: until the
  // others are known, each would hold this host for silent.
  std::vector<Address> out;
  if (mOptions.mMonitors.AreAll(known)) {
    out = mSeeds;
  }
  for (const Member& it :
       ChooseMonitors(mSelf.mHost, mSelf.mDataCentre, view->mMembers,
                      mOptions.mMonitors.CountOf(known))) {
    if (std::find(out.begin(), out.end(), it.mControl) == out.end()) {
      out.push_back(it.mControl);
    }
  }
  return out;
}

void AgentMembership::OnMessage(const MembershipMessage& aMessage, Time aNow)
{
  const auto* delta = std::get_if<MemberDelta>(&aMessage);
  if (delta == nullptr) {
    return;
  }
  std::uint32_t age = mBeat - delta->mAnswersBeat;
  if (delta->mAnswersBeat != 0 && age < kBeatsRemembered) {
    mConfirmedAt =
      std::max(mConfirmedAt, mSentAt[delta->mAnswersBeat % kBeatsRemembered]);
  }
  bool hosts = delta->mTable == MemberTableId::Hosts;
  MemberTable& table = hosts ? mPeers : mBalancers;
  ServiceId service = hosts ? mSelf.mService : BalancerService();
  if (delta->mIsComplete) {
    table.OnServiceDelta(service, *delta, mOptions.mDropUnlistedAfter, aNow);
  } else {
    table.OnDelta(*delta, aNow);
  }
  if (hosts) {
    YieldToNewer(*delta, aNow);
  } else {
    Greet(aNow);
  }
  // See BalancerMembership::AskSuspected.
  if (delta->mAsks && !delta->mRecords.empty()) {
    mActions.push_back(
      { delta->mRecords.front().mMember.mControl, MakeBeat(aNow) });
  }
}

/** Failure met: the host's clock stepped back over a restart, so that its new
 * incarnation is lower than the old one and every heartbeat counts as stale.
 * Shown by heartbeat_stale, and a host that never comes back. The agent sees
 * its own record with a higher incarnation and takes the next above it. */
void AgentMembership::YieldToNewer(const MemberDelta& aDelta, Time aNow)
{
  for (const MemberRecord& it : aDelta.mRecords) {
    bool newer = it.mMember.mHost == mSelf.mHost &&
                 it.mMember.mIncarnation > mSelf.mIncarnation;
    if (newer) {
      mSelf.mIncarnation = it.mMember.mIncarnation + 1;
      Beat(aNow);
    }
  }
}

} // namespace heatherplank
