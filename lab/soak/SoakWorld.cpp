// The processes and what stands around them.
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

Address Soak::At(int aMachine, std::uint16_t aPort) const
{
  return *ParseAddress(mNet + std::to_string(aMachine) + ":" +
                       std::to_string(aPort));
}

Address Soak::RouteOf(int aIndex) const
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
  mStore.Write("config", "main",
               { { "Version", ++mVersion }, { "Routes", routes } });
}

bool Soak::Build()
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

bool Soak::Must(const Result<void>& aResult)
{
  if (!aResult) {
    std::fprintf(stderr, "soak: %s\n", aResult.error().Describe().c_str());
  }
  return aResult.has_value();
}

json::object Soak::Shared(int aMachine, const std::string& aName,
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

bool Soak::BuildBalancer(int aIndex)
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
  settings["fault_injection"] = true;
  balancer->mName = name;
  balancer->mSettings = std::move(settings);
  balancer->mLog = mOptions.mFolder + "/" + name + ".log";
  StartBalancer(*balancer);
  AskReady(*balancer);
  mBalancers.push_back(std::move(balancer));
  return true;
}

bool Soak::BuildAgent(int aIndex)
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
  agent->mHost = std::make_unique<FlowHost>(
    mContext.get_executor(), host, mRandom(),
    [this, &agent = *agent](ByteView aPacket) { OnHostGets(agent, aPacket); });
  if (!Must(agent->mHost->Listen())) {
    return false;
  }
  auto settings = Shared(machine, name, mStore.Local());
  settings["service"] = service;
  settings["host_inbox"] = host.mInbox.ToString();
  settings["host_outbox"] = host.mOutbox.ToString();
  settings["host_calls"] = host.mCalls.ToString();
  settings["host_heartbeat_ms"] = 400;
  agent->mName = name;
  agent->mSettings = std::move(settings);
  agent->mLog = mOptions.mFolder + "/" + name + ".log";
  StartAgent(*agent);
  agent->mHost->Start();
  mAgents.push_back(std::move(agent));
  return true;
}

void Soak::Launch(Kept& aKept, const char* aCommand)
{
  aKept.mProcess.reset();
  std::string path = mOptions.mFolder + "/" + aKept.mName + ".json";
  std::ofstream(path) << json::serialize(aKept.mSettings);
  auto started = Process::Start(
    { mOptions.mBin, aCommand, "--settings=" + path }, aKept.mLog);
  if (started) {
    aKept.mProcess = std::move(*started);
  } else {
    std::fprintf(stderr, "soak: %s\n", started.error().Describe().c_str());
  }
}

void Soak::AskReady(Balancer& aBalancer)
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

void Soak::ToBalancer(const FlowKey& aFlow, const Bytes& aPacket)
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
  Fabric(aPacket, to->mIngress);
}

void Soak::Fabric(const Bytes& aPacket, const Address& aTo)
{
  constexpr std::uint64_t kOneOf = 10;
  auto fate = mIsRough ? mRandom() % kOneOf : kOneOf;
  if (fate == 0) {
    return;
  }
  if (fate == 1) {
    mFabric->Send(aPacket, aTo);
  }
  if (fate == 2) {
    Later(milliseconds(mRandom() % 300),
          [this, aPacket, aTo] { mFabric->Send(aPacket, aTo); });
    return;
  }
  mFabric->Send(aPacket, aTo);
}

void Soak::Later(Duration aAfter, std::function<void()> aWhat)
{
  auto timer = std::make_shared<boost::asio::steady_timer>(mContext, aAfter);
  timer->async_wait(
    [timer, what = std::move(aWhat)](boost::system::error_code aEc) {
      if (!aEc) {
        what();
      }
    });
}

void Soak::Traffic()
{
  mTrafficOn = true;
  NextFlow();
}

void Soak::NextFlow()
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

} // namespace heatherplank::lab
