// review_past_services PROGRAM ROOT FOLDER RECORD TROUBLE
//
// A config takes a service out of a route whose open flows stay there. Some
// agents are stopped and started in turn, then all balancers are killed at the
// same moment. Uses the deployment, hosts and clients of review/standins.
// Exit codes: 0 the rule held, 1 it was broken, 2 the case could not run.
#include <algorithm>
#include <csignal>
#include <cstdio>
#include <map>
#include <string>
#include <vector>

#include "review/standins/Deployment.h"
#include "review/standins/Record.h"

namespace heatherplank::review {

namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr int kHeld = 0;
constexpr int kBroken = 1;
constexpr int kNotRun = 2;

constexpr std::uint16_t kFirstPort = 20000;
constexpr int kFlows = 160;
constexpr auto kOpenInterval = milliseconds(30);
constexpr int kManyRequests = 1000;
/** Pauses between the requests on a flow, below IdleTimeoutMs (15,000). */
constexpr auto kMinPause = seconds(8);
constexpr auto kMaxPause = seconds(13);
/** The agents that are restarted, a third of the 15: of four hosts of service
 * "desk", then of one of "archive". */
constexpr std::size_t kRestarted[] = { 0, 1, 2, 3, 12 };
constexpr auto kRollGap = milliseconds(1200);
constexpr std::size_t kBalancers = 3;
constexpr auto kFlowMs = milliseconds(2000);
constexpr auto kStableWindow = milliseconds(5000);
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
  bool KillBalancers();

  Record& mRecord;
  std::map<FlowKey, Arrivals> mArrivals;
  /** When the last process was started. */
  Time mLastStartAt{};
  int mBroken = 0;
  int mExcused = 0;
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
  bool isInTouch = since - mLastStartAt >= kStableWindow;
  (isInTouch ? mBroken : mExcused) += 1;
  mRecord.Line(
    std::string(isInTouch ? "BROKEN FLOW (b): " : "excused, not in touch: ") +
    aFlow.mKey.ToString());
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

bool Case::KillBalancers()
{
  for (std::size_t i = 0; i < kBalancers; ++i) {
    mRecord.Line(mWorld.Balancer(i).mName + " gets SIGKILL");
    mWorld.Balancer(i).mRestarts = true;
    mWorld.Balancer(i).mProcess->Signal(SIGKILL);
  }
  return mWorld.RunUntil(
    [this] {
      for (std::size_t i = 0; i < kBalancers; ++i) {
        if (mWorld.Balancer(i).mStarts != 2) {
          return false;
        }
      }
      return true;
    },
    seconds(5));
}

int Case::Play(bool aTrouble)
{
  if (!mWorld.Start()) {
    return kNotRun;
  }
  mWorld.Callers().SetPauses(kMinPause, kMaxPause);
  for (int i = 0; i < kFlows; ++i) {
    mWorld.Callers().Open(static_cast<std::uint16_t>(kFirstPort + i),
                          mWorld.Route(1), kManyRequests);
    mWorld.RunFor(kOpenInterval);
  }
  mWorld.RunFor(seconds(2));
  mWorld.WriteConfig(8, 0);
  mWorld.RunFor(seconds(1));
  if (!RestartAgents()) {
    return kNotRun;
  }
  if (aTrouble && !KillBalancers()) {
    return kNotRun;
  }
  mLastStartAt = std::chrono::steady_clock::now();
  mWorld.RunFor(seconds(18));
  mRecord.Line(
    "end: " + std::to_string(mBroken) + " open flows broken, " +
    std::to_string(mExcused) + " excused, " + std::to_string(mLost) +
    " requests on flows of living hosts not answered, " +
    std::to_string(mWorld.Callers().Count(Clients::Outcome::Answered)) +
    " answered");
  std::printf("%d open flows broken, %d excused, %d requests lost\n", mBroken,
              mExcused, mLost);
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
    std::fprintf(
      stderr, "usage: review_past_services PROGRAM ROOT FOLDER RECORD 0|1\n");
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
