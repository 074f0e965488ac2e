#include "lab/Faults.h"

#include <csignal>

namespace heatherplank::lab {

namespace {

constexpr std::string_view kBackendPrefix = "backend:";
constexpr auto kReadyTimeout = std::chrono::seconds(10);

const std::set<std::string, std::less<>> kOfProcess{
  "kill", "freeze", "thaw", "start", "drain", "replace",
};
const std::set<std::string, std::less<>> kOfBackend{
  "kill",
  "start",
  "drain",
  "slow",
};
const std::set<std::string, std::less<>> kOfAll{
  "cut",           "heal",         "platform_down", "platform_up",
  "platform_slow", "lose_answers", "apply",         "policy",
};

} // namespace

std::vector<std::string> Faults::Names(std::string_view aTarget) const
{
  std::vector<std::string> names;
  if (!aTarget.ends_with('*')) {
    names.emplace_back(aTarget);
    return names;
  }
  aTarget.remove_suffix(1);
  for (const auto& [name, node] : mWorld->mFleet->Nodes()) {
    if (name.starts_with(aTarget)) {
      names.push_back(name);
    }
  }
  return names;
}

Result<void> Faults::Check(const FaultSpec& aFault) const
{
  std::string_view target = aFault.mTarget;
  bool known = kOfAll.contains(aFault.mDo);
  if (target.starts_with(kBackendPrefix)) {
    std::string host(target.substr(kBackendPrefix.size()));
    known = kOfBackend.contains(aFault.mDo) && mWorld->mBackends.contains(host);
  } else if (kOfProcess.contains(aFault.mDo)) {
    auto names = Names(target);
    known = !names.empty() && mWorld->mFleet->Find(names.front());
  }
  if (!known) {
    return Fail(ErrorKind::InvalidInput,
                "no fault \"" + aFault.mDo + "\" for \"" + aFault.mTarget +
                  "\"",
                "see docs/LAB.md");
  }
  return {};
}

Awaitable<void> Faults::Play(FaultSpec aFault)
{
  if (aFault.mTarget.starts_with(kBackendPrefix)) {
    PlayBackend(aFault, aFault.mTarget.substr(kBackendPrefix.size()));
  } else if (aFault.mDo == "cut") {
    co_await mWorld->mFleet->Cut(aFault.mTarget, aFault.mFrom);
  } else if (aFault.mDo == "heal") {
    co_await mWorld->mFleet->Heal();
  } else if (kOfAll.contains(aFault.mDo)) {
    co_await PlayPlatform(aFault);
  } else {
    for (const auto& name : Names(aFault.mTarget)) {
      co_await PlayOne(aFault, name);
    }
  }
}

Awaitable<void> Faults::PlayOne(FaultSpec aFault, std::string aName)
{
  auto& fleet = *mWorld->mFleet;
  bool step = aFault.mTarget.ends_with('*');
  if (aFault.mDo == "start") {
    co_await Restart(aName);
  } else if (aFault.mDo == "replace") {
    mGone.insert(aName);
    fleet.Signal(aName, SIGTERM);
    co_await Sleep(mWorld->mScenario.mFabric.mNotice);
    SpreadPackets();
    co_await Restart(aName);
  } else if (aFault.mDo == "thaw") {
    fleet.Signal(aName, SIGCONT);
    mGone.erase(aName);
    SpreadPackets();
  } else {
    int kills = aFault.mDo == "kill" ? SIGKILL : SIGTERM;
    int number = aFault.mDo == "freeze" ? SIGSTOP : kills;
    fleet.Signal(aName, number);
    mGone.insert(aName);
    co_await Sleep(mWorld->mScenario.mFabric.mNotice);
    SpreadPackets();
  }
  if (step) {
    co_await Sleep(aFault.mStep);
  }
}

Awaitable<void> Faults::Restart(std::string aName)
{
  mGone.insert(aName);
  co_await mWorld->mFleet->Start(aName);
  bool ready = co_await mWorld->mFleet->WaitReady(aName, kReadyTimeout);
  if (!ready) {
    ++mWorld->mCommands["start.not_ready"];
    co_return;
  }
  mGone.erase(aName);
  SpreadPackets();
}

void Faults::SpreadPackets()
{
  std::vector<Address> balancers;
  for (const auto& [name, node] : mWorld->mFleet->Nodes()) {
    bool runs = node.mProcess && !node.mProcess->Poll();
    if (node.IsBalancer() && runs && !mGone.contains(name)) {
      balancers.push_back(node.mTunnel);
    }
  }
  mWorld->mFabric->SetBalancers(std::move(balancers));
}

void Faults::PlayBackend(const FaultSpec& aFault, const std::string& aName)
{
  auto& backend = *mWorld->mBackends.at(aName);
  if (aFault.mDo == "kill") {
    backend.Kill();
  } else if (aFault.mDo == "drain") {
    backend.Drain();
  } else if (aFault.mDo == "slow") {
    backend.SetSlowness(aFault.mValue);
  } else if (!backend.Start()) {
    ++mWorld->mCommands["backend.failed"];
  }
}

Awaitable<void> Faults::PlayPlatform(const FaultSpec& aFault)
{
  auto& platform = *mWorld->mPlatform;
  if (aFault.mDo == "apply") {
    co_await mWorld->Apply(aFault.mSet);
  } else if (aFault.mDo == "policy") {
    co_await mWorld->SetPolicy(aFault.mTarget);
  } else if (aFault.mDo == "lose_answers") {
    platform.LoseAnswers(aFault.mValue);
  } else if (aFault.mDo == "platform_slow") {
    platform.SetDelay(
      std::chrono::milliseconds(static_cast<std::int64_t>(aFault.mValue)));
  } else {
    platform.SetDown(aFault.mDo == "platform_down");
  }
}

} // namespace heatherplank::lab
