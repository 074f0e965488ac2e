// Faults under flows that stay open for many requests, and the checks of these.
#include <algorithm>

#include <boost/json.hpp>

#include "lab/soak/SoakWorld.h"

namespace heatherplank::lab {

namespace {

constexpr auto kCheckInterval = milliseconds(100);

} // namespace

json::object Soak::MakeSplitRoute() const
{
  json::array services{ { { "Service", "one" }, { "Weight", 1 } } };
  if (!mServiceLeftAt) {
    services.push_back({ { "Service", "two" }, { "Weight", 1 } });
  }
  return { { "Name", "split" },
           { "Host", "198.18.0." + std::to_string(kSplitRoute) },
           { "PathPrefix", "/80/" },
           { "Priority", 2 },
           { "TargetLatencyMs", 200 },
           { "Backends", services } };
}

void Soak::PlanLongFlowFaults()
{
  static constexpr std::pair<const char*, Fault> kFaults[] = {
    { "balancers_in_turn", &Soak::RestartBalancersInTurn },
    { "balancer_added", &Soak::AddBalancer },
    { "balancer_kill", &Soak::KillBalancer },
    { "balancer_stop", &Soak::StopAnyBalancer },
    { "host_drain", &Soak::DrainHost },
    { "reload", &Soak::Reload },
    { "processes_lost", &Soak::LoseProcesses },
  };
  std::size_t kinds = std::size(kFaults) - (mOptions.mWide ? 0 : 1);
  PlanFault("balancers_in_turn", &Soak::RestartBalancersInTurn);
  auto n = 1 + static_cast<int>(mRandom() % 4);
  for (int i = 0; i < n; ++i) {
    const auto& [name, fault] = kFaults[mRandom() % kinds];
    PlanFault(name, fault);
  }
  auto tenth = milliseconds(100 * mOptions.mSeconds);
  if (mOptions.mRouteLeavesService) {
    // Balancers restart afterwards, so that the flows move.
    mPlannedFaults.emplace_back("service_left");
    RunAfter(2 * tenth, [this] { LeaveService(); });
    RunAfter(3 * tenth, [this] { RestartBalancersInTurn(); });
  }
  if (mOptions.mLosesPower) {
    // All processes are back before the faults end, also in a run of 6 s.
    mPlannedFaults.emplace_back("power_loss");
    RunAfter(6 * tenth, [this] { LosePower(); });
  }
}

void Soak::RestartBalancersInTurn()
{
  auto gap = milliseconds(1500 + mRandom() % 2000);
  for (std::size_t i = 0; i < mBalancers.size(); ++i) {
    RestartAfter(static_cast<int>(i) * gap, [this, i] {
      if (std::chrono::steady_clock::now() >= mNoFaultsBefore) {
        StopBalancer(*mBalancers[i]);
      }
    });
  }
}

void Soak::AddBalancer()
{
  constexpr std::size_t kMaxBalancers = 49;
  if (mBalancers.size() < kMaxBalancers) {
    BuildBalancer(static_cast<int>(mBalancers.size()));
  }
}

void Soak::LeaveService()
{
  mServiceLeftAt = std::chrono::steady_clock::now();
  WriteRoutes({ { 1, "one" }, { 2, "two" } });
}

void Soak::LosePower()
{
  ++mPowerLosses;
  for (const auto& [flow, call] : mCallers.Calls()) {
    if (call.mIsLong && !call.mEnded && HostOf(flow) != nullptr) {
      mLostFlows.insert(flow);
    }
  }
  auto off = RandomFaultDuration();
  for (auto& it : mAgents) {
    it->mHost->Crash();
    RestartAfter(ReturnAfter(off), [&it = *it] { it.mHost->Start(); });
  }
  KillAllProcesses(off);
  RunAfter(off + kReturnSpread + kResetBound,
           [this] { CheckLostFlowsAreReset(); });
}

Duration Soak::ReturnAfter(Duration aOff)
{
  return aOff + milliseconds(mRandom() % kReturnSpread.count());
}

void Soak::KillAllProcesses(Duration aOff)
{
  for (auto& it : mBalancers) {
    it->mProcess.reset();
    RestartAfter(ReturnAfter(aOff), [this, &it = *it] { StartBalancer(it); });
  }
  for (auto& it : mAgents) {
    it->mProcess.reset();
    RestartAfter(ReturnAfter(aOff), [this, &it = *it] { StartAgent(it); });
  }
  mNoFaultsBefore =
    std::chrono::steady_clock::now() + aOff + kReturnSpread + kResetBound;
}

void Soak::LoseProcesses()
{
  ++mPowerLosses;
  KillAllProcesses(RandomFaultDuration());
}

void Soak::CheckLostFlowsAreReset()
{
  for (const FlowKey& it : mLostFlows) {
    mLostFlowsReset += mCallers.Calls().at(it).mEnded ? 1 : 0;
  }
  if (mOptions.mChecksResets && mLostFlowsReset < mLostFlows.size()) {
    RecordViolation(std::to_string(mLostFlows.size() - mLostFlowsReset) +
                    " of " + std::to_string(mLostFlows.size()) +
                    " flows lost with their hosts were not reset");
  }
}

const FlowHost* Soak::HostOf(const FlowKey& aFlow) const
{
  for (const auto& it : mAgents) {
    if (it->mHost->OpenFlowIncarnation(aFlow) != 0) {
      return it->mHost.get();
    }
  }
  return nullptr;
}

void Soak::WatchAnswers()
{
  CheckAnswers();
  if (mTrafficOn) {
    RunAfter(kCheckInterval, [this] { WatchAnswers(); });
  }
}

void Soak::CheckAnswers()
{
  auto now = std::chrono::steady_clock::now();
  if (std::ranges::none_of(mBalancers, [](const auto& aIt) {
        return aIt->mReadyMisses < kMaxReadyMisses;
      })) {
    mLastUnreachableAt = now;
  }
  for (const auto& [flow, call] : mCallers.Calls()) {
    auto since = std::max(call.mRequestTime, mLastUnreachableAt);
    if (!call.mIsLong || !call.mAnswered || call.mRequestAnswered ||
        call.mEnded || now < since + kAnswerBound) {
      continue;
    }
    const FlowHost* host = HostOf(flow);
    // Requests count from 1 here; 0 stands for none yet.
    std::uint32_t& last = mLateRequests[flow];
    if (host == nullptr || last == call.mRequest + 1) {
      continue;
    }
    last = call.mRequest + 1;
    AddLateDetails(flow, *host, call.mRequestTime);
    bool left = flow.mService == RouteAddress(kSplitRoute) && mServiceLeftAt &&
                host->Service() == "two";
    ++(left ? mLateAtLeftService : mLate);
  }
}

/** The wall clock, as in the processes' logs. */
void Soak::AddLateDetails(const FlowKey& aFlow, const FlowHost& aHost,
                          Time aSentAt)
{
  constexpr std::size_t kMaxDetails = 20;
  if (mLateDetails.size() >= kMaxDetails) {
    return;
  }
  auto ago = std::chrono::steady_clock::now() - aSentAt;
  auto sent = std::chrono::system_clock::now() -
              std::chrono::duration_cast<milliseconds>(ago);
  mLateDetails.push_back(json::object{
    { "flow", aFlow.ToString() },
    { "service", aHost.Service() },
    { "sent_unix_ms",
      std::chrono::duration_cast<milliseconds>(sent.time_since_epoch())
        .count() } });
}

void Soak::CheckNoRequestWasLate()
{
  if (mLate > 0) {
    RecordViolation(std::to_string(mLate) + " requests on open flows were not "
                                            "answered in time");
  }
  if (mLateAtLeftService > 0) {
    RecordViolation(std::to_string(mLateAtLeftService) +
                    " requests on open flows at a service that the route has "
                    "left were not answered in time");
  }
}

} // namespace heatherplank::lab
