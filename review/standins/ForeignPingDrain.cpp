// Pings of another writer that name no host to use reach an agent beside the
// pings of its host. The host reports that it drains; new flows keep coming.
#include <map>

#include "review/standins/Cases.h"
#include "review/standins/ForeignWriter.h"

namespace heatherplank::review {

namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr std::uint16_t kFirstPort = 20000;
constexpr auto kInterval = milliseconds(25);
/** DrainMs. */
constexpr auto kDrainLimit = milliseconds(5000);
constexpr auto kPingInterval = milliseconds(1200);
constexpr std::size_t kIndex = 0;

} // namespace

Verdict RunForeignPingDrain(const Deployment::Options& aOptions,
                            Record& aRecord, bool aTrouble)
{
  int late = 0;
  int lost = 0;
  std::unique_ptr<Deployment> world;
  Host::Observer hosts;
  hosts.mOnOpening = [&](const Host& aHost, const FlowKey& aFlow) {
    auto acknowledged = aHost.DrainAcknowledgedAt();
    bool isLate =
      acknowledged &&
      std::chrono::steady_clock::now() - *acknowledged > kDrainLimit;
    if (isLate) {
      ++late;
      aRecord.Line(
        "BROKEN DRAIN: host " + aHost.Config().mName + " takes the new flow " +
        aFlow.ToString() + " " +
        std::to_string(std::chrono::duration_cast<milliseconds>(
                         std::chrono::steady_clock::now() - *acknowledged)
                         .count()) +
        " ms after the answer to its draining ping");
    }
  };
  hosts.mOnRun = [](const Host&, const FlowKey&, const std::string&) {};
  Clients::Observer clients;
  clients.mOnReset = [](const Clients::Flow&, bool) {};
  clients.mOnEnd = [&](const Clients::Flow& aFlow) {
    bool isLost =
      aFlow.mAccepted && aFlow.mOutcome != Clients::Outcome::Answered;
    lost += isLost ? 1 : 0;
    if (isLost) {
      aRecord.Line("LOST: " + aFlow.mAttempt + " was sent on the open flow " +
                   aFlow.mKey.ToString() + " and " + ToString(aFlow.mOutcome));
    }
  };
  Deployment::Options options = aOptions;
  options.mServesAfterDrain = seconds(10);
  options.mWork = milliseconds(100);
  world = std::make_unique<Deployment>(options, aRecord, hosts, clients);
  if (!world->Start()) {
    return Verdict::CouldNotRun;
  }
  ForeignWriter writer(world->Context().get_executor(),
                       world->HostAt(kIndex).Config().mControl, aRecord,
                       "desk");
  bool isOver = false;
  std::uint16_t port = kFirstPort;
  world->Every(kInterval, [&] {
    world->Callers().Open(port++, world->Route(1), 1);
    return !isOver;
  });
  if (aTrouble) {
    writer.Ping();
    world->Every(kPingInterval, [&] {
      writer.Ping();
      return !isOver;
    });
  }
  world->RunFor(seconds(6));
  world->HostAt(kIndex).Drain();
  if (!world->RunUntil(
        [&] { return world->HostAt(kIndex).DrainAcknowledgedAt().has_value(); },
        seconds(10))) {
    aRecord.Line("the draining ping was not answered with 2xx");
    return Verdict::CouldNotRun;
  }
  world->RunFor(options.mServesAfterDrain + seconds(3));
  isOver = true;
  world->RunFor(seconds(3));
  bool allRun = world->AllRun();
  aRecord.Line(
    "end: " + std::to_string(late) +
    " new flows reached the draining host too late, " + std::to_string(lost) +
    " requests on open flows had no answer, " +
    std::to_string(world->Callers().Count(Clients::Outcome::Answered)) +
    " answered");
  if (!allRun) {
    return Verdict::CouldNotRun;
  }
  return late > 0 ? Verdict::Broken : Verdict::Held;
}

} // namespace heatherplank::review
