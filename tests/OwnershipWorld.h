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

/** What a schedule must never show. */
enum class Violation : std::uint8_t
{
  /** Two hosts ran requests of one flow at once, or one life of a flow went on
   * at a host that was not given it. */
  TwoOwners,
  /** An established flow was answered by another life though its owner lived.
   */
  BrokenFlow,
  /** A host adopted a flow more than 2 s after it began to drain. */
  AdoptedWhileDraining,
  /** A packet was neither dispatched nor refused in time. */
  Stuck,
};
constexpr std::size_t kViolations = 4;

/** Which schedules are drawn. */
struct WorldOptions
{
  OwnershipGuards mGuards;
  /** Drains, joins and restarts of balancers only; no loss. */
  bool mPlannedOnly = false;
  /** Cuts between agents. */
  bool mCuts = true;
};

struct WorldResult
{
  std::array<std::uint32_t, kViolations> mViolations{};
  std::uint32_t mDispatched = 0;
  std::uint32_t mRefused = 0;
  std::uint32_t mFlows = 0;
  std::uint32_t mBrokenFlows = 0;
  /** Flows that would have broken with the same packets and views under a hash
   * modulo n, and under rendezvous hashing without ownership. */
  std::uint32_t mBrokenByModulo = 0;
  std::uint32_t mBrokenByRendezvous = 0;

  void Add(const WorldResult& aOther);
  std::uint32_t Total() const;
};

/** A small service on a paused clock: agents, balancers and a network that
 * loses, delays, doubles and reorders, under a schedule drawn from a seed.
 */
class OwnershipWorld
{
public:
  OwnershipWorld(std::uint64_t aSeed, const WorldOptions& aOptions);

  /** Plays the schedule to its end. */
  WorldResult Run();

private:
  using Step = std::function<void()>;

  struct Agent
  {
    Member mMember;
    std::unique_ptr<Ownership> mOwnership;
    ServiceViewPtr mView;
    std::vector<Step> mBacklog;
    Time mLastHeard;
    Time mDrainSince;
    bool mAlive = false;
    bool mPaused = false;
    bool mDraining = false;
    bool mIsHeldDead = false;
    /** It was held dead at some time. */
    bool mWasRemoved = false;
    bool mLeft = false;
  };
  struct Balancer
  {
    ServiceViewPtr mView;
    HintCache mHints{ 16 };
  };
  struct Life
  {
    std::set<int> mHolders;
    int mHolder = -1;
  };
  /** The hosts that a balancing method without state gives a flow. */
  struct Baseline
  {
    HostId mHost;
    bool mBroken = false;

    void Serve(HostId aHost)
    {
      mBroken = mBroken || (!mHost.IsNone() && mHost != aHost);
      mHost = aHost;
    }
  };
  struct Flow
  {
    Baseline mModulo;
    Baseline mRendezvous;
    std::map<FlowEpoch, Life> mLives;
    FlowEpoch mEstablished = 0;
    /** Agents that run a request of it, and until when. */
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
  void After(Duration aDelay, Step aStep);

  int StartAgent(std::size_t aSlot, HostState aState);
  std::vector<int> Running() const;
  void RunOn(int aAgent, const Step& aStep);
  void Carry(int aAgent, OwnershipActions& aActions);
  void Network(int aFrom, int aTo, const Step& aStep);
  int AgentAt(const Address& aAddress) const;

  void Publish();
  void Heartbeat(int aAgent);
  void WatchForDeaths();
  void Tick(int aAgent);

  void DrawFault();
  void Join(std::size_t aSlot);
  void DrainAgent(int aAgent);
  void LeaveWhenEmpty(int aAgent, Time aLatest);
  void Kill(int aAgent);
  void Pause(int aAgent, Duration aTime);

  void SendPacket(std::uint16_t aFlow);
  void PlayBaselines(Flow& aFlow, std::uint64_t aHash,
                     const ServiceView& aView);
  void Receive(int aAgent, PacketEvent aPacket);
  void OnDispatch(int aAgent, const DispatchPacket& aDispatch);
  void OnAnswer(int aAgent, const DispatchPacket& aDispatch);
  void CheckOwner(int aAgent, Flow& aFlow, FlowEpoch aEpoch);
  void CheckLife(Flow& aFlow, FlowEpoch aEpoch);
  bool Lives(int aAgent) const;
  void Settled(PacketToken aToken);
  void Violate(Violation aViolation)
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
  /** The latest agent of each address. */
  std::vector<int> mCurrent;
  std::vector<Balancer> mBalancers;
  std::map<std::uint16_t, Flow> mFlows;
  std::map<PacketToken, Waiting> mWaiting;
  std::set<std::pair<int, int>> mCut;
  std::uint64_t mVersion = 0;
  PacketToken mLastToken = 0;
  std::size_t mSlots = 0;
  unsigned mLossPercent = 0;
  bool mCalm = false;
  WorldResult mResult;
};

} // namespace heatherplank
