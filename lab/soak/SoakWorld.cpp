// The processes under test and their simulated environment.
#include "lab/soak/SoakWorld.h"

#include <algorithm>
#include <cstdio>
#include <filesystem>
#include <fstream>

#include <boost/json.hpp>

#include "src/net/Endpoint.h"

namespace heatherplank::lab {

bool Soak::Run()
{
  if (!Build()) {
    return false;
  }
  mContext.run_for(kStartDuration);
  StartTraffic();
  PlanFaults();
  mContext.run_for(seconds(mOptions.mSeconds));
  EndFaults();
  mContext.run_for(kSettleDuration);
  CheckOpenFlowsAreReachable();
  CheckRouteChanges();
  mTrafficOn = false;
  mContext.run_for(seconds(2));
  CheckCallsAnswered();
  if (!mOptions.mWide) {
    CheckNoRequestWasLate();
  }
  Print();
  return mViolations.empty();
}

Address Soak::AddressOf(int aVm, std::uint16_t aPort) const
{
  return *ParseAddress(mSubnet + std::to_string(aVm) + ":" +
                       std::to_string(aPort));
}

Address Soak::RouteAddress(int aIndex) const
{
  return *ParseAddress("198.18.0." + std::to_string(aIndex) + ":80");
}

void Soak::WriteRoutes(
  std::initializer_list<std::pair<int, const char*>> aRoutes)
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
  if (mOptions.mRouteLeavesService) {
    routes.push_back(MakeSplitRoute());
  }
  mRoutes = { { "Version", ++mVersion }, { "Routes", routes } };
  mStore.Write("config", "main", mRoutes);
}

bool Soak::Build()
{
  std::filesystem::create_directories(mOptions.mFolder);
  WriteRoutes({ { 1, "one" }, { 2, "two" } });
  bool built =
    Succeeded(mStore.Listen(AddressOf(251, 0))) && Succeeded(mCallers.Listen());
  for (int i = 0; built && i < mOptions.mBalancers; ++i) {
    built = BuildBalancer(i);
  }
  for (int i = 0; built && i < mOptions.mHosts; ++i) {
    built = BuildAgent(i);
  }
  return built;
}

bool Soak::Succeeded(const Result<void>& aResult)
{
  if (!aResult) {
    std::fprintf(stderr, "soak: %s\n", aResult.error().Describe().c_str());
  }
  return aResult.has_value();
}

json::object Soak::CommonSettings(int aVm, const std::string& aName,
                                  const Address& aStore) const
{
  json::array seeds;
  for (int i = 0; i < std::min(3, mOptions.mBalancers); ++i) {
    seeds.push_back(json::value(AddressOf(1 + i, 1).ToString()));
  }
  return { { "name", aName },
           { "data_centre", "z" + std::to_string(aVm % 2) },
           { "tunnel", AddressOf(aVm, kInnerPort).ToString() },
           { "control", AddressOf(aVm, kInnerPort).ToString() },
           { "admin", AddressOf(aVm, kAdminPort).ToString() },
           { "platform", aStore.ToString() },
           { "seeds", seeds },
           { "seed_port", kInnerPort },
           { "caller_port_of", AddressOf(aVm, kCallerPort).ToString() } };
}

bool Soak::BuildBalancer(int aIndex)
{
  int vm = 1 + aIndex;
  auto balancer = std::make_unique<Balancer>();
  balancer->mStore =
    std::make_unique<TcpProxy>(mContext.get_executor(), mStore.Local());
  if (!Succeeded(balancer->mStore->Listen(AddressOf(vm, 0)))) {
    return false;
  }
  std::string name = "balancer-" + std::to_string(aIndex);
  balancer->mIngress = AddressOf(vm, kCallerPort);
  balancer->mReadyClient =
    HttpClient::Make(mContext.get_executor(), AddressOf(vm, kAdminPort), 1);
  auto settings = CommonSettings(vm, name, balancer->mStore->Local());
  settings["ingress"] = balancer->mIngress.ToString();
  settings["routes_key"] = "config/main";
  settings["fault_injection"] = true;
  balancer->mName = name;
  balancer->mSettings = std::move(settings);
  balancer->mLog = mOptions.mFolder + "/" + name + ".log";
  StartBalancer(*balancer);
  ProbeReadiness(*balancer);
  mBalancers.push_back(std::move(balancer));
  return true;
}

bool Soak::BuildAgent(int aIndex)
{
  int vm = 50 + aIndex;
  auto agent = std::make_unique<Agent>();
  std::string name = "agent-" + std::to_string(aIndex);
  std::string service = aIndex % 3 == 2 ? "two" : "one";
  FlowHost::Settings host;
  host.mName = "host-" + std::to_string(aIndex);
  host.mService = service;
  host.mInbox = AddressOf(vm, kInboxPort);
  host.mOutbox = AddressOf(vm, kOutboxPort);
  host.mAgentApi = AddressOf(vm, kAgentApiPort);
  agent->mHost =
    std::make_unique<FlowHost>(mContext.get_executor(), host, mRandom(),
                               [this, &agent = *agent](ByteView aPacket) {
                                 OnHostPacket(agent, aPacket);
                               });
  if (!Succeeded(agent->mHost->Listen())) {
    return false;
  }
  auto settings = CommonSettings(vm, name, mStore.Local());
  settings["service"] = service;
  settings["host_inbox"] = host.mInbox.ToString();
  settings["host_outbox"] = host.mOutbox.ToString();
  settings["host_calls"] = host.mAgentApi.ToString();
  settings["host_heartbeat_ms"] = 400;
  agent->mName = name;
  agent->mSettings = std::move(settings);
  agent->mLog = mOptions.mFolder + "/" + name + ".log";
  StartAgent(*agent);
  agent->mHost->Start();
  mAgents.push_back(std::move(agent));
  return true;
}

void Soak::Launch(ManagedProcess& aProcess, const char* aCommand)
{
  aProcess.mProcess.reset();
  std::string path = mOptions.mFolder + "/" + aProcess.mName + ".json";
  std::ofstream(path) << json::serialize(aProcess.mSettings);
  auto started = Process::Start(
    { mOptions.mBin, aCommand, "--settings=" + path }, aProcess.mLog);
  if (started) {
    aProcess.mProcess = std::move(*started);
  } else {
    std::fprintf(stderr, "soak: %s\n", started.error().Describe().c_str());
  }
}

void Soak::ProbeReadiness(Balancer& aBalancer)
{
  HttpRequest request(http::verb::get, "/readyz", 11);
  request.set(http::field::host, "balancer");
  aBalancer.mReadyClient->Send(
    std::move(request), kReadyInterval,
    [&aBalancer](Result<HttpResponse> aAnswer) {
      bool ready = aAnswer && aAnswer->result() == http::status::ok;
      aBalancer.mReadyMisses = ready ? 0 : aBalancer.mReadyMisses + 1;
    });
  RunAfter(kReadyInterval, [this, &aBalancer] { ProbeReadiness(aBalancer); });
}

void Soak::SendToBalancer(const FlowKey& aFlow, const Bytes& aPacket)
{
  mSentPackets.insert(aPacket);
  std::vector<Balancer*> ready;
  for (auto& it : mBalancers) {
    if (it->mReadyMisses < kMaxReadyMisses) {
      ready.push_back(it.get());
    }
  }
  if (ready.empty()) {
    return;
  }
  Balancer* to = ready[HashFlow(aFlow) % ready.size()];
  if (!mFabric) {
    mFabric = *DatagramSocket::Make(mContext.get_executor(), AddressOf(252, 0),
                                    nullptr);
  }
  SendThroughFabric(aPacket, to->mIngress);
}

void Soak::SendThroughFabric(const Bytes& aPacket, const Address& aTo)
{
  // While impaired: 0 drops the packet, 1 duplicates it, 2 delays it.
  constexpr std::uint64_t kOutcomes = 10;
  auto outcome = mFabricImpaired ? mRandom() % kOutcomes : kOutcomes;
  if (outcome == 0) {
    return;
  }
  if (outcome == 1) {
    mFabric->Send(aPacket, aTo);
  }
  if (outcome == 2) {
    RunAfter(milliseconds(mRandom() % 300),
             [this, aPacket, aTo] { mFabric->Send(aPacket, aTo); });
    return;
  }
  mFabric->Send(aPacket, aTo);
}

void Soak::RunAfter(Duration aDelay, std::function<void()> aTask)
{
  auto timer = std::make_shared<boost::asio::steady_timer>(mContext, aDelay);
  timer->async_wait(
    [timer, task = std::move(aTask)](boost::system::error_code aEc) {
      if (!aEc) {
        task();
      }
    });
}

void Soak::RestartAfter(Duration aDelay, std::function<void()> aStart)
{
  RunAfter(aDelay, [this, losses = mPowerLosses, start = std::move(aStart)] {
    if (losses == mPowerLosses) {
      start();
    }
  });
}

void Soak::StartTraffic()
{
  mTrafficOn = true;
  OpenNextFlow();
  if (mOptions.mLongFlows) {
    WatchAnswers();
  }
}

void Soak::OpenNextFlow()
{
  if (!mTrafficOn) {
    return;
  }
  mCallers.OpenFlow(RouteAddress(mRandom() % 4 == 0 ? 2 : 1));
  if (mOptions.mLongFlows && mRandom() % kFlowsPerLongFlow == 0) {
    bool split = mOptions.mRouteLeavesService && mRandom() % 2 == 0;
    mCallers.OpenFlow(
      RouteAddress(split ? kSplitRoute : 1 + static_cast<int>(mRandom() % 2)),
      true);
  }
  std::exponential_distribution<double> gap(kFlowsPerSecond);
  RunAfter(
    std::chrono::microseconds(static_cast<std::int64_t>(gap(mRandom) * 1e6)),
    [this] { OpenNextFlow(); });
}

} // namespace heatherplank::lab
