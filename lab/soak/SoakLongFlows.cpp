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
  };
  auto n = 2 + static_cast<int>(mRandom() % 4);
  for (int i = 0; i < n; ++i) {
    const auto& [name, fault] = kFaults[mRandom() % std::size(kFaults)];
    PlanFault(name, fault);
  }
  auto tenth = milliseconds(100 * mOptions.mSeconds);
  if (mOptions.mRouteLeavesService) {
    // In the first half, so that balancers restart afterwards.
    mPlannedFaults.emplace_back("service_left");
    RunAfter(3 * tenth, [this] { LeaveService(); });
    PlanFault("balancers_in_turn", &Soak::RestartBalancersInTurn);
  }
  if (mOptions.mLosesPower) {
    mPlannedFaults.emplace_back("power_loss");
    RunAfter(static_cast<int>(3 + mRandom() % 3) * tenth,
             [this] { LosePower(); });
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
  auto returnAfter = [&] {
    return off + milliseconds(mRandom() % kReturnSpread.count());
  };
  for (auto& it : mBalancers) {
    it->mProcess.reset();
    RunAfter(returnAfter(), [this, &it = *it] { StartBalancer(it); });
  }
  for (auto& it : mAgents) {
    it->mProcess.reset();
    it->mHost->Crash();
    RunAfter(returnAfter(), [&it = *it] { it.mHost->Start(); });
    RunAfter(returnAfter(), [this, &it = *it] { StartAgent(it); });
  }
  auto end = off + kReturnSpread + kResetBound;
  mNoFaultsBefore = std::chrono::steady_clock::now() + end;
  RunAfter(end, [this] { CheckLostFlowsAreReset(); });
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
    bool left = flow.mService == RouteAddress(kSplitRoute) && mServiceLeftAt &&
                host->Service() == "two";
    ++(left ? mLateAtLeftService : mLate);
  }
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
