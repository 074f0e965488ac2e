// Plays one case of the review: review_world CASE PROGRAM FOLDER RECORD.
// Exit codes: 0 the rule held, 1 it was broken, 2 the case could not run.
#include <algorithm>
#include <cstdio>
#include <cstdlib>
#include <deque>
#include <string>

#include "review/standins-2/World.h"

namespace heatherplank::review {

using std::chrono::milliseconds;
using std::chrono::seconds;

namespace {

constexpr int kHeld = 0;
constexpr int kBroken = 1;
constexpr int kNotRun = 2;

bool HasTrouble()
{
  const char* value = std::getenv("TROUBLE");
  return value == nullptr || std::string(value) != "0";
}

int Conclude(Record& aRecord, int aResult, const std::string& aWhy)
{
  aRecord.Line("result: " + aWhy);
  std::printf("%s\n", aWhy.c_str());
  return aResult;
}

/** One host of ten crashes and starts again after half a second, three times,
 * each time another one. */
int PlayColdHosts(World::Options aOptions, Record& aRecord)
{
  constexpr double kColdPerSecond = 8;
  constexpr double kColdOverage = 1.5;
  constexpr double kColdSlack = 5;
  constexpr double kFlowsPerSecond = 340;
  // DOWN_MS: how long a host is down, in milliseconds.
  const char* text = std::getenv("DOWN_MS");
  const milliseconds down(text != nullptr ? std::atoi(text) : 500);
  constexpr auto kBetween = seconds(8);
  aOptions.mColdPerSecond = kColdPerSecond;
  World world(aOptions, aRecord, [](const Callers::Flow&, std::uint32_t) {});
  if (!world.Start() || !world.WaitUntilReady()) {
    return Conclude(aRecord, kNotRun, "the processes did not start");
  }
  world.OpenSingleFlows(kFlowsPerSecond);
  world.RunFor(seconds(5));
  for (int i = 0; i < 3; ++i) {
    world.RunFor(milliseconds(world.Random() % 1200));
    if (HasTrouble()) {
      world.GetHost(i).Crash();
      world.RunFor(down);
      world.GetHost(i).Start(true);
    }
    world.RunFor(kBetween);
  }
  world.StopTraffic();
  world.RunFor(seconds(2));
  if (world.HaveProcessesEnded()) {
    return Conclude(aRecord, kNotRun, "a process has ended");
  }
  const double limit = kColdPerSecond * kColdOverage + kColdSlack;
  std::size_t most = 0;
  for (auto& host : world.Hosts()) {
    std::deque<Time> window;
    std::size_t mostHere = 0;
    for (const Opening& it : host->Openings()) {
      Time sentAt = world.GetCallers().OpenedAt(it.mFlow);
      if (!it.mIsCold || it.mArrivedAt - sentAt >= seconds(1)) {
        continue;
      }
      while (!window.empty() && it.mArrivedAt - window.front() >= seconds(1)) {
        window.pop_front();
      }
      // Both the sending and the arrival are within the second.
      window.push_back(sentAt);
      std::sort(window.begin(), window.end());
      mostHere = std::max(mostHere, window.size());
    }
    aRecord.Line("host " + host->GetSettings().mName + ": at most " +
                 std::to_string(mostHere) + " requests in a second while cold");
    most = std::max(most, mostHere);
  }
  aRecord.Line(std::to_string(world.GetCallers().Answered()) + " of " +
               std::to_string(world.GetCallers().Requests()) +
               " requests answered");
  bool isBroken = static_cast<double>(most) > limit;
  return Conclude(aRecord, isBroken ? kBroken : kHeld,
                  "at most " + std::to_string(most) +
                    " requests in one second to a cold host, " +
                    std::to_string(static_cast<int>(limit)) + " allowed");
}

/** A host drains, and callers whose ports are fixed go on. */
int PlayDrainingHost(const World::Options& aOptions, Record& aRecord)
{
  constexpr auto kDrain = milliseconds(5000);
  constexpr auto kServesOn = seconds(6);
  constexpr int kCallers = 60;
  World world(aOptions, aRecord, [](const Callers::Flow&, std::uint32_t) {});
  if (!world.Start() || !world.WaitUntilReady()) {
    return Conclude(aRecord, kNotRun, "the processes did not start");
  }
  for (int i = 0; i < kCallers; ++i) {
    world.RunAfter(milliseconds(25 * i), [&world] {
      world.GetCallers().Open(world.Route(), Callers::Habit::Kept);
    });
  }
  world.RunFor(seconds(10));
  Host& host = world.GetHost(0);
  if (HasTrouble()) {
    host.Drain();
  }
  world.RunFor(kDrain + kServesOn);
  auto acknowledgedAt = host.DrainAcknowledgedAt();
  if (HasTrouble()) {
    host.Crash();
  }
  world.StopTraffic();
  world.RunFor(seconds(2));
  if (world.HaveProcessesEnded() ||
      (HasTrouble() && !acknowledgedAt.has_value())) {
    return Conclude(aRecord, kNotRun, "a process has ended, or no answer");
  }
  std::size_t late = 0;
  for (const Opening& it : host.Openings()) {
    late += acknowledgedAt && it.mArrivedAt - *acknowledgedAt > kDrain ? 1 : 0;
  }
  aRecord.Line(std::to_string(world.GetCallers().Answered()) + " of " +
               std::to_string(world.GetCallers().Requests()) +
               " requests answered");
  return Conclude(aRecord, late > 0 ? kBroken : kHeld,
                  std::to_string(late) +
                    " flows opened at a draining host later than DrainMs "
                    "after the acknowledgement");
}

/** Two hosts crash, one after the other, and come back; fronts are restarted in
 * turn. Callers use their ports again, unless NEW_PORTS is set. */
int PlayReusedPorts(const World::Options& aOptions, Record& aRecord)
{
  constexpr int kCallers = 240;
  constexpr double kFlowsPerSecond = 200;
  constexpr auto kDown = milliseconds(4500);
  constexpr auto kStableWindow = milliseconds(5000);
  World* running = nullptr;
  Time hostChangedAt{};
  std::size_t broken = 0;
  std::size_t excused = 0;
  // A reset counts if the flow's host holds it open, and the front that took
  // the packet and all hosts were unimpaired for StableWindowMs.
  auto onReset = [&](const Callers::Flow& aFlow, std::uint32_t) {
    Time now = std::chrono::steady_clock::now();
    for (auto& host : running->Hosts()) {
      if (!host->HoldsOpen(aFlow.mKey, aFlow.mHostSequence)) {
        continue;
      }
      std::string front = running->GetFabric().NodeOf(aFlow.mKey);
      bool counts = now - running->FrontChangedAt(front) > kStableWindow &&
                    now - hostChangedAt > kStableWindow;
      (counts ? broken : excused) += 1;
      aRecord.Line("the flow is open at host " + host->GetSettings().mName +
                   ", its packets are taken by " + front +
                   (counts ? "" : "; excused, not in touch"));
    }
  };
  World world(aOptions, aRecord, onReset);
  running = &world;
  if (!world.Start() || !world.WaitUntilReady()) {
    return Conclude(aRecord, kNotRun, "the processes did not start");
  }
  if (std::getenv("NEW_PORTS") != nullptr) {
    world.GetCallers().UseNewPorts();
  }
  for (int i = 0; i < kCallers; ++i) {
    world.RunAfter(milliseconds(8 * i), [&world] {
      world.GetCallers().Open(world.Route(), Callers::Habit::Kept);
    });
  }
  world.OpenSingleFlows(kFlowsPerSecond);
  world.RunFor(seconds(8));
  for (int i = 0; i < 2; ++i) {
    if (HasTrouble()) {
      world.GetHost(i).Crash();
      world.RestartFront(0);
    }
    world.RunFor(kDown);
    if (HasTrouble()) {
      world.GetHost(i).Start(true);
    }
    hostChangedAt = std::chrono::steady_clock::now();
    world.RunFor(kStableWindow + seconds(1));
    for (int front = 1; front < 3; ++front) {
      if (HasTrouble()) {
        world.RestartFront(front);
      }
      world.RunFor(seconds(9));
    }
  }
  world.StopTraffic();
  world.RunFor(seconds(2));
  if (world.HaveProcessesEnded()) {
    return Conclude(aRecord, kNotRun, "a process has ended");
  }
  aRecord.Line(std::to_string(world.GetCallers().Answered()) + " of " +
               std::to_string(world.GetCallers().Requests()) +
               " requests answered");
  return Conclude(aRecord, broken > 0 ? kBroken : kHeld,
                  std::to_string(broken) +
                    " resets of flows that a living host holds, and " +
                    std::to_string(excused) + " excused");
}

} // namespace

} // namespace heatherplank::review

int main(int argc, char** argv)
{
  using namespace heatherplank::review;
  if (argc != 5) {
    std::fprintf(stderr, "usage: review_world CASE PROGRAM FOLDER RECORD\n");
    return kNotRun;
  }
  std::string play = argv[1];
  World::Options options;
  options.mProgram = argv[2];
  options.mFolder = argv[3];
  options.mSeed = static_cast<std::uint64_t>(
    std::chrono::system_clock::now().time_since_epoch().count());
  Record record(argv[4]);
  if (!record.IsOpen()) {
    return kNotRun;
  }
  if (play == "cold-hosts") {
    return PlayColdHosts(options, record);
  }
  if (play == "draining-host") {
    return PlayDrainingHost(options, record);
  }
  if (play == "reused-ports") {
    return PlayReusedPorts(options, record);
  }
  return kNotRun;
}
