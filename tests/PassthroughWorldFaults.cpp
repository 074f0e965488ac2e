// The faults of a schedule.
#include "tests/PassthroughWorldParts.h"

namespace heatherplank {

void PassthroughWorld::PlanFault()
{
  if (mOptions.mDrains) {
    static constexpr void (PassthroughWorld::*kBesideADrain[])() = {
      &PassthroughWorld::DrainHost, &PassthroughWorld::CutAgents,
      &PassthroughWorld::KillBalancer, &PassthroughWorld::KillAgent,
      &PassthroughWorld::CrashHost
    };
    // The first ones leave the memory of agents and the deaf balancer alone.
    std::size_t kinds = mOptions.mDeafBalancer ? 2 : std::size(kBesideADrain);
    auto beside = kBesideADrain[Pick(kinds)];
    At(Between(100, 2200), [this, beside] { (this->*beside)(); });
    return;
  }
  static constexpr void (PassthroughWorld::*kFaults[])() = {
    &PassthroughWorld::KillBalancer, &PassthroughWorld::FreezeBalancer,
    &PassthroughWorld::KillAgent,    &PassthroughWorld::FreezeAgent,
    &PassthroughWorld::CrashHost,    &PassthroughWorld::DrainHost,
    &PassthroughWorld::ReuseAddress, &PassthroughWorld::CutAgents
  };
  auto fault = kFaults[Pick(std::size(kFaults))];
  At(Between(100, 2200), [this, fault] { (this->*fault)(); });
}

void PassthroughWorld::KillBalancer()
{
  mBalancers[Pick(mBalancers.size())]->Start();
}

void PassthroughWorld::FreezeBalancer()
{
  Balancer& balancer = *mBalancers[Pick(mBalancers.size())];
  balancer.mFrozen = true;
  At(Between(150, 1500), [&balancer] { balancer.Wake(); });
}

void PassthroughWorld::KillAgent()
{
  Agent& agent = *mAgents[Pick(mAgents.size())];
  agent.mFlows.reset();
  agent.mHeld.clear();
  agent.mFrozen = false;
  ViewsChanged();
  At(Between(20, 300), [this, &agent] {
    if (!agent.mFlows) {
      agent.Start();
      ViewsChanged();
    }
  });
}

void PassthroughWorld::FreezeAgent()
{
  Agent& agent = *mAgents[Pick(mAgents.size())];
  agent.mFrozen = agent.mFlows != nullptr;
  At(Between(50, 1200), [&agent] {
    agent.mFrozen = false;
    for (auto& it : std::exchange(agent.mHeld, {})) {
      agent.Do(std::move(it));
    }
  });
}

void PassthroughWorld::CrashHost()
{
  Agent& agent = *mAgents[Pick(mAgents.size())];
  agent.mHost->mAlive = false;
  // It comes back as a host of the service that its slot is for by then: that
  // of its agent, as both are set up together.
  At(Between(50, 900), [this, &agent] {
    if (!agent.mHost->mAlive) {
      StartHost(agent, agent.mService.c_str());
    }
  });
}

void PassthroughWorld::DrainHost()
{
  Agent& agent = *mAgents[Pick(kHostsOfOne)];
  agent.mHost->mPhase = HostPhase::Draining;
  Announce(agent);
}

/** A host of one service ends, its address and slot go to one of another. */
void PassthroughWorld::ReuseAddress()
{
  Agent& agent = *mAgents[Pick(mAgents.size())];
  agent.mHost->mAlive = false;
  agent.mFrozen = false;
  agent.mHeld.clear();
  agent.mService = agent.mService == "one" ? "other" : "one";
  agent.Start();
  StartHost(agent, agent.mService.c_str());
  ViewsChanged();
}

/** The operator's order: each balancer hears of it at its own moment. */
void PassthroughWorld::Drain()
{
  mDrains = { mDrains.mVersion + 1, { DataCentreOf(Pick(2)) } };
  mDrainedAt = mClock.Now();
  for (auto& it : mBalancers) {
    bool isDeaf = mOptions.mDeafBalancer && it == mBalancers.front();
    if (isDeaf) {
      continue;
    }
    At(Between(0, 100), [this, &balancer = *it] {
      balancer.mDrains = mDrains;
      balancer.mSteering->SetDrains(mDrains);
    });
  }
}

/** A balancer answers the heartbeat of an agent. */
void PassthroughWorld::TellDrained(Agent& aAgent)
{
  for (const auto& it : mBalancers) {
    if (mOptions.mTellsAgents &&
        it->mDrains.Contains(DataCentreOf(aAgent.mIndex))) {
      aAgent.mFlows->OnDrainNotice({ it->mDrains.mVersion }, mClock.Now());
    }
  }
}

/** Whether all that hear of the drain of an agent's data centre have known it
 * for long enough. */
bool PassthroughWorld::IsLongDrained(const Agent& aAgent) const
{
  Duration known = kDrainKnownWithin + kOfferedWithin;
  if (mOptions.mDeafBalancer) {
    known += kBeatEvery;
  }
  return mDrainedAt && mDrains.Contains(DataCentreOf(aAgent.mIndex)) &&
         mClock.Now() - *mDrainedAt > known;
}

void PassthroughWorld::CutAgents()
{
  Agent& one = *mAgents[Pick(mAgents.size())];
  std::size_t other = Pick(mAgents.size());
  one.mCutFrom.insert(other);
  mAgents[other]->mCutFrom.insert(one.mIndex);
  At(Between(50, 900), [this, &one, other] {
    one.mCutFrom.erase(other);
    mAgents[other]->mCutFrom.erase(one.mIndex);
  });
}

} // namespace heatherplank
