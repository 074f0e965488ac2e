// The invariants of every schedule, checked at each dispatch and answer.

#include <algorithm>
#include <chrono>

#include "tests/OwnershipWorld.h"

namespace heatherplank {

using namespace std::chrono_literals;

bool OwnershipWorld::IsLive(int aAgent) const
{
  const Agent& agent = mAgents[aAgent];
  // A host that left as planned counts as live: a flow that it did not hand off
  // is a violation.
  return (agent.mAlive || agent.mLeft) && !agent.mWasDeclaredDead;
}

void OwnershipWorld::CheckOwner(int aAgent, Flow& aFlow, FlowEpoch aEpoch)
{
  for (const auto& [other, until] : aFlow.mRunning) {
    if (other != aAgent && until > mNow && mAgents[other].mAlive) {
      RecordViolation(Violation::TwoOwners);
    }
  }
  EpochHolders& holders = aFlow.mEpochs[aEpoch];
  bool isFirst = holders.mHolders.empty();
  const Agent& agent = mAgents[aAgent];
  if (isFirst && agent.mDraining && mNow - agent.mDrainSince > 2s) {
    RecordViolation(Violation::AdoptedWhileDraining);
  }
  bool isHeldElsewhere = !isFirst && holders.mHolder != aAgent;
  bool mayResume =
    holders.mHolders.contains(aAgent) && !mAgents[holders.mHolder].mAlive;
  if (isHeldElsewhere && !mayResume) {
    RecordViolation(Violation::TwoOwners);
  }
  holders.mHolders.insert(aAgent);
  holders.mHolder = aAgent;
}

void OwnershipWorld::CheckEpoch(Flow& aFlow, FlowEpoch aEpoch)
{
  if (aFlow.mEstablished == 0 || aFlow.mEstablished == aEpoch) {
    return;
  }
  if (IsLive(aFlow.mEpochs[aFlow.mEstablished].mHolder)) {
    RecordViolation(Violation::BrokenFlow);
  }
  aFlow.mBroken = true;
}

void OwnershipWorld::OnDispatch(int aAgent, const DispatchPacket& aDispatch)
{
  ++mResult.mDispatched;
  Flow& flow = mFlows[aDispatch.mFlow.mCaller.mPort];
  flow.mLastServed = true;
  CheckOwner(aAgent, flow, aDispatch.mEpoch);
  CheckEpoch(flow, aDispatch.mEpoch);
  Duration work = DrawMs(2, 150);
  flow.mRunning[aAgent] = std::max(flow.mRunning[aAgent], mNow + work);
  mAgents[aAgent].mOwnership->OnRequestStarted(aDispatch.mFlow);
  Schedule(work, [this, aAgent, aDispatch] {
    RunOn(aAgent, [this, aAgent, aDispatch] { OnAnswer(aAgent, aDispatch); });
  });
}

void OwnershipWorld::OnAnswer(int aAgent, const DispatchPacket& aDispatch)
{
  Flow& flow = mFlows[aDispatch.mFlow.mCaller.mPort];
  // A host that was declared dead may still send answers to earlier requests.
  if (IsLive(aAgent)) {
    CheckEpoch(flow, aDispatch.mEpoch);
    flow.mEstablished = aDispatch.mEpoch;
  }
  OwnershipActions actions;
  mAgents[aAgent].mOwnership->OnRequestEnded(aDispatch.mFlow, true, mNow,
                                             actions);
  ExecuteActions(aAgent, actions);
}

} // namespace heatherplank
