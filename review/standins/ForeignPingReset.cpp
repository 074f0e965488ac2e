// An agent is restarted beside its living host; a ping of another writer that
// names no host to use reaches it. Open flows of the living host are reset.
#include "review/standins/Cases.h"
#include "review/standins/ForeignWriter.h"

namespace heatherplank::review {

namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr std::uint16_t kFirstPort = 20000;
constexpr int kFlows = 160;
constexpr int kManyRequests = 1000;
/** Pauses between the requests on a flow, below IdleTimeoutMs (15,000). */
constexpr auto kMinPause = seconds(8);
constexpr auto kMaxPause = seconds(11);
/** Longer than StableWindowMs (5,000): every machine is in touch again. */
constexpr auto kCalm = milliseconds(5600);
/** Host 1's agent is the one that is restarted. */
constexpr std::size_t kIndex = 0;

} // namespace

Verdict RunForeignPingReset(const Deployment::Options& aOptions,
                            Record& aRecord, bool aTrouble)
{
  int broken = 0;
  std::unique_ptr<Deployment> world;
  Clients::Observer clients;
  clients.mOnReset = [&](const Clients::Flow& aFlow, bool aIsSystems) {
    for (std::size_t i = 0; aFlow.mAccepted && i < world->HostCount(); ++i) {
      const Host& host = world->HostAt(i);
      if (host.HoldsOpen(aFlow.mKey) && !host.HasReset(aFlow.mKey)) {
        ++broken;
        aRecord.Line(
          "BROKEN FLOW: reset of " + aFlow.mKey.ToString() + ", open at host " +
          host.Config().mName + " which lives and sent none (" +
          (aIsSystems ? "the system's" : "signed") + "), last request " +
          aFlow.mAttempt + " " + ToString(aFlow.mOutcome));
      }
    }
  };
  clients.mOnEnd = [](const Clients::Flow&) {};
  Host::Observer hosts;
  hosts.mOnOpening = [](const Host&, const FlowKey&) {};
  hosts.mOnRun = [](const Host&, const FlowKey&, const std::string&) {};
  world = std::make_unique<Deployment>(aOptions, aRecord, hosts, clients);
  if (!world->Start()) {
    return Verdict::CouldNotRun;
  }
  world->Callers().SetPauses(kMinPause, kMaxPause);
  for (int i = 0; i < kFlows; ++i) {
    world->Callers().Open(static_cast<std::uint16_t>(kFirstPort + i),
                          world->Route(1), kManyRequests);
    world->RunFor(milliseconds(40));
  }
  world->RunFor(seconds(8));
  Deployment::Node& agent = world->Agent(kIndex);
  ForeignWriter writer(world->Context().get_executor(),
                       world->HostAt(kIndex).Config().mControl, aRecord,
                       "desk");
  world->Restart(agent);
  if (!world->RunUntil([&] { return agent.mStarts == 2; }, seconds(12))) {
    return Verdict::CouldNotRun;
  }
  world->RunFor(kCalm);
  if (aTrouble) {
    writer.Ping();
  }
  world->RunFor(seconds(13));
  bool allRun = world->AllRun();
  aRecord.Line(
    "end: " + std::to_string(broken) +
    " open flows of living hosts were reset, " +
    std::to_string(world->Callers().Count(Clients::Outcome::Answered)) +
    " requests answered, " +
    std::to_string(world->Callers().Count(Clients::Outcome::Reset)) +
    " reset, " +
    std::to_string(world->Callers().Count(Clients::Outcome::TimedOut)) +
    " not answered");
  if (!allRun) {
    return Verdict::CouldNotRun;
  }
  return broken > 0 ? Verdict::Broken : Verdict::Held;
}

} // namespace heatherplank::review
