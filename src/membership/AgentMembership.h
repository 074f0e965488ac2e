#pragma once

#include <array>
#include <random>
#include <utility>
#include <vector>

#include "include/heatherplank/Clock.h"
#include "include/heatherplank/Member.h"
#include "src/membership/MemberTable.h"
#include "src/membership/MembershipActions.h"
#include "src/membership/Monitors.h"

namespace heatherplank {

struct AgentMembershipOptions
{
  /** Control addresses of balancers to begin with, from the settings. */
  std::vector<Address> mSeeds;
  Duration mHeartbeatEvery = std::chrono::milliseconds(500);
  /** How often it beats until a balancer answers, mSeekFor at most.
   *
   * Protects the first second after many machines come back at once: an agent
   * that starts before the balancers of its settings beat into the void, and
   * its host got no flow until the next ordinary heartbeat, 0.5 s later, and
   * 170 of the 897 callers of the next two seconds got no answer. A heartbeat
   * is 200 bytes, so seeking costs an agent 4 KB/s for each seed. */
  Duration mSeekEvery = std::chrono::milliseconds(50);
  /** Seeds that stay silent for longer are not about to start. */
  Duration mSeekFor = std::chrono::seconds(5);
  /** Balancers that are sent heartbeats. */
  MonitorRule mMonitors;
  /** Off where nobody reads Peers: balancers then send no members of the
   * service, which each change of one would cost in each agent. */
  bool mWantsPeers = true;
  /** A member that a complete list lacks is dropped after this silence. */
  Duration mDropUnlistedAfter = std::chrono::seconds(30);
};

/** Membership in an agent: announces its host, and holds the members of its
 * service and the balancers as its monitors tell them. Pure; not thread safe.
 */
class AgentMembership
{
public:
  /** aCheck must outlive it. */
  AgentMembership(const Member& aSelf, const InventoryCheck& aCheck,
                  const AgentMembershipOptions& aOptions, std::uint64_t aSeed,
                  Time aNow);

  /** The host's state or slots changed: announced at once, since a host that
   * drains must get no new work. A state never goes back: for that the agent
   * starts a new incarnation (Restart). */
  void SetState(HostState aState, Time aNow);
  void SetSlots(std::uint16_t aSlots, Time aNow);
  /** Begins a new life of the host, Cold. Precondition: aIncarnation is above
   * the present one. */
  void Restart(Incarnation aIncarnation, Time aNow);

  /** Other balancers to begin with: the settings changed, or the directory was
   * read. Those that are new are sent a heartbeat at once. */
  void SetSeeds(std::vector<Address> aSeeds, Time aNow);

  void OnMessage(const MembershipMessage& aMessage, Time aNow);
  void OnTick(Time aNow);
  void OnInventory(Time aNow) { mPeers.Recheck(aNow); }

  std::vector<SendMembership> TakeActions();

  /** When the latest heartbeat that a balancer answered was sent: until then
   * this host was surely held alive. Zero before the first. */
  Time ConfirmedAt() const { return mConfirmedAt; }

  const Member& Self() const { return mSelf; }
  /** Members of the host's own service, this host too. */
  MemberViewPtr Peers() const { return mPeers.View(mSelf.mService); }
  MemberViewPtr Balancers() const { return mBalancers.View(BalancerService()); }

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
  void Beat(Time aNow);
  void Greet(Time aNow);
  bool IsSeeking(Time aNow) const;
  Heartbeat MakeBeat(Time aNow);
  std::vector<Address> Monitors() const;
  Address AnyBalancer();
  void YieldToNewer(const MemberDelta& aDelta, Time aNow);

  /** An answer to an older beat than this confirms nothing of use. */
  static constexpr std::uint32_t kBeatsRemembered = 32;

  Member mSelf;
  const AgentMembershipOptions mOptions;
  std::vector<Address> mSeeds;
  BalancerCheck mBalancerCheck;
  MemberTable mPeers;
  MemberTable mBalancers;
  std::vector<SendMembership> mActions;
  /** Where the last heartbeats went. */
  std::vector<Address> mBeatenTo;
  std::mt19937_64 mRandom;
  std::uint32_t mRevision = 0;
  std::uint32_t mBeat = 0;
  Time mBeatAt{};
  Time mServingSince{};
  std::array<Time, kBeatsRemembered> mSentAt{};
  Time mConfirmedAt{};
};

} // namespace heatherplank
