// Faults, in series that overlap, and their end.
#include <csignal>

#include <boost/json.hpp>

#include "lab/soak/SoakWorld.h"

namespace heatherplank::lab {

void Soak::PlanFaults()
{
  using Fault = void (Soak::*)();
  static constexpr std::pair<const char*, Fault> kFaults[] = {
    { "balancer_kill", &Soak::KillBalancer },
    { "balancer_stop", &Soak::StopBalancer },
    { "balancer_freeze", &Soak::FreezeBalancer },
    { "agent_kill", &Soak::KillAgent },
    { "agent_stop", &Soak::StopAgent },
    { "agent_freeze", &Soak::FreezeAgent },
    { "host_crash", &Soak::CrashHost },
    { "host_drain", &Soak::DrainHost },
    { "store_away", &Soak::StoreAway },
    { "store_link", &Soak::HarmStoreLink },
    { "reload", &Soak::Reload },
    { "link_cut", &Soak::CutLinks },
    { "wrong_clock", &Soak::WrongClock },
    { "rough_fabric", &Soak::RoughFabric },
  };
  constexpr std::size_t kWideOnly = 3;
  std::size_t kinds = std::size(kFaults) - (mOptions.mWide ? 0 : kWideOnly);
  auto n = 3 + static_cast<int>(mRandom() % 6);
  for (int i = 0; i < n; ++i) {
    const auto& [name, fault] = kFaults[mRandom() % kinds];
    mPlayed.emplace_back(name);
    auto at = milliseconds(
      mRandom() % (800 * static_cast<std::uint64_t>(mOptions.mSeconds)));
    Later(at, [this, fault = fault] { (this->*fault)(); });
  }
}

void Soak::KillBalancer()
{
  Balancer& it = AnyBalancer();
  it.mProcess.reset();
  Later(AWhile(), [this, &it] { StartBalancer(it); });
}

void Soak::StopBalancer()
{
  Balancer& it = AnyBalancer();
  if (it.mProcess) {
    it.mProcess->Signal(SIGTERM);
  }
  Later(milliseconds(2500), [this, &it] { StartBalancer(it); });
}

void Soak::FreezeBalancer()
{
  Balancer& it = AnyBalancer();
  Freeze(it.mProcess);
}

void Soak::Freeze(std::unique_ptr<Process>& aProcess)
{
  if (!aProcess) {
    return;
  }
  aProcess->Signal(SIGSTOP);
  Later(AWhile(), [&aProcess] {
    if (aProcess) {
      aProcess->Signal(SIGCONT);
    }
  });
}

void Soak::KillAgent()
{
  Agent& it = AnyAgent();
  it.mProcess.reset();
  Later(AWhile() / 2, [this, &it] { StartAgent(it); });
}

void Soak::StopAgent()
{
  Agent& it = AnyAgent();
  if (it.mProcess) {
    it.mProcess->Signal(SIGTERM);
  }
  Later(milliseconds(4300), [this, &it] { StartAgent(it); });
}

void Soak::CrashHost()
{
  Agent& it = AnyAgent();
  it.mHost->Crash();
  Later(AWhile(), [&it] {
    if (!it.mHost->IsAlive()) {
      it.mHost->Start();
    }
  });
}

void Soak::DrainHost()
{
  Agent& it = *mAgents[mRandom() % 2];
  it.mHost->Drain();
}

void Soak::StoreAway()
{
  StoreFaults faults;
  switch (mRandom() % 4) {
    case 0:
      faults.mBusy = true;
      break;
    case 1:
      faults.mSilent = true;
      break;
    case 2:
      faults.mMany = true;
      break;
    default:
      faults.mDelay = milliseconds(200);
      break;
  }
  mStore.SetFaults(faults);
  mStore.Compact();
  Later(2 * AWhile(), [this] { mStore.SetFaults({}); });
}

void Soak::HarmStoreLink()
{
  TcpProxy& proxy = *AnyBalancer().mStore;
  ProxyFaults faults;
  switch (mRandom() % 4) {
    case 0:
      faults.mCutsRequests = true;
      break;
    case 1:
      faults.mCutsAnswers = true;
      break;
    case 2:
      faults.mDelay = milliseconds(300);
      break;
    default:
      faults.mRefuses = true;
      proxy.ResetAll();
      break;
  }
  proxy.SetFaults(faults);
  Later(2 * AWhile(), [&proxy] { proxy.SetFaults({}); });
}

void Soak::Reload()
{
  for (auto& it : mBalancers) {
    if (it->mProcess) {
      it->mProcess->Signal(SIGHUP);
    }
  }
}

void Soak::CutLinks()
{
  json::array lost;
  for (std::size_t i = 0; i < mAgents.size(); i += 2) {
    lost.push_back(mAgents[i]->mSettings["tunnel"]);
  }
  const Balancer& it = AnyBalancer();
  SetCut(it, "/fault/cut",
         json::serialize(json::object{ { "addresses", lost } }));
  Later(2 * AWhile(), [this, &it] { SetCut(it, "/fault/heal", ""); });
}

void Soak::SetCut(const Balancer& aBalancer, const char* aPath,
                  const std::string& aBody)
{
  HttpRequest request(http::verb::post, aPath, 11);
  request.set(http::field::host, "balancer");
  request.body() = aBody;
  request.prepare_payload();
  // A balancer that is down has no cut to be told of.
  aBalancer.mReady->Send(std::move(request), kReadyEvery,
                         [](const Result<HttpResponse>&) {});
}

void Soak::WrongClock()
{
  constexpr std::int64_t kHourMs = 3600000;
  auto offset = static_cast<std::int64_t>(mRandom() % (2 * kHourMs)) - kHourMs;
  if (mRandom() % 2 == 0) {
    Balancer& it = AnyBalancer();
    it.mSettings["clock_offset_ms"] = offset;
    StartBalancer(it);
  } else {
    Agent& it = AnyAgent();
    it.mSettings["clock_offset_ms"] = offset;
    StartAgent(it);
  }
}

void Soak::RoughFabric()
{
  mIsRough = true;
  Later(2 * AWhile(), [this] { mIsRough = false; });
}

void Soak::Calm()
{
  mIsRough = false;
  mStore.SetFaults({});
  for (auto& it : mBalancers) {
    it->mStore->SetFaults({});
    SetCut(*it, "/fault/heal", "");
    Revive(it->mProcess, [&] { StartBalancer(*it); });
  }
  for (auto& it : mAgents) {
    Revive(it->mProcess, [&] { StartAgent(*it); });
    if (!it->mHost->IsAlive()) {
      it->mHost->Start();
    }
  }
}

} // namespace heatherplank::lab
