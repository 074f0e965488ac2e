#pragma once

#include <array>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <queue>
#include <random>
#include <set>
#include <vector>

#include "src/steer/HintCache.h"
#include "src/steer/Ownership.h"
#include "src/steer/ServiceView.h"

namespace heatherplank {

/** Invariant violations that no schedule may show. */
enum class Violation : std::uint8_t
{
  /** Two hosts ran requests of one flow at once, or a host dispatched a flow
   * under an epoch that was neither adopted there nor handed off to it. */
  TwoOwners,
  /** An established flow was dispatched or answered under another epoch while
   * its owner was live. */
  BrokenFlow,
  /** A host adopted a flow more than 2 s after it began to drain. */
  AdoptedWhileDraining,
  /** A packet was neither dispatched, forwarded nor refused in time, or the
   * last packet of a flow was refused. */
  Stuck,
};
constexpr std::size_t kViolations = 4;

/** Which schedules are generated. */
struct WorldOptions
{
  OwnershipGuards mGuards;
  /** Only drains, joins and restarts of balancers; no message loss. */
  bool mPlannedOnly = false;
  /** Includes network partitions between agents. */
  bool mPartitionsEnabled = true;
};

struct WorldResult
{
  std::array<std::uint32_t, kViolations> mViolations{};
  std::uint32_t mDispatched = 0;
  std::uint32_t mRefused = 0;
  std::uint32_t mFlows = 0;
  std::uint32_t mBrokenFlows = 0;
  /** Flows that would have broken with the same packets and views: under
   * hashing modulo n, and under rendezvous hashing without ownership. */
  std::uint32_t mBrokenByModulo = 0;
  std::uint32_t mBrokenByRendezvous = 0;

  void Add(const WorldResult& aOther);
  std::uint32_t Total() const;
};

/** Simulates a small service on a virtual clock: agents, balancers and a
 * network that loses, delays, duplicates and reorders messages, with a schedule
 * of faults generated from a seed.
 */
class OwnershipWorld
{
public:
  OwnershipWorld(std::uint64_t aSeed, const WorldOptions& aOptions);

  /** Runs the schedule to its end. */
  WorldResult Run();

private:
  using Step = std::function<void()>;

  struct Agent
  {
    Member mMember;
    std::unique_ptr<Ownership> mOwnership;
    ServiceViewPtr mView;
    std::vector<Step> mBacklog;
    Time mLastHeartbeat;
    Time mDrainSince;
    bool mAlive = false;
    bool mPaused = false;
    bool mDraining = false;
    bool mIsDeclaredDead = false;
    /** It was declared dead at some time, even if it is not any more. */
    bool mWasDeclaredDead = false;
    bool mLeft = false;
  };
  struct Balancer
  {
    ServiceViewPtr mView;
    HintCache mHints{ 16 };
  };
  struct EpochHolders
  {
    std::set<int> mHolders;
    int mHolder = -1;
  };
  /** The hosts to which a stateless balancing method sends a flow. */
  struct Baseline
  {
    HostId mHost;
    bool mBroken = false;

    void Assign(HostId aHost)
    {
      mBroken = mBroken || (!mHost.IsNone() && mHost != aHost);
      mHost = aHost;
    }
  };
  struct Flow
  {
    Baseline mModulo;
    Baseline mRendezvous;
    std::map<FlowEpoch, EpochHolders> mEpochs;
    FlowEpoch mEstablished = 0;
    /** Agents that run a request of the flow, and until when. */
    std::map<int, Time> mRunning;
    Time mLastDispatch;
    bool mBroken = false;
    bool mLastServed = true;
  };
  struct Waiting
  {
    PacketEvent mPacket;
    int mAgent = -1;
    Time mSince;
  };
  struct Event
  {
    Time mAt;
    std::uint64_t mOrder;
    Step mStep;
    bool operator<(const Event& aOther) const
    {
      return std::tie(aOther.mAt, aOther.mOrder) < std::tie(mAt, mOrder);
    }
  };

  std::uint64_t Draw(std::uint64_t aBelow) { return mRandom() % aBelow; }
  bool Chance(unsigned aPercent) { return Draw(100) < aPercent; }
  Duration DrawMs(std::uint64_t aFrom, std::uint64_t aTo);
  void Schedule(Duration aDelay, Step aStep);

  int StartAgent(std::size_t aSlot, HostState aState);
  std::vector<int> Running() const;
  void RunOn(int aAgent, const Step& aStep);
  void ExecuteActions(int aAgent, OwnershipActions& aActions);
  void SendOverNetwork(int aFrom, int aTo, const Step& aStep);
  int AgentAt(const Address& aAddress) const;

  void Publish();
  void Heartbeat(int aAgent);
  void DeclareDeaths();
  void Tick(int aAgent);

  void DrawFault();
  void Join(std::size_t aSlot);
  void DrainAgent(int aAgent);
  void LeaveWhenEmpty(int aAgent, Time aLatest);
  void Kill(int aAgent);
  void Pause(int aAgent, Duration aDuration);

  void SendPacket(std::uint16_t aFlow);
  void RecordBaselines(Flow& aFlow, std::uint64_t aHash,
                       const ServiceView& aView);
  void Receive(int aAgent, PacketEvent aPacket);
  void OnDispatch(int aAgent, const DispatchPacket& aDispatch);
  void OnAnswer(int aAgent, const DispatchPacket& aDispatch);
  void CheckOwner(int aAgent, Flow& aFlow, FlowEpoch aEpoch);
  void CheckEpoch(Flow& aFlow, FlowEpoch aEpoch);
  bool IsLive(int aAgent) const;
  void OnPacketSettled(PacketToken aToken);
  void RecordViolation(Violation aViolation)
  {
    ++mResult.mViolations[static_cast<int>(aViolation)];
  }

  WorldOptions mOptions;
  OwnershipOptions mRules;
  std::mt19937_64 mRandom;
  FirstRankPolicy mFirst;
  std::unique_ptr<OwnerPolicy> mPolicy;
  Time mNow = Time{} + std::chrono::hours(1);
  std::uint64_t mOrder = 0;
  std::priority_queue<Event> mEvents;
  std::vector<Agent> mAgents;
  /** Index of the newest agent at each address. */
  std::vector<int> mCurrent;
  std::vector<Balancer> mBalancers;
  std::map<std::uint16_t, Flow> mFlows;
  std::map<PacketToken, Waiting> mWaiting;
  std::set<std::pair<int, int>> mPartitions;
  std::uint64_t mVersion = 0;
  PacketToken mLastToken = 0;
  std::size_t mSlots = 0;
  unsigned mLossPercent = 0;
  bool mFaultsEnded = false;
  WorldResult mResult;
};

} // namespace heatherplank
