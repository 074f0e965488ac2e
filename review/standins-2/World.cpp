#include "review/standins-2/World.h"

#include <csignal>
#include <cstdio>
#include <cstdlib>
#include <fstream>

#include <boost/asio/steady_timer.hpp>
#include <boost/json.hpp>
#include <unistd.h>

#include "src/net/Endpoint.h"

namespace heatherplank::review {

namespace json = boost::json;
using std::chrono::milliseconds;
using std::chrono::seconds;

namespace {

constexpr std::uint16_t kInnerPort = 7720;
constexpr std::uint16_t kPacketPort = 8172;
constexpr std::uint16_t kReadyPort = 8167;
constexpr std::uint16_t kControlPort = 8166;
constexpr std::uint16_t kAppPort = 8165;
constexpr std::uint16_t kOutboundPort = 8162;
constexpr std::uint16_t kMetricsPort = 19464;
constexpr std::uint16_t kStorePort = 8169;
constexpr int kFirstSide = 50;
constexpr int kStoreMachine = 200;
constexpr int kFabricMachine = 201;
constexpr int kCallerMachine = 202;
constexpr int kHeartbeatMs = 1200;
constexpr int kFlowMaxS = 60;
constexpr int kConfigApplyMs = 3000;
constexpr auto kStartTimeout = seconds(15);
constexpr auto kRestartDelay = milliseconds(500);

std::string ZoneOf(int aIndex)
{
  return "zone-" + std::string(1, static_cast<char>('a' + aIndex % 3));
}

/** A subnet of the loopback network, so that worlds at the same time use
 * different addresses. */
std::string MakeSubnet()
{
  int id = getpid();
  return "127." + std::to_string(30 + id % 200) + "." +
         std::to_string(id / 200 % 250) + ".";
}

} // namespace

World::World(const Options& aOptions, Record& aRecord,
             Callers::OnReset aOnReset)
  : mOptions(aOptions)
  , mRecord(aRecord)
  , mRandom(aOptions.mSeed)
  , mSubnet(MakeSubnet())
  , mStore(mContext.get_executor())
  , mFabric(mContext.get_executor(), aRecord)
  , mCallers(mContext.get_executor(), AddressOf(kCallerMachine, kPacketPort),
             aOptions.mSeed, mFabric, aRecord, std::move(aOnReset))
{
}

World::~World() = default;

Address World::AddressOf(int aMachine, std::uint16_t aPort) const
{
  return *ParseAddress(mSubnet + std::to_string(aMachine) + ":" +
                       std::to_string(aPort));
}

Address World::Route() const
{
  return *ParseAddress("127.18.0.1:8443");
}

void World::RunAfter(Duration aDelay, std::function<void()> aTask)
{
  auto timer = std::make_shared<boost::asio::steady_timer>(mContext, aDelay);
  timer->async_wait(
    [timer, task = std::move(aTask)](boost::system::error_code aEc) {
      if (!aEc) {
        task();
      }
    });
}

void World::WriteConfig()
{
  json::object route{ { "Name", "r-1" },          { "Host", "127.18.0.1" },
                      { "PathPrefix", "/8443/" }, { "Type", "safe" },
                      { "TimeoutMs", 3000 },      { "TargetLatencyMs", 250 },
                      { "Priority", 2 },          { "Service", "desk" },
                      { "Attempts", 2 } };
  json::object service{ { "Name", "desk" },
                        { "HealthPath", "/health" },
                        { "MaxConns", 2000 },
                        { "Protocol", "h1" },
                        { "Tls", false },
                        { "ColdStartS", 2.0 },
                        { "ColdPerS", mOptions.mColdPerSecond } };
  mStore.Write("config", "main",
               json::object{ { "Version", 7 },
                             { "Routes", json::array{ route } },
                             { "Services", json::array{ service } },
                             { "Limits", { { "IdleTimeoutMs", 15000 } } } });
}

bool World::Start()
{
  WriteConfig();
  bool works =
    mStore.Listen(AddressOf(kStoreMachine, kStorePort)).has_value() &&
    mFabric.Listen(AddressOf(kFabricMachine, 0)).has_value() &&
    mCallers.Listen().has_value();
  for (int i = 0; works && i < mOptions.mFronts; ++i) {
    works = AddFront(i);
  }
  for (int i = 0; works && i < mOptions.mHosts; ++i) {
    works = AddHost(i);
  }
  return works;
}

json::object World::CommonSettings(const std::string& aName, int aMachine) const
{
  json::array seeds;
  for (int i = 0; i < std::min(3, mOptions.mFronts); ++i) {
    seeds.push_back(json::value(AddressOf(1 + i, kControlPort).ToString()));
  }
  std::string inner = AddressOf(aMachine, kInnerPort).ToString();
  return { { "name", aName },
           { "tunnel", inner },
           { "control", inner },
           { "admin", AddressOf(aMachine, kReadyPort).ToString() },
           { "metrics", AddressOf(aMachine, kMetricsPort).ToString() },
           { "platform", AddressOf(kStoreMachine, kStorePort).ToString() },
           { "seeds", seeds },
           { "seed_port", kInnerPort },
           { "directory", "heatherplank-balancers" },
           { "caller_port_of", AddressOf(aMachine, kPacketPort).ToString() },
           { "flows_last_s", kFlowMaxS } };
}

bool World::Launch(Node& aNode)
{
  std::string path = mOptions.mFolder + "/" + aNode.mName + ".json";
  std::ofstream(path) << aNode.mSettings;
  setenv("HEATHERPLANK_NODE_FILE", path.c_str(), 1);
  auto started =
    lab::Process::Start({ mOptions.mProgram, aNode.mCommand,
                          "--settings_env=HEATHERPLANK_NODE_FILE" },
                        mOptions.mFolder + "/" + aNode.mName + ".log");
  if (!started) {
    return false;
  }
  aNode.mProcess = std::move(*started);
  aNode.mIsStopping = false;
  aNode.mChangedAt = std::chrono::steady_clock::now();
  mRecord.Line("process " + aNode.mName + " starts");
  return true;
}

bool World::AddFront(int aIndex)
{
  int machine = 1 + aIndex;
  auto node = std::make_unique<Node>();
  node->mName = "front-" + std::to_string(aIndex + 1);
  node->mCommand = "flow-balancer";
  auto settings = CommonSettings(node->mName, machine);
  Address ingress = AddressOf(machine, kPacketPort);
  settings["data_centre"] = ZoneOf(aIndex);
  settings["ingress"] = ingress.ToString();
  settings["routes_key"] = "config/main";
  settings["drains"] = "evacuations";
  settings["drains_in_force_within_ms"] = 5000;
  settings["link_mbps"] = 200;
  settings["routes_in_force_within_ms"] = kConfigApplyMs;
  node->mSettings = json::serialize(settings);
  bool works = Launch(*node);
  mFabric.AddNode(node->mName, ingress, AddressOf(machine, kReadyPort));
  mFronts.push_back(std::move(node));
  return works;
}

bool World::AddHost(int aIndex)
{
  int machine = kFirstSide + aIndex;
  auto node = std::make_unique<Node>();
  node->mName = "side-" + std::to_string(aIndex + 1);
  node->mCommand = "flow-agent";
  Host::Settings host;
  host.mName = "i-" + std::to_string(aIndex + 1);
  host.mService = "desk";
  host.mZone = ZoneOf(aIndex);
  host.mInbox = AddressOf(machine, kAppPort);
  host.mOutbox = AddressOf(machine, kOutboundPort);
  host.mControl = AddressOf(machine, kControlPort);
  host.mHeartbeatInterval = milliseconds(kHeartbeatMs);
  auto settings = CommonSettings(node->mName, machine);
  settings["data_centre"] = host.mZone;
  settings["service"] = host.mService;
  settings["host_inbox"] = host.mInbox.ToString();
  settings["host_outbox"] = host.mOutbox.ToString();
  settings["host_calls"] = host.mControl.ToString();
  settings["host_heartbeat_ms"] = kHeartbeatMs;
  node->mSettings = json::serialize(settings);
  bool works = Launch(*node);
  mSides.push_back(std::move(node));
  mHosts.push_back(
    std::make_unique<Host>(mContext.get_executor(), host, mRandom(), mRecord));
  works = works && mHosts.back()->Listen().has_value();
  // Hosts start at different times, so their pings are spread.
  RunAfter(milliseconds(300 + mRandom() % kHeartbeatMs),
           [host = mHosts.back().get()] { host->Start(false); });
  return works;
}

bool World::WaitUntilReady()
{
  auto end = std::chrono::steady_clock::now() + kStartTimeout;
  while (std::chrono::steady_clock::now() < end) {
    RunFor(milliseconds(250));
    if (mFabric.InRotation() == mFronts.size()) {
      RunFor(seconds(3));
      return true;
    }
  }
  return false;
}

void World::OpenSingleFlows(double aPerSecond)
{
  mIsTrafficOn = true;
  OpenNext(aPerSecond);
}

void World::OpenNext(double aPerSecond)
{
  if (!mIsTrafficOn) {
    return;
  }
  mCallers.Open(Route(), Callers::Habit::Single);
  std::exponential_distribution<double> gap(aPerSecond);
  RunAfter(
    std::chrono::microseconds(static_cast<std::int64_t>(gap(mRandom) * 1e6)),
    [this, aPerSecond] { OpenNext(aPerSecond); });
}

void World::StopTraffic()
{
  mIsTrafficOn = false;
  mCallers.Stop();
}

void World::RestartFront(int aIndex)
{
  Node& node = *mFronts[static_cast<std::size_t>(aIndex)];
  mRecord.Line("process " + node.mName + " gets SIGTERM");
  node.mIsStopping = true;
  node.mChangedAt = std::chrono::steady_clock::now();
  node.mProcess->Signal(SIGTERM);
  StartWhenEnded(aIndex);
}

void World::StartWhenEnded(int aIndex)
{
  Node& node = *mFronts[static_cast<std::size_t>(aIndex)];
  if (!node.mProcess->Poll()) {
    RunAfter(milliseconds(100), [this, aIndex] { StartWhenEnded(aIndex); });
    return;
  }
  mRecord.Line("process " + node.mName + " has ended");
  RunAfter(kRestartDelay, [this, aIndex] { StartFront(aIndex); });
}

void World::StartFront(int aIndex)
{
  Launch(*mFronts[static_cast<std::size_t>(aIndex)]);
}

Time World::FrontChangedAt(const std::string& aName) const
{
  for (const auto& it : mFronts) {
    if (it->mName == aName) {
      return it->mChangedAt;
    }
  }
  return {};
}

bool World::HaveProcessesEnded()
{
  bool ended = false;
  for (auto* nodes : { &mFronts, &mSides }) {
    for (auto& it : *nodes) {
      if (!it->mIsStopping && it->mProcess->Poll()) {
        std::fprintf(stderr, "%s has ended\n", it->mName.c_str());
        ended = true;
      }
    }
  }
  return ended;
}

} // namespace heatherplank::review
