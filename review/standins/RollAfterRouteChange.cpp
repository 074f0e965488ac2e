// A config takes a service out of a route whose open flows stay there. Then the
// agents and a balancer are stopped and started in turn. Packets of the open
// flows reach hosts of the route's other service and never their own.
#include <algorithm>
#include <map>
#include <vector>

#include "review/standins/Cases.h"

namespace heatherplank::review {

namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr std::uint16_t kFirstPort = 20000;
constexpr int kFlows = 160;
constexpr auto kOpenInterval = milliseconds(30);
constexpr int kManyRequests = 1000;
/** Pauses between the requests on a flow, below IdleTimeoutMs (15,000). */
constexpr auto kMinPause = seconds(4);
constexpr auto kMaxPause = seconds(8);
/** The agents that are stopped in turn, a third of the 15: of four hosts of
 * service "desk", then of one of "archive". */
constexpr std::size_t kRestarted[] = { 0, 1, 2, 3, 12 };
/** Time between the stops of two agents. */
constexpr auto kRollGap = milliseconds(1200);
/** FlowMs, and how many packets at other hosts break the rule. */
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

} // namespace

Verdict RunRollAfterRouteChange(const Deployment::Options& aOptions,
                                Record& aRecord, bool aTrouble)
{
  int broken = 0;
  int lost = 0;
  std::map<FlowKey, Arrivals> arrivals;
  std::unique_ptr<Deployment> world;
  auto ownerOf = [&](const FlowKey& aFlow) -> const Host* {
    for (std::size_t i = 0; i < world->HostCount(); ++i) {
      if (world->HostAt(i).HoldsOpen(aFlow)) {
        return &world->HostAt(i);
      }
    }
    return nullptr;
  };
  Host::Observer hosts;
  hosts.mOnOpening = [&](const Host& aHost, const FlowKey& aFlow) {
    aRecord.Line("host " + aHost.Config().mName + " (" +
                 aHost.Config().mService + ") takes the new flow " +
                 aFlow.ToString());
  };
  hosts.mOnRun = [](const Host&, const FlowKey&, const std::string&) {};
  hosts.mOnPacket = [&](const Host& aHost, const FlowKey& aFlow) {
    const Host* owner = ownerOf(aFlow);
    if (owner == nullptr) {
      return;
    }
    auto now = std::chrono::steady_clock::now();
    if (owner == &aHost) {
      arrivals[aFlow].mOwn.push_back(now);
      return;
    }
    arrivals[aFlow].mOthers.push_back(now);
    aRecord.Line("host " + aHost.Config().mName + " gets a packet of " +
                 aFlow.ToString() + ", open at host " + owner->Config().mName);
  };
  Clients::Observer clients;
  clients.mOnReset = [&](const Clients::Flow& aFlow, bool aIsSystems) {
    const Host* owner = ownerOf(aFlow.mKey);
    if (aFlow.mAccepted && owner != nullptr && !owner->HasReset(aFlow.mKey)) {
      ++broken;
      aRecord.Line("BROKEN FLOW (a): reset of " + aFlow.mKey.ToString() +
                   ", open at host " + owner->Config().mName +
                   " which sent none (" +
                   (aIsSystems ? "the system's" : "signed") + ")");
    }
  };
  // A client sends each request at 0, 200, 600 and 1,400 ms and gives up at
  // 2,000 ms, which is FlowMs after the first packet.
  clients.mOnEnd = [&](const Clients::Flow& aFlow) {
    if (aFlow.mOutcome != Clients::Outcome::TimedOut) {
      return;
    }
    const Host* owner = ownerOf(aFlow.mKey);
    if (owner == nullptr) {
      return;
    }
    ++lost;
    auto since = std::chrono::steady_clock::now() - kFlowMs;
    const Arrivals& of = arrivals[aFlow.mKey];
    std::size_t others = CountSince(of.mOthers, since);
    std::size_t own = CountSince(of.mOwn, since);
    aRecord.Line("LOST: " + aFlow.mAttempt + " on " + aFlow.mKey.ToString() +
                 ", open at host " + owner->Config().mName +
                 ": in its 2000 ms " + std::to_string(own) +
                 " packets reached that host and " + std::to_string(others) +
                 " reached others");
    if (own == 0 && others >= kMinForeign) {
      ++broken;
      aRecord.Line("BROKEN FLOW (b): " + aFlow.mKey.ToString());
    }
  };
  Deployment::Options options = aOptions;
  options.mDeskHosts = 11;
  options.mArchiveHosts = 4;
  options.mArchiveWeight = kArchiveWeight;
  world = std::make_unique<Deployment>(options, aRecord, hosts, clients);
  if (!world->Start()) {
    return Verdict::CouldNotRun;
  }
  world->Callers().SetPauses(kMinPause, kMaxPause);
  for (int i = 0; i < kFlows; ++i) {
    world->Callers().Open(static_cast<std::uint16_t>(kFirstPort + i),
                          world->Route(1), kManyRequests);
    world->RunFor(kOpenInterval);
  }
  world->RunFor(seconds(2));
  world->WriteConfig(8, 0);
  world->RunFor(seconds(1));
  if (aTrouble) {
    for (std::size_t i : kRestarted) {
      world->Restart(world->Agent(i));
      world->RunFor(kRollGap);
    }
    Deployment::Node& balancer = world->Balancer(options.mClientZone);
    world->Restart(balancer);
    if (!world->RunUntil([&] { return balancer.mStarts == 2; }, seconds(12))) {
      return Verdict::CouldNotRun;
    }
  }
  world->RunFor(seconds(16));
  bool allRun = world->AllRun();
  aRecord.Line(
    "end: " + std::to_string(broken) + " open flows broken, " +
    std::to_string(lost) + " requests on flows of living hosts not answered, " +
    std::to_string(world->Callers().Count(Clients::Outcome::Answered)) +
    " answered, " +
    std::to_string(world->Callers().Count(Clients::Outcome::Reset)) + " reset");
  if (!allRun) {
    return Verdict::CouldNotRun;
  }
  return broken > 0 ? Verdict::Broken : Verdict::Held;
}

} // namespace heatherplank::review
