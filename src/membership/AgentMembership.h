#pragma once

#include <array>
#include <optional>
#include <random>
#include <utility>
#include <vector>

#include "include/heatherplank/Clock.h"
#include "include/heatherplank/Member.h"
#include "src/membership/MemberTable.h"
#include "src/membership/MembershipActions.h"
#include "src/membership/MonitorAssignment.h"
#include "src/membership/Monitors.h"

namespace heatherplank {

struct AgentMembershipOptions
{
  /** Control addresses of the first balancers to contact, from the settings. */
  std::vector<Address> mSeeds;
  Duration mHeartbeatInterval = std::chrono::milliseconds(500);
  /** Heartbeat interval until a balancer answers or mDiscoveryTimeout passes.
   *
   * Guards against: many machines restart at once, and an agent starts before
   * its seeds. At the ordinary interval its host then gets no flow for up to
   * 0.5 s after they start; 170 of the 897 callers of the next two seconds got
   * no answer. A heartbeat is 200 bytes: 4 KB/s per seed while discovering. */
  Duration mDiscoveryInterval = std::chrono::milliseconds(50);
  /** A seed that has not answered by then is not expected to start soon. */
  Duration mDiscoveryTimeout = std::chrono::seconds(5);
  /** Chooses the balancers that are sent heartbeats. */
  MonitorRule mMonitors;
  /** Whether a balancer of a large fleet may assign the monitors, so that this
   * agent holds no list of all balancers. */
  bool mAcceptsAssignment = false;
  /** An assignment is dropped if no balancer answered for this long: all
   * monitors and spares may be lost, and the seeds are tried again. */
  Duration mAssignmentTimeout = std::chrono::milliseconds(1500);
  /** Maximum number of seeds that one heartbeat is sent to before any balancer
   * is known. Heartbeats of a whole fleet that starts would overload them. */
  std::size_t mMaxSeedsPerHeartbeat = 8;
  /** False if Peers is not used: balancers then send no members of the service,
   * and agents are spared the processing of each change. */
  bool mWantsPeers = true;
  /** A member missing from a complete list is dropped if its last heartbeat is
   * at least this old. */
  Duration mDropUnlistedAfter = std::chrono::seconds(30);
};

/** Membership in an agent: announces its host, and holds the members of its
 * service and the balancers as reported by its monitors. No I/O or clock
 * access; not thread safe.
 */
class AgentMembership
{
public:
  /** aCheck must outlive this object. */
  AgentMembership(const Member& aSelf, const InventoryCheck& aCheck,
                  const AgentMembershipOptions& aOptions, std::uint64_t aSeed,
                  Time aNow);

  /** Sets the host's state or slots and announces the change at once, since a
   * draining host must get no new work. A state never moves backwards within an
   * incarnation; use Restart to begin a new one. */
  void SetState(HostState aState, Time aNow);
  void SetSlots(std::uint16_t aSlots, Time aNow);
  /** Begins a new incarnation of the host in state Cold. Precondition:
   * aIncarnation is higher than the current one. */
  void Restart(Incarnation aIncarnation, Time aNow);

  /** Replaces the seeds after the settings changed or the directory was read.
   * New monitors are sent a heartbeat at once. */
  void SetSeeds(std::vector<Address> aSeeds, Time aNow);

  void OnMessage(const MembershipMessage& aMessage, Time aNow);
  void OnTick(Time aNow);
  void OnInventory(Time aNow) { mPeers.Recheck(aNow); }

  std::vector<SendMembership> TakeActions();

  /** When the latest heartbeat that a balancer answered was sent. That balancer
   * considered this host alive at least until then. Zero before the first
   * answer. */
  Time ConfirmedAt() const { return mConfirmedAt; }

  const Member& Self() const { return mSelf; }
  /** Members of the host's service, including this host. */
  MemberViewPtr Peers() const { return mPeers.View(mSelf.mService); }
  /** The balancers in the list of all; not those of an assignment. */
  MemberViewPtr Balancers() const { return mBalancers.View(BalancerService()); }
  /** The balancers that this agent knows: those of its assignment of monitors
   * if it has one, or else all. */
  std::vector<Member> KnownBalancers() const;
  /** The control addresses that heartbeats are sent to. */
  std::vector<Address> Monitors() const;

private:
  class BalancerCheck final : public InventoryCheck
  {
  public:
    bool Allows(const Member& aMember) const override
    {
      return aMember.mService == BalancerService();
    }
  };

  static MemberTableOptions TableOptions();
  void SendHeartbeats(Time aNow);
  void AnnounceToNewMonitors(Time aNow);
  bool IsDiscovering(Time aNow) const;
  Heartbeat MakeHeartbeat(Time aNow);
  void OnPeers(const MemberDelta& aDelta, Time aNow);
  void OnAssignment(const MemberDelta& aDelta, Time aNow);
  void OnBalancers(const MemberDelta& aDelta, Time aNow);
  MonitorSource Source() const;
  Address RandomBalancer();
  void SupersedeNewerIncarnation(const MemberDelta& aDelta, Time aNow);

  /** Number of latest heartbeats whose send times are retained. Answers to
   * older heartbeats are ignored. */
  static constexpr std::uint32_t kMaxTrackedHeartbeats = 32;

  Member mSelf;
  const AgentMembershipOptions mOptions;
  std::vector<Address> mSeeds;
  BalancerCheck mBalancerCheck;
  MemberTable mPeers;
  MemberTable mBalancers;
  std::optional<MonitorAssignment> mAssignment;
  Time mAssignedAt{};
  std::vector<SendMembership> mActions;
  /** The monitors that were sent the last heartbeat. */
  std::vector<Address> mLastMonitors;
  std::mt19937_64 mRandom;
  std::uint32_t mRevision = 0;
  std::uint32_t mHeartbeatNumber = 0;
  Time mHeartbeatAt{};
  Time mServingSince{};
  std::array<Time, kMaxTrackedHeartbeats> mHeartbeatSentAt{};
  Time mConfirmedAt{};
};

} // namespace heatherplank
