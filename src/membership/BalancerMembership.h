#pragma once

#include <array>
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
#include "src/membership/DisseminationTree.h"
#include "src/membership/MemberTable.h"
#include "src/membership/MembershipActions.h"
#include "src/membership/Monitors.h"

namespace heatherplank {

/** Whether a balancer's view can be used; reported by /readyz. */
enum class MembershipReadiness : std::uint8_t
{
  /** No view yet: a snapshot is being received, or heartbeats still add new
   * members. */
  Starting,
  Ready,
  /** Most of the fleet is unresponsive: the last view is retained, and may be
   * stale. */
  Isolated,
};

std::string_view ToString(MembershipReadiness aReadiness);

struct BalancerMembershipOptions
{
  MemberTableOptions mTable;
  /** Number of other balancers that a balancer names to a new peer.
   *
   * Guards against: a whole fleet starts, each balancer knows only the seeds,
   * and the seeds send each of them the whole list. With these names the others
   * get it from each other. */
  std::size_t mIntroductions = 8;
  /** Maximum number of seeds outside the view that one heartbeat is sent to. */
  std::size_t mMaxSeedsPerHeartbeat = 8;
  /** Control addresses of the first balancers to contact, from the settings. */
  std::vector<Address> mSeeds;
  Duration mHeartbeatInterval = std::chrono::milliseconds(500);
  /** Interval of heartbeats to the seeds while no other balancer is known, for
   * up to mDiscoveryTimeout: see AgentMembershipOptions::mDiscoveryInterval. */
  Duration mDiscoveryInterval = std::chrono::milliseconds(50);
  Duration mDiscoveryTimeout = std::chrono::seconds(5);
  /** Chooses the monitors of a host, and of a balancer. */
  MonitorRule mMonitors;
  /** Changes are batched for this long into one message. */
  Duration mFlushInterval = std::chrono::milliseconds(100);
  /** Bytes per second for changes and repair, and for what is rare: snapshots
   * to a new balancer, and monitors assigned to agents. */
  double mBytesPerSecond = 12000;
  double mSnapshotBytesPerSecond = 250000;
  /** Interval of digests while they find no difference, and the shortest one.
   *
   * Guards against: many balancers start at once, know few others at first, and
   * send changes along trees that differ. The interval shrinks to the shortest
   * when a digest finds a difference and doubles when it finds none, so tables
   * converge in a number of rounds logarithmic in the size of the fleet. */
  Duration mDigestInterval = std::chrono::seconds(10);
  Duration mMinDigestInterval = std::chrono::milliseconds(100);
  /** Digests in a row that find a difference before the interval is the longest
   * again: the difference is one that repair does not remove. */
  std::uint32_t mMaxRepairRounds = 50;
  /** Maximum number of ranges requested after a digest. */
  std::size_t mMaxRepairRanges = 8;
  /** Maximum number of records in a snapshot chunk. */
  std::uint32_t mChunkRecords = 512;
  /** A new balancer that receives no snapshot chunk from a seed for this long
   * requests the chunk from the next seed. */
  Duration mChunkTimeout = std::chrono::milliseconds(800);
  /** If no peer answers, a balancer is ready once no new member has appeared
   * for this long: three heartbeat intervals of an agent. */
  Duration mSettleDuration = std::chrono::milliseconds(1500);
};

/** Membership in a balancer: holds the hosts and balancers, and sends changes
 * to its peers and to the agents that it monitors. No I/O or clock access:
 * takes messages and the time, returns messages to send. Not thread safe; the
 * views that it returns are.
 */
class BalancerMembership
{
public:
  /** aSelf describes this balancer as a member; its service and state are set
   * by the constructor. aCheck must outlive this object. */
  BalancerMembership(const Member& aSelf, const InventoryCheck& aCheck,
                     const BalancerMembershipOptions& aOptions,
                     std::uint64_t aSeed, Time aNow);

  /** Handles a message from an agent or a balancer. */
  void OnMessage(const MembershipMessage& aMessage, Time aNow);
  /** Call a few times a second, at least once per mFlushInterval. */
  void OnTick(Time aNow);
  /** Applies a changed inventory. */
  void OnInventory(Time aNow) { mHosts.Recheck(aNow); }
  /** Replaces the seeds after the settings changed. */
  void SetSeeds(std::vector<Address> aSeeds);
  /** Requests heartbeats to this balancer from up to aCount randomly chosen
   * hosts in view, which are returned. */
  std::vector<Member> RequestHeartbeats(std::size_t aCount, Time aNow);
  /** Announces to the peers that this balancer is stopping. */
  void Leave(Time aNow);

  /** Returns the messages to send that were produced since the last call. */
  std::vector<SendMembership> TakeActions();

  MembershipReadiness Readiness() const;
  MemberTable& Hosts() { return mHosts; }
  const MemberTable& Hosts() const { return mHosts; }
  const MemberTable& Balancers() const { return mBalancers; }

private:
  /** Admits any balancer to the table of balancers. */
  class BalancerCheck final : public InventoryCheck
  {
  public:
    bool Allows(const Member& aMember) const override
    {
      return aMember.mService == BalancerService();
    }
  };
  /** An agent that sends heartbeats to this balancer. */
  struct Agent
  {
    Address mControl;
    ServiceId mService;
    bool mWantsPeers = true;
    bool mAcceptsAssignment = false;
    Time mLastHeartbeatAt{};
  };

  struct QueuedRequest
  {
    MemberSnapshotRequest mRequest;
    Time mReceivedAt{};
  };

  void On(const Heartbeat& aHeartbeat, Time aNow);
  void On(const MemberDelta& aDelta, Time aNow);
  void On(const MemberDigest& aDigest, Time aNow);
  void On(const MemberSnapshotRequest& aRequest, Time aNow);
  void On(const MemberSnapshot& aSnapshot, Time aNow);
  MemberTable& TableOf(MemberTableId aTable);
  const Member* FindBalancer(HostId aHost) const;
  void Send(const Address& aTo, const MembershipMessage& aMessage);
  void UpdateBalancers(Time aNow);
  void SendHeartbeats(Time aNow);
  bool IsDiscovering(Time aNow) const;
  Heartbeat MakeHeartbeat();
  void RequestHeartbeatsFromSuspects(const MemberTable& aTable, Time aNow);
  void RequestHeartbeats(std::span<const Member> aMembers, Time aNow);
  void Flush(MemberTable& aTable, Time aNow);
  void SendChanges(std::map<std::uint8_t, MemberDelta>& aByTree);
  void NotifyAgents(Time aNow);
  void ConfirmHeartbeat(const Heartbeat& aHeartbeat);
  void SendNewerIncarnation(const Heartbeat& aHeartbeat, Time aNow);
  void SupersedeNewerIncarnation(const MemberDelta& aDelta, Time aNow);
  void RepairAgent(const Heartbeat& aHeartbeat, Time aNow);
  bool AssignsMonitors() const;
  void RepairAssignment(const Heartbeat& aHeartbeat, Time aNow);
  void SendService(const Address& aTo, const MemberTable& aTable,
                   ServiceId aService, Time aNow);
  void SendDigests(const Address& aTo, bool aIsReply);
  void SendDigestsIfDue(Time aNow);
  void Introduce(const Member& aNewPeer, Time aNow);
  void AdaptDigestInterval(bool aFoundDifference, Time aNow);
  void ServeSnapshots(Time aNow);
  void RequestSnapshot(Time aNow);
  void Bootstrap(Time aNow);

  Member mSelf;
  const BalancerMembershipOptions mOptions;
  /** The seeds without this balancer. */
  std::vector<Address> mSeeds;
  BalancerCheck mBalancerCheck;
  MemberTable mHosts;
  MemberTable mBalancers;
  std::mt19937_64 mRandom;
  DisseminationTree mTree;
  ByteBudget mBudget;
  ByteBudget mSnapshotBudget;
  std::map<HostId, Agent> mAgents;
  std::deque<QueuedRequest> mSnapshotRequests;
  std::vector<SendMembership> mActions;
  std::uint32_t mHeartbeatNumber = 0;
  Time mHeartbeatAt{};
  const Time mStartedAt;
  Time mFlushAt{};
  Time mDigestAt{};
  Duration mDigestInterval;
  std::uint32_t mRepairRounds = 0;
  /** When ranges were last requested from a peer, by table. */
  std::array<Time, 2> mRepairRequestedAt{};
  /** True if every balancer monitors every host. */
  bool mMonitorsAll = true;

  // Bootstrap: progress of the snapshot, and growth of the table of hosts.
  bool mStarted = false;
  /** The first host not yet covered by received chunks. */
  HostId mCursor;
  std::size_t mSeedIndex = 0;
  Time mSnapshotRequestedAt{};
  Time mHostCountChangedAt{};
  std::size_t mSeedsTried = 0;
  std::size_t mHostCount = 0;
};

} // namespace heatherplank
