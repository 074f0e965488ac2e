#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <random>
#include <set>
#include <string>
#include <vector>

#include "include/heatherplank/Clock.h"
#include "platform/PlatformPackets.h"
#include "src/passthrough/FlowSteering.h"
#include "src/passthrough/HostFlows.h"

namespace heatherplank {

/** A world of balancers, agents, hosts and callers on a paused clock, with a
 * network that loses, doubles and reorders, and a seeded schedule of faults.
 * It checks, from what callers and hosts see, that
 *
 * - no caller gets a reset on a flow that its living host holds;
 * - once the world is calm, a packet of an open flow reaches its host;
 * - no host is given a flow of another service;
 * - no flow is opened at a host after its agent acknowledged that it leaves;
 * - hosts get packets only as their callers wrote them;
 * - no flow is opened in a data centre long after the operator drained it.
 */
class PassthroughWorld
{
public:
  struct Options
  {
    std::uint64_t mSeed = 1;
    HostFlowGuards mGuards;
    int mCallers = 12;
    int mFaults = 4;
    /** The operator drains a data centre; no process freezes then, which would
     * hide for how long a drain may be unknown. */
    bool mDrains = false;
    /** One balancer never hears of the drain, and no agent forgets it. */
    bool mDeafBalancer = false;
    /** Agents are told of the drain. */
    bool mTellsAgents = true;
  };

  explicit PassthroughWorld(const Options& aOptions);
  ~PassthroughWorld();

  /** Plays the schedule; gives what went wrong, first thing first. */
  std::vector<std::string> Run();

  int Opened() const { return mOpened; }
  int Answered() const { return mAnswered; }

private:
  struct Balancer;
  struct Agent;
  struct Host;
  struct Caller;

  void At(Duration aAfter, std::function<void()> aWhat);
  void Send(std::function<void()> aDeliver);
  void PlayUntil(Time aEnd);
  double Chance();
  std::uint64_t Pick(std::uint64_t aBelow);
  Duration Between(int aFromMs, int aToMs);

  void StartHost(Agent& aAgent, const char* aService);
  void Announce(Agent& aAgent);
  void ViewsChanged();
  void GiveViews(Balancer& aBalancer);
  void PlanFault();
  void KillBalancer();
  void FreezeBalancer();
  void KillAgent();
  void FreezeAgent();
  void CrashHost();
  void DrainHost();
  void ReuseAddress();
  void CutAgents();
  void Drain();
  void TellDrained(Agent& aAgent);
  bool IsLongDrained(const Agent& aAgent) const;

  void OnCallerPacket(Bytes aPacket);
  void Offer(Balancer& aBalancer, const Bytes& aPacket);
  void ToAgent(const Address& aTo, const SteeredPacket& aPacket,
               const Agent* aFrom);
  void ToBalancer(const Address& aTo, std::function<void(Balancer&)> aWhat);
  void ToHost(Agent& aAgent, Bytes aPacket);
  void HostOpens(Agent& aAgent, const FlowPacket& aPacket);
  void HostContinues(Agent& aAgent, const FlowPacket& aPacket, Bytes aBytes);
  void FromHost(Agent& aAgent, Bytes aPacket);
  void ToCaller(const Address& aCaller, Bytes aPacket);

  void StartCaller(Caller& aCaller);
  void SendSyn(Caller& aCaller, std::uint32_t aCopy);
  void SendRequest(Caller& aCaller, int aTries, Duration aAgainAfter);
  void SendFromCaller(Caller& aCaller, Bytes aPacket);
  Host* HostOf(const Caller& aCaller);
  void CheckCalm();
  void Violated(std::string aWhat);

  const Options mOptions;
  std::mt19937_64 mRandom;
  ManualClock mClock;
  PlatformPackets mPackets;
  std::multimap<Time, std::function<void()>> mEvents;
  std::vector<std::unique_ptr<Balancer>> mBalancers;
  std::vector<std::unique_ptr<Agent>> mAgents;
  std::vector<std::unique_ptr<Caller>> mCallers;
  FlowInventoryPtr mInventory;
  std::uint64_t mVersion = 1;
  std::uint32_t mNextSequence = 1000;
  std::int64_t mNextLife = 1;
  DataCentreDrains mDrains{ 1, {} };
  std::optional<Time> mDrainedAt;
  bool mCalm = false;
  int mOpened = 0;
  int mAnswered = 0;
  std::vector<std::string> mViolations;
};

} // namespace heatherplank
