// Repair: how beliefs that are wrong, here, at a peer or at an agent, are
// mended.
#include "src/membership/BalancerMembership.h"
#include "src/membership/MessageSize.h"

namespace heatherplank {

namespace {

/** Silent members asked in one round of heartbeats: 64 of some 200 bytes are
 * 25 KB a second while a rack is lost. */
constexpr std::size_t kMostAsked = 64;

} // namespace

/** Failure met: while lists of balancers differ, as when many start one after
 * the other, a balancer holds itself for the monitor of a host that beats to
 * others, and declares it dead. Shown by members that one balancer drops and
 * that beat all the while: 1,049 times in 40 s of 40 balancers and 120 hosts,
 * played; their open flows were not found there. Who is asked answers by a
 * heartbeat, whoever it holds for its monitors. */
void BalancerMembership::AskSuspected(const MemberTable& aTable, Time aNow)
{
  Ask(aTable.Suspected(kMostAsked), aNow);
}

std::vector<Member> BalancerMembership::AskSome(std::size_t aCount, Time aNow)
{
  auto asked = mHosts.Sample(aCount, mRandom);
  Ask(asked, aNow);
  return asked;
}

void BalancerMembership::Ask(std::span<const Member> aMembers, Time aNow)
{
  auto self = mBalancers.Find(mSelf.mHost, aNow);
  if (!self) {
    return;
  }
  MemberDelta ask;
  ask.mTable = MemberTableId::Balancers;
  ask.mVersion = mBalancers.Version();
  ask.mRecords.push_back(*self);
  ask.mAsks = true;
  for (const Member& it : aMembers) {
    mBudget.Take(BytesOf(ask));
    Send(it.mControl, ask);
  }
}

/** Tells the sender that a newer life of it is held here: see YieldToNewer. */
void BalancerMembership::TellOfNewer(const Heartbeat& aBeat, Time aNow)
{
  const Member& beats = aBeat.mRecord.mMember;
  auto held = TableOf(aBeat.mTable).Find(beats.mHost, aNow);
  if (held && held->mMember.mIncarnation > beats.mIncarnation) {
    MemberDelta newer;
    newer.mTable = aBeat.mTable;
    newer.mRecords.push_back(*held);
    Send(beats.mControl, newer);
  }
}

/** The same as AgentMembership::YieldToNewer for a balancer: shown by one that
 * all others dropped after its restart and that hears of no change. */
void BalancerMembership::YieldToNewer(const MemberDelta& aDelta, Time aNow)
{
  for (const MemberRecord& it : aDelta.mRecords) {
    if (it.mMember.mHost == mSelf.mHost &&
        it.mMember.mIncarnation > mSelf.mIncarnation) {
      mSelf.mIncarnation = it.mMember.mIncarnation + 1;
      Beat(aNow);
    }
  }
}

/** Failure met: a change on its way to an agent is lost, and the agent goes on
 * handing flows to a host that left. Each heartbeat carries the hash of what
 * its agent holds; where it differs the whole service is sent again. */
void BalancerMembership::RepairAgent(const Heartbeat& aBeat, Time aNow)
{
  const Member& member = aBeat.mRecord.mMember;
  // A balancer that is starting does not hold the whole service yet.
  if (!mStarted || mBudget.Available(aNow) == 0) {
    return;
  }
  bool wantsPeers = aBeat.mServiceDigest != kWantsNoPeers;
  if (wantsPeers &&
      aBeat.mServiceDigest != mHosts.ServiceDigest(member.mService)) {
    SendService(member.mControl, mHosts, member.mService, aNow);
  }
  if (aBeat.mBalancerDigest != mBalancers.ServiceDigest(BalancerService())) {
    SendService(member.mControl, mBalancers, BalancerService(), aNow);
  }
}

void BalancerMembership::SendService(const Address& aTo,
                                     const MemberTable& aTable,
                                     ServiceId aService, Time aNow)
{
  MemberDelta delta = aTable.ServiceDelta(aService, aNow);
  mBudget.Take(BytesOf(delta));
  Send(aTo, delta);
}

void BalancerMembership::On(const MemberDigest& aDigest, Time aNow)
{
  const Member* peer = FindBalancer(aDigest.mFrom);
  if (peer == nullptr || mBudget.Available(aNow) == 0) {
    return;
  }
  MemberTable& table = TableOf(aDigest.mTable);
  for (auto& it : table.Differences(aDigest, mOptions.mRepairRanges)) {
    it.mFrom = mSelf.mHost;
    Send(peer->mControl, it);
  }
  if (!aDigest.mIsReply) {
    MemberDigest reply = table.Digest();
    reply.mFrom = mSelf.mHost;
    reply.mIsReply = true;
    mBudget.Take(BytesOf(reply));
    Send(peer->mControl, reply);
  }
}

void BalancerMembership::SendDigests(const Address& aTo, bool aIsReply)
{
  for (MemberTable* it : { &mHosts, &mBalancers }) {
    MemberDigest digest = it->Digest();
    digest.mFrom = mSelf.mHost;
    digest.mIsReply = aIsReply;
    mBudget.Take(BytesOf(digest));
    Send(aTo, digest);
  }
}

} // namespace heatherplank
