// The faults, which may overlap, and how they end.
#include <csignal>

#include <boost/json.hpp>

#include "lab/soak/SoakWorld.h"

namespace heatherplank::lab {

namespace {

/** Odd objects that another writer leaves in a run. */
constexpr int kOddEntries = 12;

} // namespace

void Soak::PlanFaults()
{
  static constexpr std::pair<const char*, Fault> kFaults[] = {
    { "balancer_kill", &Soak::KillBalancer },
    { "balancer_stop", &Soak::StopAnyBalancer },
    { "balancer_freeze", &Soak::FreezeBalancer },
    { "agent_kill", &Soak::KillAgent },
    { "agent_stop", &Soak::StopAgent },
    { "agent_freeze", &Soak::FreezeAgent },
    { "host_crash", &Soak::CrashHost },
    { "host_drain", &Soak::DrainHost },
    { "store_away", &Soak::ImpairStore },
    { "store_link", &Soak::ImpairStoreLink },
    { "reload", &Soak::Reload },
    { "link_cut", &Soak::CutLinks },
    { "wrong_clock", &Soak::SetWrongClock },
    { "rough_fabric", &Soak::ImpairFabric },
  };
  constexpr std::size_t kWideFaults = 3;
  std::size_t kinds = std::size(kFaults) - (mOptions.mWide ? 0 : kWideFaults);
  bool drawsAny = !mOptions.mLongFlows || mOptions.mWide;
  auto n = drawsAny ? 3 + static_cast<int>(mRandom() % 6) : 0;
  for (int i = 0; i < n; ++i) {
    const auto& [name, fault] = kFaults[mRandom() % kinds];
    PlanFault(name, fault);
  }
  if (mOptions.mLongFlows) {
    PlanLongFlowFaults();
  }
  if (mOptions.mRestoresStore) {
    mPlannedFaults.emplace_back("store_restored");
    RunAfter(milliseconds(400 * mOptions.mSeconds), [this] { RestoreStore(); });
  }
  if (mOptions.mSilencesStore) {
    PlanFault("store_silence", &Soak::SilenceStoreConnections);
    PlanFault("store_silence", &Soak::SilenceStoreConnections);
  }
  for (int i = 0; i < kOddEntries && mOptions.mWritesOddEntries; ++i) {
    PlanFault("odd_entry", &Soak::WriteOddEntry);
  }
}

/** Another writer leaves an object of a shape that no program of ours writes:
 * deeply nested, or with numbers and ports out of range. */
void Soak::WriteOddEntry()
{
  static constexpr const char* kKinds[] = { "config", "evacuations",
                                            "heatherplank-balancers" };
  json::value odd = json::array{ 1e300, UINT64_MAX, "127.0.0.1:99999" };
  for (auto depth = mRandom() % 300; depth > 0; --depth) {
    json::value inner = std::move(odd);
    if (mRandom() % 2 == 0) {
      odd = json::object{ { "Version", std::move(inner) } };
    } else {
      odd = json::array();
      odd.get_array().push_back(std::move(inner));
    }
  }
  mStore.Write(kKinds[mRandom() % std::size(kKinds)],
               "odd-" + std::to_string(mRandom() % 4), std::move(odd));
}

void Soak::PlanFault(const char* aName, Fault aFault)
{
  mPlannedFaults.emplace_back(aName);
  auto at = milliseconds(mRandom() %
                         (800 * static_cast<std::uint64_t>(mOptions.mSeconds)));
  RunAfter(at, [this, aFault] {
    if (std::chrono::steady_clock::now() >= mNoFaultsBefore) {
      (this->*aFault)();
    }
  });
}

void Soak::KillBalancer()
{
  Balancer& it = AnyBalancer();
  it.mProcess.reset();
  RestartAfter(RandomFaultDuration(), [this, &it] { StartBalancer(it); });
}

void Soak::StopBalancer(Balancer& aBalancer)
{
  if (aBalancer.mProcess) {
    aBalancer.mProcess->Signal(SIGTERM);
  }
  RestartAfter(milliseconds(2500),
               [this, &aBalancer] { StartBalancer(aBalancer); });
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
  RunAfter(RandomFaultDuration(), [&aProcess] {
    if (aProcess) {
      aProcess->Signal(SIGCONT);
    }
  });
}

void Soak::KillAgent()
{
  Agent& it = AnyAgent();
  it.mProcess.reset();
  RestartAfter(RandomFaultDuration() / 2, [this, &it] { StartAgent(it); });
}

void Soak::StopAgent()
{
  Agent& it = AnyAgent();
  if (it.mProcess) {
    it.mProcess->Signal(SIGTERM);
  }
  RestartAfter(milliseconds(4300), [this, &it] { StartAgent(it); });
}

void Soak::CrashHost()
{
  Agent& it = AnyAgent();
  it.mHost->Crash();
  RestartAfter(RandomFaultDuration(), [&it] {
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

void Soak::ImpairStore()
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
  RunAfter(2 * RandomFaultDuration(), [this] { mStore.SetFaults({}); });
}

/** The store is away for a moment and comes back from a copy. The operator then
 * writes the routes again. */
void Soak::RestoreStore()
{
  mStore.KeepCopy();
  WriteRoutes({ { 1, "one" }, { 2, "two" } });
  RunAfter(RandomFaultDuration(), [this] {
    mStore.SetFaults({ .mBusy = true });
    RunAfter(milliseconds(300), [this] {
      mStore.RestoreFromCopy();
      mStore.SetFaults({});
      mStore.Write("config", "main", mRoutes);
    });
  });
}

void Soak::ImpairStoreLink()
{
  TcpProxy& proxy = *AnyBalancer().mStore;
  ProxyFaults faults;
  switch (mRandom() % 4) {
    case 0:
      faults.mDropsRequests = true;
      break;
    case 1:
      faults.mDropsResponses = true;
      break;
    case 2:
      faults.mDelay = milliseconds(300);
      break;
    default:
      faults.mResetsNewConnections = true;
      proxy.ResetAll();
      break;
  }
  proxy.SetFaults(faults);
  RunAfter(2 * RandomFaultDuration(), [&proxy] { proxy.SetFaults({}); });
}

/** Routes change just after the silence. */
void Soak::SilenceStoreConnections()
{
  for (const auto& it : mBalancers) {
    it->mStore->SilenceAll();
  }
  WriteRoutes({ { 1, "one" }, { 2, "two" } });
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
  json::array unreachable;
  for (std::size_t i = 0; i < mAgents.size(); i += 2) {
    unreachable.push_back(mAgents[i]->mSettings["tunnel"]);
  }
  const Balancer& it = AnyBalancer();
  SendLinkFault(it, "/fault/cut",
                json::serialize(json::object{ { "addresses", unreachable } }));
  RunAfter(2 * RandomFaultDuration(),
           [this, &it] { SendLinkFault(it, "/fault/heal", ""); });
}

void Soak::SendLinkFault(const Balancer& aBalancer, const char* aPath,
                         const std::string& aBody)
{
  HttpRequest request(http::verb::post, aPath, 11);
  request.set(http::field::host, "balancer");
  request.body() = aBody;
  request.prepare_payload();
  // Errors are ignored: a balancer that is down has no cut link to restore.
  aBalancer.mReadyClient->Send(std::move(request), kReadyInterval,
                               [](const Result<HttpResponse>&) {});
}

void Soak::SetWrongClock()
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

void Soak::ImpairFabric()
{
  mFabricImpaired = true;
  RunAfter(2 * RandomFaultDuration(), [this] { mFabricImpaired = false; });
}

void Soak::EndFaults()
{
  mNoFaultsBefore = Time::max();
  mFabricImpaired = false;
  mStore.SetFaults({});
  for (auto& it : mBalancers) {
    it->mStore->SetFaults({});
    SendLinkFault(*it, "/fault/heal", "");
    ResumeOrRestart(it->mProcess, [&] { StartBalancer(*it); });
  }
  for (auto& it : mAgents) {
    ResumeOrRestart(it->mProcess, [&] { StartAgent(*it); });
    if (!it->mHost->IsAlive()) {
      it->mHost->Start();
    }
  }
}

} // namespace heatherplank::lab
