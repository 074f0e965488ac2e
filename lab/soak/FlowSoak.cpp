#include "lab/soak/FlowSoak.h"

#include <csignal>
#include <cstdio>
#include <filesystem>
#include <fstream>
#include <random>
#include <set>
#include <vector>

#include <boost/asio/io_context.hpp>
#include <boost/json.hpp>

#include "lab/Process.h"
#include "lab/soak/FlowCallers.h"
#include "lab/soak/FlowHost.h"
#include "lab/soak/PacketMaker.h"
#include "lab/soak/StoreStandIn.h"
#include "lab/soak/TcpProxy.h"
#include "src/net/Endpoint.h"

namespace heatherplank::lab {

namespace json = boost::json;
using std::chrono::milliseconds;
using std::chrono::seconds;

namespace {

constexpr std::uint16_t kInnerPort = 7700;
constexpr std::uint16_t kCallerPort = 7701;
constexpr std::uint16_t kAdminPort = 7702;
constexpr std::uint16_t kInboxPort = 7703;
constexpr std::uint16_t kOutboxPort = 7704;
constexpr std::uint16_t kCallsPort = 7705;
/** New flows a second, all callers together. */
constexpr int kFlowsPerSecond = 120;
/** How often the fabric asks a balancer whether it is ready; two misses take
 * it out. */
constexpr auto kReadyEvery = milliseconds(500);
constexpr int kMissesOut = 2;
/** A packet may be on its way from the agent as its host leaves. */
constexpr auto kLeaveSlack = milliseconds(100);
/** Routes must be in force within this in calm. */
constexpr auto kRoutesWithin = seconds(3);
constexpr auto kStartWithin = seconds(4);
constexpr auto kCalmFor = seconds(4);

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

  bool Run()
  {
    if (!Build()) {
      return false;
    }
    mContext.run_for(kStartWithin);
    Traffic();
    PlanFaults();
    mContext.run_for(seconds(mOptions.mSeconds));
    Calm();
    mContext.run_for(kCalmFor);
    CheckFlowsAreFound();
    CheckRoutesChange();
    mTrafficOn = false;
    mContext.run_for(seconds(2));
    CheckServed();
    Print();
    return mViolations.empty();
  }

private:
  struct Balancer
  {
    std::unique_ptr<Process> mProcess;
    std::unique_ptr<TcpProxy> mStore;
    std::shared_ptr<HttpClient> mReady;
    std::string mSettings;
    std::string mLog;
    Address mIngress;
    int mMisses = kMissesOut;
  };
  struct Agent
  {
    std::unique_ptr<Process> mProcess;
    std::unique_ptr<FlowHost> mHost;
    std::string mSettings;
    std::string mLog;
  };

  Address At(int aMachine, std::uint16_t aPort) const
  {
    return *ParseAddress(mNet + std::to_string(aMachine) + ":" +
                         std::to_string(aPort));
  }

  Address RouteOf(int aIndex) const
  {
    return *ParseAddress("198.18.0." + std::to_string(aIndex) + ":80");
  }

  void WriteRoutes(std::initializer_list<std::pair<int, const char*>> aRoutes)
  {
    json::array routes;
    for (const auto& [index, service] : aRoutes) {
      routes.push_back({ { "Name", "r" + std::to_string(index) },
                         { "Host", "198.18.0." + std::to_string(index) },
                         { "PathPrefix", "/80/" },
                         { "Priority", 2 },
                         { "TargetLatencyMs", 200 },
                         { "Service", service } });
    }
    mStore.Write("config", "main",
                 { { "Version", ++mVersion }, { "Routes", routes } });
  }

  bool Build()
  {
    std::filesystem::create_directories(mOptions.mFolder);
    WriteRoutes({ { 1, "one" }, { 2, "two" } });
    bool built = Must(mStore.Listen(At(251, 0))) && Must(mCallers.Listen());
    for (int i = 0; built && i < mOptions.mBalancers; ++i) {
      built = BuildBalancer(i);
    }
    for (int i = 0; built && i < mOptions.mHosts; ++i) {
      built = BuildAgent(i);
    }
    return built;
  }

  bool Must(const Result<void>& aResult)
  {
    if (!aResult) {
      std::fprintf(stderr, "soak: %s\n", aResult.error().Describe().c_str());
    }
    return aResult.has_value();
  }

  json::object Shared(int aMachine, const std::string& aName,
                      const Address& aStore) const
  {
    json::array seeds;
    for (int i = 0; i < std::min(3, mOptions.mBalancers); ++i) {
      seeds.push_back(json::value(At(1 + i, 1).ToString()));
    }
    return { { "name", aName },
             { "data_centre", "z" + std::to_string(aMachine % 2) },
             { "tunnel", At(aMachine, kInnerPort).ToString() },
             { "control", At(aMachine, kInnerPort).ToString() },
             { "admin", At(aMachine, kAdminPort).ToString() },
             { "platform", aStore.ToString() },
             { "seeds", seeds },
             { "seed_port", kInnerPort },
             { "caller_port_of", At(aMachine, kCallerPort).ToString() } };
  }

  bool BuildBalancer(int aIndex)
  {
    int machine = 1 + aIndex;
    auto balancer = std::make_unique<Balancer>();
    balancer->mStore =
      std::make_unique<TcpProxy>(mContext.get_executor(), mStore.Local());
    if (!Must(balancer->mStore->Listen(At(machine, 0)))) {
      return false;
    }
    std::string name = "balancer-" + std::to_string(aIndex);
    balancer->mIngress = At(machine, kCallerPort);
    balancer->mReady =
      HttpClient::Make(mContext.get_executor(), At(machine, kAdminPort), 1);
    auto settings = Shared(machine, name, balancer->mStore->Local());
    settings["ingress"] = balancer->mIngress.ToString();
    settings["routes_key"] = "config/main";
    balancer->mSettings = WriteSettings(name, settings);
    balancer->mLog = mOptions.mFolder + "/" + name + ".log";
    StartBalancer(*balancer);
    AskReady(*balancer);
    mBalancers.push_back(std::move(balancer));
    return true;
  }

  bool BuildAgent(int aIndex)
  {
    int machine = 50 + aIndex;
    auto agent = std::make_unique<Agent>();
    std::string name = "agent-" + std::to_string(aIndex);
    std::string service = aIndex % 3 == 2 ? "two" : "one";
    FlowHost::Settings host;
    host.mName = "host-" + std::to_string(aIndex);
    host.mService = service;
    host.mInbox = At(machine, kInboxPort);
    host.mOutbox = At(machine, kOutboxPort);
    host.mCalls = At(machine, kCallsPort);
    agent->mHost =
      std::make_unique<FlowHost>(mContext.get_executor(), host, mRandom(),
                                 [this, &agent = *agent](ByteView aPacket) {
                                   OnHostGets(agent, aPacket);
                                 });
    if (!Must(agent->mHost->Listen())) {
      return false;
    }
    auto settings = Shared(machine, name, mStore.Local());
    settings["service"] = service;
    settings["host_inbox"] = host.mInbox.ToString();
    settings["host_outbox"] = host.mOutbox.ToString();
    settings["host_calls"] = host.mCalls.ToString();
    settings["host_heartbeat_ms"] = 400;
    agent->mSettings = WriteSettings(name, settings);
    agent->mLog = mOptions.mFolder + "/" + name + ".log";
    StartAgent(*agent);
    agent->mHost->Start();
    mAgents.push_back(std::move(agent));
    return true;
  }

  std::string WriteSettings(const std::string& aName,
                            const json::object& aSettings) const
  {
    std::string path = mOptions.mFolder + "/" + aName + ".json";
    std::ofstream(path) << json::serialize(aSettings);
    return path;
  }

  void StartBalancer(Balancer& aBalancer)
  {
    Launch(aBalancer.mProcess, "flow-balancer", aBalancer.mSettings,
           aBalancer.mLog);
  }
  void StartAgent(Agent& aAgent)
  {
    Launch(aAgent.mProcess, "flow-agent", aAgent.mSettings, aAgent.mLog);
  }

  void Launch(std::unique_ptr<Process>& aProcess, const char* aCommand,
              const std::string& aSettings, const std::string& aLog)
  {
    aProcess.reset();
    auto started = Process::Start(
      { mOptions.mBin, aCommand, "--settings=" + aSettings }, aLog);
    if (started) {
      aProcess = std::move(*started);
    } else {
      std::fprintf(stderr, "soak: %s\n", started.error().Describe().c_str());
    }
  }

  // The fabric: packets of a flow go to a balancer by the hash of the flow over
  // those that are ready; when one joins or leaves nearly all flows move.

  void AskReady(Balancer& aBalancer)
  {
    HttpRequest request(http::verb::get, "/readyz", 11);
    request.set(http::field::host, "balancer");
    aBalancer.mReady->Send(std::move(request), kReadyEvery,
                           [&aBalancer](Result<HttpResponse> aAnswer) {
                             bool ready =
                               aAnswer && aAnswer->result() == http::status::ok;
                             aBalancer.mMisses =
                               ready ? 0 : aBalancer.mMisses + 1;
                           });
    Later(kReadyEvery, [this, &aBalancer] { AskReady(aBalancer); });
  }

  void ToBalancer(const FlowKey& aFlow, const Bytes& aPacket)
  {
    mSent.insert(aPacket);
    std::vector<Balancer*> in;
    for (auto& it : mBalancers) {
      if (it->mMisses < kMissesOut) {
        in.push_back(it.get());
      }
    }
    if (in.empty()) {
      return;
    }
    Balancer* to = in[HashFlow(aFlow) % in.size()];
    if (!mFabric) {
      mFabric =
        *DatagramSocket::Make(mContext.get_executor(), At(252, 0), nullptr);
    }
    mFabric->Send(aPacket, to->mIngress);
  }

  void Later(Duration aAfter, std::function<void()> aWhat)
  {
    auto timer = std::make_shared<boost::asio::steady_timer>(mContext, aAfter);
    timer->async_wait(
      [timer, what = std::move(aWhat)](boost::system::error_code aEc) {
        if (!aEc) {
          what();
        }
      });
  }

  void Traffic()
  {
    mTrafficOn = true;
    NextFlow();
  }

  void NextFlow()
  {
    if (!mTrafficOn) {
      return;
    }
    mCallers.Begin(RouteOf(mRandom() % 4 == 0 ? 2 : 1));
    std::exponential_distribution<double> gap(kFlowsPerSecond);
    Later(
      std::chrono::microseconds(static_cast<std::int64_t>(gap(mRandom) * 1e6)),
      [this] { NextFlow(); });
  }

  // What must hold, as callers and hosts see it.

  void Violated(const std::string& aWhat)
  {
    if (mViolations.size() < 20) {
      mViolations.push_back(aWhat);
    }
  }

  void OnReset(const FlowCallers::Call& aCall)
  {
    for (const auto& it : mAgents) {
      if (aCall.mAccepted && it->mHost->HoldsOpen(aCall.mFlow) != 0) {
        Violated("reset of a flow that its host holds: " +
                 aCall.mFlow.ToString());
      }
    }
  }

  void OnHostGets(Agent& aAgent, ByteView aPacket)
  {
    Bytes plain(aPacket.begin(), aPacket.end());
    PlatformPackets().Tag(plain, 0);
    if (!mSent.contains(plain)) {
      Violated("a host got a packet that no caller wrote");
      return;
    }
    auto packet = PlatformPackets().Parse(aPacket);
    FlowKey flow = packet->FlowFromCaller();
    if (!packet->mSyn || aAgent.mHost->Knows(flow)) {
      return;
    }
    const char* wanted = flow.mService == RouteOf(2) ? "two" : "one";
    if (aAgent.mHost->Service() != wanted) {
      Violated("a host of another service got " + flow.ToString());
    }
    auto left = aAgent.mHost->LeftAt();
    if (left && std::chrono::steady_clock::now() > *left + kLeaveSlack) {
      Violated("a leaving host got " + flow.ToString());
    }
  }

  // Faults come in series and overlap.

  void PlanFaults()
  {
    using Fault = void (Soak::*)();
    static constexpr std::pair<const char*, Fault> kFaults[] = {
      { "balancer_kill", &Soak::KillBalancer },
      { "balancer_stop", &Soak::StopBalancer },
      { "balancer_freeze", &Soak::FreezeBalancer },
      { "agent_kill", &Soak::KillAgent },
      { "agent_stop", &Soak::StopAgent },
      { "agent_freeze", &Soak::FreezeAgent },
      { "host_crash", &Soak::CrashHost },
      { "host_drain", &Soak::DrainHost },
      { "store_away", &Soak::StoreAway },
      { "store_link", &Soak::HarmStoreLink },
      { "reload", &Soak::Reload },
    };
    auto n = 3 + static_cast<int>(mRandom() % 6);
    for (int i = 0; i < n; ++i) {
      const auto& [name, fault] = kFaults[mRandom() % std::size(kFaults)];
      mPlayed.emplace_back(name);
      auto at = milliseconds(
        mRandom() % (800 * static_cast<std::uint64_t>(mOptions.mSeconds)));
      Later(at, [this, fault = fault] { (this->*fault)(); });
    }
  }

  Balancer& AnyBalancer() { return *mBalancers[mRandom() % mBalancers.size()]; }
  Agent& AnyAgent() { return *mAgents[mRandom() % mAgents.size()]; }
  milliseconds AWhile() { return milliseconds(100 + mRandom() % 1500); }

  void KillBalancer()
  {
    Balancer& it = AnyBalancer();
    it.mProcess.reset();
    Later(AWhile(), [this, &it] { StartBalancer(it); });
  }

  void StopBalancer()
  {
    Balancer& it = AnyBalancer();
    if (it.mProcess) {
      it.mProcess->Signal(SIGTERM);
    }
    Later(milliseconds(2500), [this, &it] { StartBalancer(it); });
  }

  void FreezeBalancer()
  {
    Balancer& it = AnyBalancer();
    Freeze(it.mProcess);
  }

  void Freeze(std::unique_ptr<Process>& aProcess)
  {
    if (!aProcess) {
      return;
    }
    aProcess->Signal(SIGSTOP);
    Later(AWhile(), [&aProcess] {
      if (aProcess) {
        aProcess->Signal(SIGCONT);
      }
    });
  }

  void KillAgent()
  {
    Agent& it = AnyAgent();
    it.mProcess.reset();
    Later(AWhile() / 2, [this, &it] { StartAgent(it); });
  }

  void StopAgent()
  {
    Agent& it = AnyAgent();
    if (it.mProcess) {
      it.mProcess->Signal(SIGTERM);
    }
    Later(milliseconds(4300), [this, &it] { StartAgent(it); });
  }

  void FreezeAgent() { Freeze(AnyAgent().mProcess); }

  void CrashHost()
  {
    Agent& it = AnyAgent();
    it.mHost->Crash();
    Later(AWhile(), [&it] {
      if (!it.mHost->IsAlive()) {
        it.mHost->Start();
      }
    });
  }

  /** At most one host of a service leaves, or none would be left. */
  void DrainHost()
  {
    Agent& it = *mAgents[mRandom() % 2];
    it.mHost->Drain();
  }

  void StoreAway()
  {
    StoreFaults faults;
    switch (mRandom() % 4) {
      case 0:
        faults.mBusy = true;
        break;
      case 1:
        faults.mSilent = true;
        break;
      case 2:
        faults.mMany = true;
        break;
      default:
        faults.mDelay = milliseconds(200);
        break;
    }
    mStore.SetFaults(faults);
    mStore.Compact();
    Later(2 * AWhile(), [this] { mStore.SetFaults({}); });
  }

  void HarmStoreLink()
  {
    TcpProxy& proxy = *AnyBalancer().mStore;
    ProxyFaults faults;
    switch (mRandom() % 4) {
      case 0:
        faults.mCutsRequests = true;
        break;
      case 1:
        faults.mCutsAnswers = true;
        break;
      case 2:
        faults.mDelay = milliseconds(300);
        break;
      default:
        faults.mRefuses = true;
        proxy.ResetAll();
        break;
    }
    proxy.SetFaults(faults);
    Later(2 * AWhile(), [&proxy] { proxy.SetFaults({}); });
  }

  void Reload()
  {
    for (auto& it : mBalancers) {
      if (it->mProcess) {
        it->mProcess->Signal(SIGHUP);
      }
    }
  }

  /** Ends every fault that did not end by itself. */
  void Calm()
  {
    mStore.SetFaults({});
    for (auto& it : mBalancers) {
      it->mStore->SetFaults({});
      Revive(it->mProcess, [&] { StartBalancer(*it); });
    }
    for (auto& it : mAgents) {
      Revive(it->mProcess, [&] { StartAgent(*it); });
      if (!it->mHost->IsAlive()) {
        it->mHost->Start();
      }
    }
  }

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
  void CheckFlowsAreFound()
  {
    std::map<FlowKey, int> asked;
    for (const auto& [flow, call] : mCallers.Calls()) {
      for (const auto& it : mAgents) {
        if (!call.mEnded && it->mHost->HoldsOpen(flow) != 0 &&
            mRandom() % 8 == 0) {
          asked[flow] = 0;
        }
      }
    }
    for (const auto& it : mAgents) {
      it->mHost->ForgetHeard();
    }
    for (const auto& [flow, n] : asked) {
      mCallers.Ask(flow);
    }
    mContext.run_for(milliseconds(700));
    // Datagrams may be lost on a busy machine; twice the same one is a finding.
    for (const auto& [flow, n] : asked) {
      mCallers.Ask(flow);
    }
    mContext.run_for(milliseconds(700));
    std::size_t missing = 0;
    for (const auto& [flow, n] : asked) {
      bool held = false;
      bool reached = false;
      for (const auto& it : mAgents) {
        held = held || it->mHost->HoldsOpen(flow) != 0;
        reached = reached || it->mHost->Heard(flow);
      }
      missing += held && !reached ? 1 : 0;
    }
    mFlowsAsked = asked.size();
    if (missing > 0) {
      Violated(std::to_string(missing) + " of " + std::to_string(asked.size()) +
               " open flows were not found");
    }
  }

  /** A new route serves and a dropped one does not, on every balancer. */
  void CheckRoutesChange()
  {
    WriteRoutes({ { 1, "one" }, { 2, "two" }, { 3, "one" } });
    mContext.run_for(kRoutesWithin);
    std::vector<FlowKey> fresh;
    std::vector<FlowKey> unknown;
    for (int i = 0; i < 10; ++i) {
      fresh.push_back(mCallers.Begin(RouteOf(3)));
      unknown.push_back(mCallers.Begin(RouteOf(4)));
    }
    mContext.run_for(milliseconds(800));
    for (const FlowKey& it : fresh) {
      if (!mCallers.Calls().at(it).mAccepted) {
        Violated("a new route was not in force: " + it.ToString());
      }
    }
    for (const FlowKey& it : unknown) {
      if (mCallers.Calls().at(it).mAccepted) {
        Violated("a flow of no route was opened: " + it.ToString());
      }
    }
  }

  /** In calm nearly every call is answered. */
  void CheckServed()
  {
    auto now = std::chrono::steady_clock::now();
    int asked = 0;
    int answered = 0;
    for (const auto& [flow, call] : mCallers.Calls()) {
      auto age = now - call.mBegan;
      if (age > seconds(2) && age < seconds(6) && flow.mService != RouteOf(4)) {
        ++asked;
        answered += call.mAnswered ? 1 : 0;
      }
    }
    if (answered * 100 < asked * 98) {
      Violated("in calm " + std::to_string(answered) + " of " +
               std::to_string(asked) + " calls were answered");
    }
  }

  void Print() const
  {
    json::array faults;
    for (const auto& it : mPlayed) {
      faults.push_back(json::value(it));
    }
    json::array violations;
    for (const auto& it : mViolations) {
      violations.push_back(json::value(it));
    }
    json::object line{ { "seed", mOptions.mSeed },
                       { "ok", mViolations.empty() },
                       { "calls", mCallers.Calls().size() },
                       { "answered", mCallers.Answered() },
                       { "refused", mCallers.Refused() },
                       { "flows_asked_for", mFlowsAsked },
                       { "store_calls", mStore.Calls() },
                       { "faults", std::move(faults) },
                       { "violations", std::move(violations) } };
    std::printf("%s\n", json::serialize(line).c_str());
    std::fflush(stdout);
  }

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
};

} // namespace

bool RunSoak(const SoakOptions& aOptions)
{
  bool held = Soak(aOptions).Run();
  if (held) {
    std::filesystem::remove_all(aOptions.mFolder);
  }
  return held;
}

} // namespace heatherplank::lab
