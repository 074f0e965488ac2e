// Faults, in series that overlap, and their end.
#include <csignal>

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
  };
  auto n = 3 + static_cast<int>(mRandom() % 6);
  for (int i = 0; i < n; ++i) {
    const auto& [name, fault] = kFaults[mRandom() % std::size(kFaults)];
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

void Soak::Calm()
{
  mStore.SetFaults({});
  for (auto& it : mBalancers) {
    it->mStore->SetFaults({});
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
