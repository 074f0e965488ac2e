#pragma once

#include <cstdint>
#include <deque>
#include <map>
#include <random>
#include <span>
#include <string_view>
#include <vector>

#include "include/heatherplank/Clock.h"
#include "include/heatherplank/Member.h"
#include "src/membership/ByteBudget.h"
#include "src/membership/MemberTable.h"
#include "src/membership/MembershipActions.h"
#include "src/membership/Monitors.h"
#include "src/membership/SpreadTree.h"

namespace heatherplank {

/** Whether a balancer's view can be used (/readyz). */
enum class MembershipReadiness : std::uint8_t
{
  /** No view yet: a snapshot is under way, or heartbeats have not settled. */
  Starting,
  Ready,
  /** Most of the fleet is silent: the last view is kept, and may be stale. */
  Isolated,
};

std::string_view ToString(MembershipReadiness aReadiness);

struct BalancerMembershipOptions
{
  MemberTableOptions mTable;
  /** Control addresses of balancers to begin with, from the settings. */
  std::vector<Address> mSeeds;
  Duration mHeartbeatEvery = std::chrono::milliseconds(500);
  /** How often it beats to its seeds while it knows no other balancer, mSeekFor
   * at most: see AgentMembershipOptions::mSeekEvery. */
  Duration mSeekEvery = std::chrono::milliseconds(50);
  Duration mSeekFor = std::chrono::seconds(5);
  /** Monitors of a host, and of a balancer. */
  MonitorRule mMonitors;
  /** Changes wait this long for others to share their message. */
  Duration mFlushEvery = std::chrono::milliseconds(100);
  /** Bytes a second for changes and repair, and for snapshots to a new
   * balancer, which come seldom. */
  double mBytesPerSecond = 12000;
  double mSnapshotBytesPerSecond = 250000;
  Duration mDigestEvery = std::chrono::seconds(10);
  /** Ranges asked for after a digest. */
  std::size_t mRepairRanges = 8;
  /** Records of one snapshot chunk. */
  std::uint32_t mChunkRecords = 512;
  /** A peer that sends no chunk for this long is left for the next. */
  Duration mChunkTimeout = std::chrono::milliseconds(800);
  /** With no peer answering: ready once no new member came for this long,
   * three heartbeats of an agent. */
  Duration mSettleFor = std::chrono::milliseconds(1500);
};

/** Membership in a balancer: hosts and balancers, spread to peers and to the
 * agents that it monitors. Pure: messages and time in, messages out. Not thread
 * safe; the views that it gives out are.
 */
class BalancerMembership
{
public:
  /** aSelf is this balancer as a member (its service is set here). aCheck must
   * outlive it. */
  BalancerMembership(const Member& aSelf, const InventoryCheck& aCheck,
                     const BalancerMembershipOptions& aOptions,
                     std::uint64_t aSeed, Time aNow);

  /** A message from an agent or a balancer. */
  void OnMessage(const MembershipMessage& aMessage, Time aNow);
  /** Call it a few times a second, at least each mFlushEvery. */
  void OnTick(Time aNow);
  /** The inventory changed. */
  void OnInventory(Time aNow) { mHosts.Recheck(aNow); }
  /** Other balancers to begin with: the settings changed. */
  void SetSeeds(std::vector<Address> aSeeds);
  /** Asks some hosts in view, at random, for a heartbeat to this balancer. */
  std::vector<Member> AskSome(std::size_t aCount, Time aNow);
  /** This balancer stops: tells its peers. */
  void Leave(Time aNow);

  /** Messages to send since the last call. */
  std::vector<SendMembership> TakeActions();

  MembershipReadiness Readiness() const;
  MemberTable& Hosts() { return mHosts; }
  const MemberTable& Hosts() const { return mHosts; }
  const MemberTable& Balancers() const { return mBalancers; }

private:
  /** Lets every balancer be a member of the balancers' table. */
  class BalancerCheck final : public InventoryCheck
  {
  public:
    bool Allows(const Member& aMember) const override
    {
      return aMember.mService == BalancerService();
    }
  };
  /** An agent that beats to this balancer. */
  struct Agent
  {
    Address mControl;
    ServiceId mService;
    bool mWantsPeers = true;
    Time mHeardAt{};
  };

  void On(const Heartbeat& aBeat, Time aNow);
  void On(const MemberDelta& aDelta, Time aNow);
  void On(const MemberDigest& aDigest, Time aNow);
  void On(const MemberSnapshotRequest& aRequest, Time aNow);
  void On(const MemberSnapshot& aSnapshot, Time aNow);
  MemberTable& TableOf(MemberTableId aTable);
  const Member* FindBalancer(HostId aHost) const;
  void Send(const Address& aTo, const MembershipMessage& aMessage);
  void UpdateBalancers(Time aNow);
  void Beat(Time aNow);
  bool IsSeeking(Time aNow) const;
  Heartbeat MakeBeat();
  void AskSuspected(const MemberTable& aTable, Time aNow);
  void Ask(std::span<const Member> aMembers, Time aNow);
  void Flush(MemberTable& aTable, Time aNow);
  void SendChanges(std::map<std::uint8_t, MemberDelta>& aByTree);
  void TellAgents(Time aNow);
  void Confirm(const Heartbeat& aBeat);
  void TellOfNewer(const Heartbeat& aBeat, Time aNow);
  void YieldToNewer(const MemberDelta& aDelta, Time aNow);
  void RepairAgent(const Heartbeat& aBeat, Time aNow);
  void SendService(const Address& aTo, const MemberTable& aTable,
                   ServiceId aService, Time aNow);
  void SendDigests(const Address& aTo, bool aIsReply);
  void ServeSnapshots(Time aNow);
  void AskForSnapshot(Time aNow);
  void Bootstrap(Time aNow);

  Member mSelf;
  const BalancerMembershipOptions mOptions;
  /** Of the options, without this balancer. */
  std::vector<Address> mSeeds;
  BalancerCheck mBalancerCheck;
  MemberTable mHosts;
  MemberTable mBalancers;
  std::mt19937_64 mRandom;
  SpreadTree mTree;
  ByteBudget mBudget;
  ByteBudget mSnapshotBudget;
  std::map<HostId, Agent> mAgents;
  std::deque<MemberSnapshotRequest> mToServe;
  std::vector<SendMembership> mActions;
  std::uint32_t mBeat = 0;
  Time mBeatAt{};
  const Time mStartedAt;
  Time mFlushAt{};
  Time mDigestAt{};
  /** Every balancer is a monitor of every host. */
  bool mJudgesAll = true;

  // Start: the snapshot's cursor, the peer asked, and when.
  bool mStarted = false;
  HostId mCursor;
  std::size_t mSeed = 0;
  Time mAskedAt{};
  Time mGrownAt{};
  std::size_t mSeedsTried = 0;
  std::size_t mKnown = 0;
};

} // namespace heatherplank
