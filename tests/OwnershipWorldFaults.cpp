// The faults of a schedule: hosts that join, drain, die and stall, and network
// partitions.

#include <algorithm>
#include <utility>

#include "tests/OwnershipWorld.h"

namespace heatherplank {

using namespace std::chrono_literals;

void OwnershipWorld::Join(std::size_t aSlot)
{
  int index = StartAgent(aSlot, HostState::Cold);
  mAgents[index].mMember.mWeight = 25;
  Publish();
  Schedule(DrawMs(500, 2000), [this, index] {
    Agent& agent = mAgents[index];
    if (agent.mAlive && !agent.mDraining) {
      agent.mMember.mState = HostState::Serving;
      agent.mMember.mWeight = 100;
      Publish();
    }
  });
}

void OwnershipWorld::DrainAgent(int aAgent)
{
  Agent& agent = mAgents[aAgent];
  agent.mDraining = true;
  agent.mDrainSince = mNow;
  agent.mMember.mState = HostState::Draining;
  Publish();
  if (Chance(50)) {
    RunOn(aAgent, [this, aAgent] {
      OwnershipActions actions;
      mAgents[aAgent].mOwnership->Drain(mNow, actions);
      ExecuteActions(aAgent, actions);
    });
  }
  Schedule(3s, [this, aAgent] { LeaveWhenEmpty(aAgent, mNow + 8s); });
}

void OwnershipWorld::LeaveWhenEmpty(int aAgent, Time aLatest)
{
  Agent& agent = mAgents[aAgent];
  if (!agent.mAlive) {
    return;
  }
  bool isEmpty = !agent.mPaused && agent.mOwnership->FlowCount() == 0;
  if (!isEmpty && mNow < aLatest) {
    Schedule(200ms, [=, this] { LeaveWhenEmpty(aAgent, aLatest); });
    return;
  }
  agent.mMember.mState = HostState::Leaving;
  Publish();
  Schedule(mRules.mSettle, [this, aAgent] {
    mAgents[aAgent].mAlive = false;
    mAgents[aAgent].mLeft = true;
  });
}

void OwnershipWorld::Kill(int aAgent)
{
  mAgents[aAgent].mAlive = false;
  std::erase_if(mWaiting,
                [&](const auto& aIt) { return aIt.second.mAgent == aAgent; });
}

void OwnershipWorld::Pause(int aAgent, Duration aDuration)
{
  if (mAgents[aAgent].mPaused) {
    return;
  }
  mAgents[aAgent].mPaused = true;
  Schedule(aDuration, [this, aAgent] {
    Agent& agent = mAgents[aAgent];
    if (!agent.mAlive) {
      return;
    }
    agent.mPaused = false;
    for (auto& [token, waiting] : mWaiting) {
      waiting.mSince = waiting.mAgent == aAgent ? mNow : waiting.mSince;
    }
    std::vector<Step> backlog = std::move(agent.mBacklog);
    agent.mBacklog.clear();
    for (Step& it : backlog) {
      it();
    }
  });
}

void OwnershipWorld::DrawFault()
{
  std::vector<int> running = Running();
  int target = running[Draw(running.size())];
  bool canSpare = running.size() > 2;
  std::size_t slot = mAgents[target].mMember.mTunnel.mPort - 1;
  std::uint64_t fault = mOptions.mPlannedOnly ? Draw(3) : Draw(8);
  if (!canSpare && (fault == 1 || fault == 3 || fault == 4)) {
    fault = 0;
  }
  switch (fault) {
    case 0:
      Join(mSlots++);
      break;
    case 1:
      DrainAgent(target);
      break;
    case 2:
      mBalancers[Draw(mBalancers.size())].mHints = HintCache{ 16 };
      break;
    case 3:
      Kill(target);
      break;
    case 4:
      Kill(target);
      Schedule(DrawMs(100, 1500), [this, slot] { Join(slot); });
      break;
    case 5:
      Pause(target, DrawMs(200, 2500));
      break;
    case 6:
      Pause(target, DrawMs(2500, 6000));
      break;
    default:
      if (mOptions.mPartitionsEnabled) {
        int other = running[Draw(running.size())];
        std::pair<int, int> pair = std::minmax(target, other);
        mPartitions.insert(pair);
        Schedule(DrawMs(300, 5000), [this, pair] { mPartitions.erase(pair); });
      }
  }
}

} // namespace heatherplank
