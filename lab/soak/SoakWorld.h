#pragma once

#include <csignal>

#include <map>
#include <memory>
#include <random>
#include <set>
#include <string>
#include <vector>

#include <boost/asio/io_context.hpp>
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
inline constexpr std::uint16_t kCallsPort = 7705;
/** New flows a second, all callers together. */
inline constexpr int kFlowsPerSecond = 120;
/** How often the fabric asks a balancer whether it is ready; two misses take
 * it out. */
inline constexpr auto kReadyEvery = milliseconds(500);
inline constexpr int kMissesOut = 2;
/** A packet may be on its way from the agent as its host leaves. */
inline constexpr auto kLeaveSlack = milliseconds(100);
/** Routes must be in force within this in calm. */
inline constexpr auto kRoutesWithin = seconds(3);
inline constexpr auto kStartWithin = seconds(4);
inline constexpr auto kCalmFor = seconds(4);

/** One run's world. Everything but the processes runs on one thread. */
class Soak
{
public:
  explicit Soak(const SoakOptions& aOptions)
    : mOptions(aOptions)
    , mRandom(aOptions.mSeed)
    , mStore(mContext.get_executor())
    , mNet("127." + std::to_string(16 + aOptions.mSeed / 200 % 200) + "." +
           std::to_string(aOptions.mSeed % 200) + ".")
    , mCallers(
        mContext.get_executor(), At(250, kCallerPort),
        [this](const FlowKey& aFlow, const Bytes& aPacket) {
          ToBalancer(aFlow, aPacket);
        },
        [this](const FlowCallers::Call& aCall) { OnReset(aCall); })
  {
  }

  bool Run();

private:
  /** A process, and what it is started with. */
  struct Kept
  {
    std::unique_ptr<Process> mProcess;
    std::string mName;
    json::object mSettings;
    std::string mLog;
  };
  struct Balancer : Kept
  {
    std::unique_ptr<TcpProxy> mStore;
    std::shared_ptr<HttpClient> mReady;
    Address mIngress;
    int mMisses = kMissesOut;
  };
  struct Agent : Kept
  {
    std::unique_ptr<FlowHost> mHost;
  };

  Address At(int aMachine, std::uint16_t aPort) const;

  Address RouteOf(int aIndex) const;

  void WriteRoutes(std::initializer_list<std::pair<int, const char*>> aRoutes);

  bool Build();

  bool Must(const Result<void>& aResult);

  json::object Shared(int aMachine, const std::string& aName,
                      const Address& aStore) const;

  bool BuildBalancer(int aIndex);

  bool BuildAgent(int aIndex);

  void StartBalancer(Balancer& aBalancer)
  {
    Launch(aBalancer, "flow-balancer");
  }
  void StartAgent(Agent& aAgent) { Launch(aAgent, "flow-agent"); }

  void Launch(Kept& aKept, const char* aCommand);

  // The fabric: packets of a flow go to a balancer by the hash of the flow over
  // those that are ready; when one joins or leaves nearly all flows move.

  void AskReady(Balancer& aBalancer);

  void ToBalancer(const FlowKey& aFlow, const Bytes& aPacket);

  void Later(Duration aAfter, std::function<void()> aWhat);

  void Traffic();

  void NextFlow();

  // What must hold, as callers and hosts see it.

  void Violated(const std::string& aWhat);

  void OnReset(const FlowCallers::Call& aCall);

  void OnHostGets(Agent& aAgent, ByteView aPacket);

  // Faults come in series and overlap.

  void PlanFaults();

  Balancer& AnyBalancer() { return *mBalancers[mRandom() % mBalancers.size()]; }
  Agent& AnyAgent() { return *mAgents[mRandom() % mAgents.size()]; }
  milliseconds AWhile() { return milliseconds(100 + mRandom() % 1500); }

  void KillBalancer();

  void StopBalancer();

  void FreezeBalancer();

  void Freeze(std::unique_ptr<Process>& aProcess);

  void KillAgent();

  void StopAgent();

  void FreezeAgent() { Freeze(AnyAgent().mProcess); }

  void CrashHost();

  /** At most one host of a service leaves, or none would be left. */
  void DrainHost();

  void StoreAway();

  void HarmStoreLink();

  void Reload();

  /** A balancer and half of the agents lose each other. */
  void CutLinks();
  void SetCut(const Balancer& aBalancer, const char* aPath,
              const std::string& aBody);

  /** A process starts again with a time of day that is wrong by up to an hour.
   */
  void WrongClock();
  /** Packets of callers are lost, doubled and late for a while. */
  void RoughFabric();
  void Fabric(const Bytes& aPacket, const Address& aTo);

  /** Ends every fault that did not end by itself. */
  void Calm();

  template<typename Start>
  void Revive(std::unique_ptr<Process>& aProcess, Start aStart)
  {
    if (aProcess) {
      aProcess->Signal(SIGCONT);
    }
    if (!aProcess || aProcess->Poll()) {
      aStart();
    }
  }

  /** Every flow that is open at a living host is found in calm. */
  void CheckFlowsAreFound();

  /** A new route serves and a dropped one does not, on every balancer. */
  void CheckRoutesChange();

  /** In calm nearly every call is answered. */
  void CheckServed();

  void Print() const;

  const SoakOptions mOptions;
  std::mt19937_64 mRandom;
  boost::asio::io_context mContext;
  StoreStandIn mStore;
  const std::string mNet;
  FlowCallers mCallers;
  std::shared_ptr<DatagramSocket> mFabric;
  std::vector<std::unique_ptr<Balancer>> mBalancers;
  std::vector<std::unique_ptr<Agent>> mAgents;
  std::set<Bytes> mSent;
  std::vector<std::string> mPlayed;
  std::vector<std::string> mViolations;
  std::size_t mFlowsAsked = 0;
  std::uint64_t mVersion = 0;
  bool mTrafficOn = false;
  bool mIsRough = false;
};

} // namespace heatherplank::lab
