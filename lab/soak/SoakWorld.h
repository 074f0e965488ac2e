#pragma once

#include <csignal>

#include <map>
#include <memory>
#include <optional>
#include <random>
#include <set>
#include <string>
#include <vector>

#include <boost/asio/io_context.hpp>
#include <boost/json/array.hpp>
#include <boost/json/object.hpp>

#include "lab/Process.h"
#include "lab/soak/FlowCallers.h"
#include "lab/soak/FlowHost.h"
#include "lab/soak/FlowSoak.h"
#include "lab/soak/StoreStandIn.h"
#include "lab/soak/TcpProxy.h"
#include "src/net/HttpClient.h"

namespace heatherplank::lab {

namespace json = boost::json;
using std::chrono::milliseconds;
using std::chrono::seconds;

inline constexpr std::uint16_t kInnerPort = 7700;
inline constexpr std::uint16_t kCallerPort = 7701;
inline constexpr std::uint16_t kAdminPort = 7702;
inline constexpr std::uint16_t kInboxPort = 7703;
inline constexpr std::uint16_t kOutboxPort = 7704;
inline constexpr std::uint16_t kAgentApiPort = 7705;
/** New flows per second of all callers together. */
inline constexpr int kFlowsPerSecond = 120;
/** With --long, a long flow is opened for every so many other flows. */
inline constexpr int kFlowsPerLongFlow = 8;
/** How often the fabric probes each balancer's readiness. A balancer that fails
 * kMaxReadyMisses probes in a row receives no packets. */
inline constexpr auto kReadyInterval = milliseconds(500);
inline constexpr int kMaxReadyMisses = 2;
/** For this long after a drain was acknowledged, a new flow may still arrive:
 * its packet was already on the way from the agent. */
inline constexpr auto kDrainSlack = milliseconds(100);
/** Time for new routes to be in force on every balancer without faults. */
inline constexpr auto kRoutesTimeout = seconds(3);
/** Time for the processes to start. */
inline constexpr auto kStartDuration = seconds(4);
/** Time between the end of the faults and the checks. */
inline constexpr auto kSettleDuration = seconds(4);
/** A request on an open flow is answered within this time while its host lives
 * and a balancer is ready. The fabric needs up to 1 s to notice a killed
 * balancer; the caller's retry at 1.4 s is past that. */
inline constexpr auto kAnswerBound = seconds(2);
/** The processes start within this time of each other after a power loss. */
inline constexpr auto kReturnSpread = milliseconds(500);
/** A flow lost with its host is reset within this time after all processes
 * have returned. */
inline constexpr auto kResetBound = seconds(3);
/** The route that leaves service two with --leave. */
inline constexpr int kSplitRoute = 5;

/** One soak run. Everything but the processes under test runs on one thread. */
class Soak
{
public:
  explicit Soak(const SoakOptions& aOptions)
    : mOptions(aOptions)
    , mRandom(aOptions.mSeed)
    , mStore(mContext.get_executor())
    , mSubnet("127." + std::to_string(16 + aOptions.mSeed / 200 % 200) + "." +
              std::to_string(aOptions.mSeed % 200) + ".")
    , mCallers(
        mContext.get_executor(), AddressOf(250, kCallerPort), aOptions.mSeed,
        [this](const FlowKey& aFlow, const Bytes& aPacket) {
          SendToBalancer(aFlow, aPacket);
        },
        [this](const FlowCallers::Call& aCall) { OnReset(aCall); })
  {
  }

  bool Run();

private:
  /** A process under test, its settings and its log file. */
  struct ManagedProcess
  {
    std::unique_ptr<Process> mProcess;
    std::string mName;
    json::object mSettings;
    std::string mLog;
  };
  struct Balancer : ManagedProcess
  {
    std::unique_ptr<TcpProxy> mStore;
    std::shared_ptr<HttpClient> mReadyClient;
    Address mIngress;
    int mReadyMisses = kMaxReadyMisses;
  };
  struct Agent : ManagedProcess
  {
    std::unique_ptr<FlowHost> mHost;
  };

  /** An address of a simulated VM; aVm is the last octet. */
  Address AddressOf(int aVm, std::uint16_t aPort) const;

  Address RouteAddress(int aIndex) const;

  /** With --leave, the split route is added to aRoutes. */
  void WriteRoutes(std::initializer_list<std::pair<int, const char*>> aRoutes);

  /** A route with equal shares of both services until LeaveService, of service
   * one afterwards. */
  json::object MakeSplitRoute() const;

  bool Build();

  /** Whether the result has a value; prints the error otherwise. */
  bool Succeeded(const Result<void>& aResult);

  json::object CommonSettings(int aVm, const std::string& aName,
                              const Address& aStore) const;

  bool BuildBalancer(int aIndex);

  bool BuildAgent(int aIndex);

  void StartBalancer(Balancer& aBalancer)
  {
    Launch(aBalancer, "flow-balancer");
  }
  void StartAgent(Agent& aAgent) { Launch(aAgent, "flow-agent"); }

  void Launch(ManagedProcess& aProcess, const char* aCommand);

  // The fabric sends the packets of a flow to one of the ready balancers,
  // chosen by the flow's hash modulo their number. Nearly all flows move to
  // another balancer when one joins or leaves.

  void ProbeReadiness(Balancer& aBalancer);

  void SendToBalancer(const FlowKey& aFlow, const Bytes& aPacket);

  void RunAfter(Duration aDelay, std::function<void()> aTask);

  /** Runs aStart later, unless a power loss comes in between: the return of
   * power starts everything. */
  void RestartAfter(Duration aDelay, std::function<void()> aStart);

  void StartTraffic();

  void OpenNextFlow();

  /** Whether a new flow to an address may reach a host of the service. */
  bool MayServe(const Address& aRoute, const std::string& aService) const;

  // Checks of what callers and hosts observe.

  void RecordViolation(const std::string& aMessage);

  void OnReset(const FlowCallers::Call& aCall);

  void OnHostPacket(Agent& aAgent, ByteView aPacket);

  /** The host that holds a flow open, or null. */
  const FlowHost* HostOf(const FlowKey& aFlow) const;

  /** Repeats CheckAnswers while there is traffic. */
  void WatchAnswers();

  /** Requests on long flows with a living host are answered within
   * kAnswerBound. */
  void CheckAnswers();
  void AddLateDetails(const FlowKey& aFlow, const FlowHost& aHost,
                      Time aSentAt);
  /** Not with --wide: agents and hosts that stand still delay answers. */
  void CheckNoRequestWasLate();

  /** Counts the flows lost with their hosts that were not reset. */
  void CheckLostFlowsAreReset();

  // Faults, which may overlap.

  using Fault = void (Soak::*)();

  void PlanFaults();
  void PlanLongFlowFaults();
  void PlanFault(const char* aName, Fault aFault);
  void WriteOddEntry();

  Balancer& AnyBalancer() { return *mBalancers[mRandom() % mBalancers.size()]; }
  Agent& AnyAgent() { return *mAgents[mRandom() % mAgents.size()]; }
  milliseconds RandomFaultDuration()
  {
    return milliseconds(100 + mRandom() % 1500);
  }

  void KillBalancer();

  void StopAnyBalancer() { StopBalancer(AnyBalancer()); }
  void StopBalancer(Balancer& aBalancer);
  void RestartBalancersInTurn();
  void AddBalancer();

  void FreezeBalancer();

  void Freeze(std::unique_ptr<Process>& aProcess);

  void KillAgent();

  void StopAgent();

  void FreezeAgent() { Freeze(AnyAgent().mProcess); }

  void CrashHost();

  /** Drains the first or the second host, both of service one, so that each
   * service keeps hosts that do not drain. */
  void DrainHost();

  void ImpairStore();

  void SilenceStoreConnections();
  void ImpairStoreLink();
  void RestoreStore();

  /** The split route leaves service two. */
  void LeaveService();

  /** Kills all processes and hosts at once. All return within kReturnSpread of
   * each other, without further faults until kResetBound has passed. */
  void LosePower();
  /** The same, but the hosts live on: agents that start cannot know which flows
   * they hold. */
  void LoseProcesses();
  void KillAllProcesses(Duration aOff);
  Duration ReturnAfter(Duration aOff);

  void Reload();

  /** Cuts the links between a balancer and every second agent. */
  void CutLinks();
  void SendLinkFault(const Balancer& aBalancer, const char* aPath,
                     const std::string& aBody);

  /** Restarts a process with a wall clock that is wrong by up to an hour. */
  void SetWrongClock();
  /** Drops, duplicates and delays callers' packets for a while. */
  void ImpairFabric();
  void SendThroughFabric(const Bytes& aPacket, const Address& aTo);

  /** Ends every fault that is still active. */
  void EndFaults();

  template<typename Start>
  void ResumeOrRestart(std::unique_ptr<Process>& aProcess, Start aStart)
  {
    if (aProcess) {
      aProcess->Signal(SIGCONT);
    }
    if (!aProcess || aProcess->Poll()) {
      aStart();
    }
  }

  /** Without faults, requests on a sample of the open flows reach the flows'
   * hosts. */
  void CheckOpenFlowsAreReachable();

  /** Flows of a new route are accepted and flows without a route are not,
   * whichever balancer they reach. */
  void CheckRouteChanges();

  /** Without faults, at least 98% of the calls are answered. */
  void CheckCallsAnswered();

  void Print() const;

  const SoakOptions mOptions;
  std::mt19937_64 mRandom;
  boost::asio::io_context mContext;
  StoreStandIn mStore;
  /** The routes as last written. */
  boost::json::value mRoutes;
  const std::string mSubnet;
  FlowCallers mCallers;
  std::shared_ptr<DatagramSocket> mFabric;
  std::vector<std::unique_ptr<Balancer>> mBalancers;
  std::vector<std::unique_ptr<Agent>> mAgents;
  std::set<Bytes> mSentPackets;
  std::vector<std::string> mPlannedFaults;
  std::vector<std::string> mViolations;
  std::size_t mFlowsSampled = 0;
  std::uint64_t mVersion = 0;
  bool mTrafficOn = false;
  bool mFabricImpaired = false;
  /** Faults that are due before are left out. */
  Time mNoFaultsBefore{};
  int mPowerLosses = 0;
  /** Long flows that were open at a power loss. */
  std::set<FlowKey> mLostFlows;
  std::size_t mLostFlowsReset = 0;
  /** When the split route left service two. */
  std::optional<Time> mServiceLeftAt;
  /** When the fabric last had no ready balancer. */
  Time mLastUnreachableAt{};
  /** By long flow: the last request that was not answered in time, plus 1. */
  std::map<FlowKey, std::uint32_t> mLateRequests;
  /** The first late requests: flow, host and when they were sent. */
  json::array mLateDetails;
  int mLate = 0;
  /** Late requests on flows at a service that their route has left. */
  int mLateAtLeftService = 0;
};

} // namespace heatherplank::lab
