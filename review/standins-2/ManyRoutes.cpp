// review_many_routes PROGRAM ROOT FOLDER RECORD TROUBLE
//
// A config takes a service out of many routes at once; open flows stay there.
// Then some agents and one balancer are stopped and started in turn, planned
// work alone. Uses the deployment, hosts and clients of review/standins.
// Exit codes: 0 the rule held, 1 it was broken, 2 the case could not run.
#include <algorithm>
#include <cstdio>
#include <map>
#include <string>
#include <vector>

#include <boost/json.hpp>

#include "review/standins/Deployment.h"
#include "review/standins/Record.h"

namespace heatherplank::review {

namespace json = boost::json;

namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr int kHeld = 0;
constexpr int kBroken = 1;
constexpr int kNotRun = 2;

constexpr std::uint16_t kFirstPort = 20000;
/** Routes that the service leaves; one flow is open on each. */
constexpr int kRoutes = 400;
constexpr std::uint16_t kFirstRoutePort = 1000;
constexpr auto kOpenInterval = milliseconds(25);
constexpr int kManyRequests = 1000;
/** Pauses between the requests on a flow, below IdleTimeoutMs (15,000). */
constexpr auto kMinPause = seconds(4);
constexpr auto kMaxPause = seconds(8);
/** The agents that are restarted, a third of the 15: of four hosts of service
 * "desk", then of one of "archive". */
constexpr std::size_t kRestarted[] = { 0, 1, 2, 3, 12 };
constexpr auto kRollGap = milliseconds(1200);
/** The last octet of the store's address in the deployment. */
constexpr std::uint8_t kStoreMachine = 230;
constexpr std::uint16_t kStorePort = 8169;
constexpr auto kFlowMs = milliseconds(2000);
constexpr std::size_t kMinForeign = 3;
constexpr int kArchiveWeight = 30;

/** When packets of a flow reached its own host and others. */
struct Arrivals
{
  std::vector<Time> mOwn;
  std::vector<Time> mOthers;
};

std::size_t CountSince(const std::vector<Time>& aTimes, Time aSince)
{
  return static_cast<std::size_t>(
    std::ranges::count_if(aTimes, [&](Time aIt) { return aIt >= aSince; }));
}

/** The deployment, and what its hosts and clients see. */
class Case
{
public:
  Case(const Deployment::Options& aOptions, Record& aRecord)
    : mRecord(aRecord)
    , mWorld(aOptions, aRecord, MakeHostObserver(), MakeClientObserver())
  {
  }

  int Play(bool aTrouble);

private:
  const Host* OwnerOf(const FlowKey& aFlow)
  {
    for (std::size_t i = 0; i < mWorld.HostCount(); ++i) {
      if (mWorld.HostAt(i).HoldsOpen(aFlow)) {
        return &mWorld.HostAt(i);
      }
    }
    return nullptr;
  }

  Host::Observer MakeHostObserver();
  Clients::Observer MakeClientObserver();
  void OnTimedOut(const Clients::Flow& aFlow);
  bool RestartAgents();
  bool RestartBalancer();
  bool WriteConfig(int aVersion, int aWeight);

  Record& mRecord;
  std::map<FlowKey, Arrivals> mArrivals;
  int mBroken = 0;
  int mLost = 0;
  Deployment mWorld;
};

Host::Observer Case::MakeHostObserver()
{
  Host::Observer out;
  out.mOnOpening = [this](const Host& aHost, const FlowKey& aFlow) {
    mRecord.Line("host " + aHost.Config().mName + " (" +
                 aHost.Config().mService + ") takes the new flow " +
                 aFlow.ToString());
  };
  out.mOnRun = [](const Host&, const FlowKey&, const std::string&) {};
  out.mOnPacket = [this](const Host& aHost, const FlowKey& aFlow) {
    const Host* owner = OwnerOf(aFlow);
    if (owner == nullptr) {
      return;
    }
    auto now = std::chrono::steady_clock::now();
    if (owner == &aHost) {
      mArrivals[aFlow].mOwn.push_back(now);
      return;
    }
    mArrivals[aFlow].mOthers.push_back(now);
    mRecord.Line("host " + aHost.Config().mName + " gets a packet of " +
                 aFlow.ToString() + ", open at host " + owner->Config().mName);
  };
  return out;
}

Clients::Observer Case::MakeClientObserver()
{
  Clients::Observer out;
  out.mOnReset = [](const Clients::Flow&, bool) {};
  out.mOnEnd = [this](const Clients::Flow& aFlow) {
    if (aFlow.mOutcome == Clients::Outcome::TimedOut) {
      OnTimedOut(aFlow);
    }
  };
  return out;
}

/** A client sends each request at 0, 200, 600 and 1,400 ms and gives up at
 * 2,000 ms, which is FlowMs after the first packet. */
void Case::OnTimedOut(const Clients::Flow& aFlow)
{
  const Host* owner = OwnerOf(aFlow.mKey);
  if (owner == nullptr) {
    return;
  }
  ++mLost;
  auto since = std::chrono::steady_clock::now() - kFlowMs;
  const Arrivals& of = mArrivals[aFlow.mKey];
  std::size_t others = CountSince(of.mOthers, since);
  std::size_t own = CountSince(of.mOwn, since);
  mRecord.Line("LOST: " + aFlow.mAttempt + " on " + aFlow.mKey.ToString() +
               ", open at host " + owner->Config().mName + ": in its 2000 ms " +
               std::to_string(own) + " packets reached that host and " +
               std::to_string(others) + " reached others");
  if (own > 0 || others < kMinForeign) {
    return;
  }
  ++mBroken;
  mRecord.Line("BROKEN FLOW (b): " + aFlow.mKey.ToString());
}

bool Case::RestartAgents()
{
  for (std::size_t i : kRestarted) {
    mWorld.Restart(mWorld.Agent(i));
    mWorld.RunFor(kRollGap);
  }
  return mWorld.RunUntil(
    [this] {
      return std::ranges::all_of(kRestarted, [this](std::size_t aIt) {
        return mWorld.Agent(aIt).mStarts == 2;
      });
    },
    seconds(12));
}

bool Case::RestartBalancer()
{
  Deployment::Node& balancer = mWorld.Balancer(0);
  mWorld.Restart(balancer);
  return mWorld.RunUntil([&] { return balancer.mStarts == 2; }, seconds(12));
}

/** The operator writes a config in which each route has service "archive" with
 * a weight of aWeight of 100, or not at all. */
bool Case::WriteConfig(int aVersion, int aWeight)
{
  constexpr int kAllWeight = 100;
  Address route = mWorld.Route(1);
  std::string text = route.ToString();
  std::string ip = text.substr(0, text.find(':'));
  json::array routes;
  for (int i = 0; i < kRoutes; ++i) {
    json::object it{ { "Name", "r-" + std::to_string(i) },
                     { "Host", ip },
                     { "PathPrefix",
                       "/" + std::to_string(kFirstRoutePort + i) + "/" },
                     { "Type", "unsafe" },
                     { "TimeoutMs", 2000 },
                     { "TargetLatencyMs", 400 },
                     { "Priority", 1 },
                     { "Attempts", 2 } };
    if (aWeight > 0) {
      it["Backends"] =
        json::array{ json::object{ { "Service", "desk" },
                                   { "Weight", kAllWeight - aWeight } },
                     json::object{ { "Service", "archive" },
                                   { "Weight", aWeight } } };
    } else {
      it["Service"] = "desk";
    }
    routes.push_back(std::move(it));
  }
  json::object spec{ { "Version", aVersion },
                     { "Routes", std::move(routes) },
                     { "Services", json::array{} },
                     { "Limits", { { "IdleTimeoutMs", 15000 } } } };
  HttpRequest request(http::verb::put, "/api/objects/config/main", 11);
  request.set(http::field::host, "store");
  request.body() = json::serialize(json::object{
    { "meta", { { "Name", "main" } } }, { "spec", std::move(spec) } });
  request.prepare_payload();
  Address store = route;
  store.mIp.back() = kStoreMachine;
  store.mPort = kStorePort;
  auto client = HttpClient::Make(mWorld.Context().get_executor(), store, 1);
  bool isWritten = false;
  client->Send(std::move(request), seconds(1),
               [&](const Result<HttpResponse>& aAnswer) {
                 isWritten = aAnswer && aAnswer->result_int() / 100 == 2;
               });
  bool out = mWorld.RunUntil([&] { return isWritten; }, seconds(2));
  mRecord.Line("the operator writes config version " +
               std::to_string(aVersion) + ", archive with weight " +
               std::to_string(aWeight) + " of 100 on " +
               std::to_string(kRoutes) + " routes");
  return out;
}

int Case::Play(bool aTrouble)
{
  if (!mWorld.Start()) {
    return kNotRun;
  }
  if (!WriteConfig(20, kArchiveWeight)) {
    return kNotRun;
  }
  mWorld.RunFor(seconds(2));
  mWorld.Callers().SetPauses(kMinPause, kMaxPause);
  for (int i = 0; i < kRoutes; ++i) {
    Address route = mWorld.Route(1);
    route.mPort = static_cast<std::uint16_t>(kFirstRoutePort + i);
    mWorld.Callers().Open(static_cast<std::uint16_t>(kFirstPort + i), route,
                          kManyRequests);
    mWorld.RunFor(kOpenInterval);
  }
  mWorld.RunFor(seconds(2));
  if (!WriteConfig(21, 0)) {
    return kNotRun;
  }
  mWorld.RunFor(seconds(1));
  if (aTrouble && !(RestartAgents() && RestartBalancer())) {
    return kNotRun;
  }
  mWorld.RunFor(seconds(16));
  mRecord.Line(
    "end: " + std::to_string(mBroken) + " open flows broken, " +
    std::to_string(mLost) +
    " requests on flows of living hosts not answered, " +
    std::to_string(mWorld.Callers().Count(Clients::Outcome::Answered)) +
    " answered");
  std::printf("%d open flows broken, %d requests lost\n", mBroken, mLost);
  if (!mWorld.AllRun()) {
    return kNotRun;
  }
  return mBroken > 0 ? kBroken : kHeld;
}

} // namespace

} // namespace heatherplank::review

int main(int aArgc, char** aArgv)
{
  using namespace heatherplank::review;
  constexpr int kArguments = 6;
  if (aArgc != kArguments) {
    std::fprintf(stderr,
                 "usage: review_many_routes PROGRAM ROOT FOLDER RECORD 0|1\n");
    return kNotRun;
  }
  Record record(aArgv[4]);
  if (!record.IsOpen()) {
    return kNotRun;
  }
  Deployment::Options options;
  options.mProgram = aArgv[1];
  options.mRoot = aArgv[2];
  options.mFolder = aArgv[3];
  options.mDeskHosts = 11;
  options.mArchiveHosts = 4;
  options.mArchiveWeight = kArchiveWeight;
  Case played(options, record);
  return played.Play(std::string(aArgv[5]) != "0");
}
