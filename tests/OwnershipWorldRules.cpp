// The rules that no schedule may break, checked at each dispatch and answer.

#include <algorithm>
#include <chrono>

#include "tests/OwnershipWorld.h"

namespace heatherplank {

using namespace std::chrono_literals;

bool OwnershipWorld::Lives(int aAgent) const
{
  const Agent& agent = mAgents[aAgent];
  // Who left as planned should have handed its flows on.
  return (agent.mAlive || agent.mLeft) && !agent.mWasRemoved;
}

void OwnershipWorld::CheckOwner(int aAgent, Flow& aFlow, FlowEpoch aEpoch)
{
  for (const auto& [other, until] : aFlow.mRunning) {
    if (other != aAgent && until > mNow && mAgents[other].mAlive) {
      Violate(Violation::TwoOwners);
    }
  }
  Life& life = aFlow.mLives[aEpoch];
  bool isFirst = life.mHolders.empty();
  const Agent& agent = mAgents[aAgent];
  if (isFirst && agent.mDraining && mNow - agent.mDrainSince > 2s) {
    Violate(Violation::AdoptedWhileDraining);
  }
  bool isHeldElsewhere = !isFirst && life.mHolder != aAgent;
  bool mayResume =
    life.mHolders.contains(aAgent) && !mAgents[life.mHolder].mAlive;
  if (isHeldElsewhere && !mayResume) {
    Violate(Violation::TwoOwners);
  }
  life.mHolders.insert(aAgent);
  life.mHolder = aAgent;
}

void OwnershipWorld::CheckLife(Flow& aFlow, FlowEpoch aEpoch)
{
  if (aFlow.mEstablished == 0 || aFlow.mEstablished == aEpoch) {
    return;
  }
  if (Lives(aFlow.mLives[aFlow.mEstablished].mHolder)) {
    Violate(Violation::BrokenFlow);
  }
  aFlow.mBroken = true;
}

void OwnershipWorld::OnDispatch(int aAgent, const DispatchPacket& aDispatch)
{
  ++mResult.mDispatched;
  Flow& flow = mFlows[aDispatch.mFlow.mCaller.mPort];
  flow.mLastServed = true;
  CheckOwner(aAgent, flow, aDispatch.mEpoch);
  CheckLife(flow, aDispatch.mEpoch);
  Duration work = DrawMs(2, 150);
  flow.mRunning[aAgent] = std::max(flow.mRunning[aAgent], mNow + work);
  mAgents[aAgent].mOwnership->OnRequestStarted(aDispatch.mFlow);
  After(work, [this, aAgent, aDispatch] {
    RunOn(aAgent, [this, aAgent, aDispatch] { OnAnswer(aAgent, aDispatch); });
  });
}

void OwnershipWorld::OnAnswer(int aAgent, const DispatchPacket& aDispatch)
{
  Flow& flow = mFlows[aDispatch.mFlow.mCaller.mPort];
  // Who is held dead may still send the answer to a request from before.
  if (Lives(aAgent)) {
    CheckLife(flow, aDispatch.mEpoch);
    flow.mEstablished = aDispatch.mEpoch;
  }
  OwnershipActions actions;
  mAgents[aAgent].mOwnership->OnRequestEnded(aDispatch.mFlow, true, mNow,
                                             actions);
  Carry(aAgent, actions);
}

} // namespace heatherplank
