#include "tests/OwnershipWorld.h"

#include <algorithm>
#include <numeric>
#include <utility>

#include "src/steer/Steering.h"
#include "tests/SteerFixture.h"

namespace heatherplank {

using namespace std::chrono_literals;

namespace {

/** Maximum delay until a view reaches a process; less than mSettle. */
constexpr std::uint64_t kMaxViewDelayMs = 1000;
/** Time without a heartbeat after which a host is declared dead; more than
 * mViewTrustTimeout. */
constexpr Duration kDeathTimeout = 3s;
/** Faults are injected for kFaultDuration, then none for kFaultFreeDuration. */
constexpr Duration kFaultDuration = 6s;
constexpr Duration kFaultFreeDuration = 8s;
constexpr std::uint16_t kBalancerPort = 1000;

/** Distributes owners over the candidates, so that owner and arbiter differ. */
class SpreadPolicy final : public OwnerPolicy
{
public:
  std::size_t Pick(std::span<const Member* const> aCandidates,
                   std::uint64_t aFlowHash, Time) override
  {
    return (aFlowHash >> 20) % aCandidates.size();
  }
};

} // namespace

std::uint32_t WorldResult::Total() const
{
  return std::accumulate(mViolations.begin(), mViolations.end(), 0U);
}

void WorldResult::Add(const WorldResult& aOther)
{
  for (std::size_t i = 0; i < kViolations; ++i) {
    mViolations[i] += aOther.mViolations[i];
  }
  mDispatched += aOther.mDispatched;
  mRefused += aOther.mRefused;
  mFlows += aOther.mFlows;
  mBrokenFlows += aOther.mBrokenFlows;
  mBrokenByModulo += aOther.mBrokenByModulo;
  mBrokenByRendezvous += aOther.mBrokenByRendezvous;
}

OwnershipWorld::OwnershipWorld(std::uint64_t aSeed,
                               const WorldOptions& aOptions)
  : mOptions(aOptions)
  , mRandom(aSeed)
  , mPolicy(std::make_unique<SpreadPolicy>())
{
  mRules.mGuards = aOptions.mGuards;
  // Longer than any fault, and short enough to end within the run.
  mRules.mQueryWindow = 8s;
  mRules.mMaxFlows = 16;
  mRules.mMaxDirectory = 16;
  mRules.mMaxMoved = 16;
  mRules.mMaxPromises = 16;
  mRules.mMaxLookups = 16;
  mRules.mMaxHandOffs = 8;
  mAgents.reserve(32);
}

Duration OwnershipWorld::DrawMs(std::uint64_t aFrom, std::uint64_t aTo)
{
  return std::chrono::milliseconds(aFrom + Draw(aTo - aFrom + 1));
}

void OwnershipWorld::Schedule(Duration aDelay, Step aStep)
{
  mEvents.push({ mNow + aDelay, mOrder++, std::move(aStep) });
}

int OwnershipWorld::StartAgent(std::size_t aSlot, HostState aState)
{
  Agent agent;
  agent.mMember = TestMember(aSlot);
  agent.mMember.mState = aState;
  agent.mMember.mIncarnation =
    static_cast<Incarnation>(
      std::chrono::duration_cast<std::chrono::microseconds>(
        mNow.time_since_epoch())
        .count()) +
    400000 * aSlot;
  agent.mAlive = true;
  agent.mLastHeartbeat = mNow;
  // The initial agents count as started 10 s ago.
  bool isFirst = mVersion == 0;
  agent.mOwnership =
    std::make_unique<Ownership>(ToPeer(agent.mMember), agent.mMember.mService,
                                *mPolicy, mRules, isFirst ? mNow - 10s : mNow);
  mAgents.push_back(std::move(agent));
  int index = static_cast<int>(mAgents.size()) - 1;
  mCurrent.resize(std::max(mCurrent.size(), aSlot + 1));
  mCurrent[aSlot] = index;
  Schedule(DrawMs(0, 50), [this, index] { Tick(index); });
  Schedule(DrawMs(0, isFirst ? 0 : 100), [this, index] { Heartbeat(index); });
  return index;
}

std::vector<int> OwnershipWorld::Running() const
{
  std::vector<int> out;
  for (std::size_t i = 0; i < mAgents.size(); ++i) {
    if (mAgents[i].mAlive && !mAgents[i].mDraining) {
      out.push_back(static_cast<int>(i));
    }
  }
  return out;
}

void OwnershipWorld::RunOn(int aAgent, const Step& aStep)
{
  Agent& agent = mAgents[aAgent];
  if (!agent.mAlive) {
    return;
  }
  if (agent.mPaused) {
    agent.mBacklog.push_back(aStep);
    return;
  }
  aStep();
}

void OwnershipWorld::SendOverNetwork(int aFrom, int aTo, const Step& aStep)
{
  bool isPartitioned = mPartitions.contains(std::minmax(aFrom, aTo));
  if (isPartitioned || (!mFaultsEnded && Chance(mLossPercent))) {
    return;
  }
  int copies = !mFaultsEnded && !mOptions.mPlannedOnly && Chance(5) ? 2 : 1;
  for (int i = 0; i < copies; ++i) {
    bool isLate = !mFaultsEnded && Chance(5);
    Schedule(isLate ? DrawMs(5, 300) : DrawMs(0, 3), aStep);
  }
}

int OwnershipWorld::AgentAt(const Address& aAddress) const
{
  return mCurrent[aAddress.mPort - 1];
}

/** Sends the current members as a view to every process, each with its own
 * delay. */
void OwnershipWorld::Publish()
{
  std::vector<Member> members;
  for (std::size_t i = 0; i < mAgents.size(); ++i) {
    const Agent& it = mAgents[i];
    bool isLatest = AgentAt(it.mMember.mTunnel) == static_cast<int>(i);
    if (isLatest && !it.mIsDeclaredDead) {
      members.push_back(it.mMember);
    }
  }
  ServiceViewPtr view = TestView(++mVersion, std::move(members));
  auto take = [view](ServiceViewPtr& aInto) {
    if (!aInto || aInto->Version() < view->Version()) {
      aInto = view;
    }
  };
  for (std::size_t i = 0; i < mAgents.size(); ++i) {
    Duration delay = mVersion == 1 ? 0ms : DrawMs(0, kMaxViewDelayMs);
    Schedule(delay, [this, i, take] {
      RunOn(static_cast<int>(i), [this, i, take] { take(mAgents[i].mView); });
    });
  }
  for (std::size_t i = 0; i < mBalancers.size(); ++i) {
    Duration delay = mVersion == 1 ? 0ms : DrawMs(0, kMaxViewDelayMs);
    Schedule(delay, [this, i, take] { take(mBalancers[i].mView); });
  }
}

void OwnershipWorld::Heartbeat(int aAgent)
{
  if (!mAgents[aAgent].mAlive) {
    return;
  }
  Schedule(400ms, [this, aAgent] { Heartbeat(aAgent); });
  Time sent = mNow;
  if (mAgents[aAgent].mPaused) {
    return;
  }
  Schedule(DrawMs(1, 10), [this, aAgent, sent] {
    Agent& agent = mAgents[aAgent];
    agent.mLastHeartbeat = mNow;
    if (std::exchange(agent.mIsDeclaredDead, false)) {
      Publish();
    }
    Schedule(DrawMs(1, 10), [this, aAgent, sent] {
      RunOn(aAgent, [this, aAgent, sent] {
        OwnershipActions actions;
        if (mAgents[aAgent].mView) {
          mAgents[aAgent].mOwnership->OnView(mAgents[aAgent].mView, sent, mNow,
                                             actions);
        }
        ExecuteActions(aAgent, actions);
      });
    });
  });
}

void OwnershipWorld::DeclareDeaths()
{
  Schedule(200ms, [this] { DeclareDeaths(); });
  bool changed = false;
  for (Agent& it : mAgents) {
    if (!it.mIsDeclaredDead && mNow - it.mLastHeartbeat > kDeathTimeout) {
      it.mIsDeclaredDead = true;
      it.mWasDeclaredDead = true;
      changed = true;
    }
  }
  if (changed) {
    Publish();
  }
}

void OwnershipWorld::Tick(int aAgent)
{
  if (!mAgents[aAgent].mAlive) {
    return;
  }
  Schedule(50ms, [this, aAgent] { Tick(aAgent); });
  if (!mAgents[aAgent].mPaused) {
    OwnershipActions actions;
    mAgents[aAgent].mOwnership->Tick(mNow, actions);
    ExecuteActions(aAgent, actions);
  }
}

void OwnershipWorld::SendPacket(std::uint16_t aFlow)
{
  Schedule(DrawMs(30, 900), [this, aFlow] { SendPacket(aFlow); });
  std::size_t at = Draw(mBalancers.size());
  Balancer& balancer = mBalancers[at];
  std::uint64_t hash = HashFlow(TestFlow(aFlow));
  auto decision = Steer(hash, balancer.mView.get(), balancer.mHints);
  const auto* target = std::get_if<SteerTarget>(&decision);
  if (target == nullptr) {
    return;
  }
  RecordBaselines(mFlows[aFlow], hash, *balancer.mView);
  PacketEvent packet;
  packet.mFlow = TestFlow(aFlow);
  packet.mService = MakeServiceId("agenda");
  packet.mHintTo.mPort = static_cast<std::uint16_t>(kBalancerPort + at);
  packet.mDirective = target->mDirective;
  int to = AgentAt(target->mMember->mTunnel);
  SendOverNetwork(-1, to, [this, to, packet] { Receive(to, packet); });
}

void OwnershipWorld::RecordBaselines(Flow& aFlow, std::uint64_t aHash,
                                     const ServiceView& aView)
{
  std::vector<HostId> hosts;
  for (const Member& it : aView.Members()) {
    if (CanAdopt(it)) {
      hosts.push_back(it.mHost);
    }
  }
  if (hosts.empty()) {
    return;
  }
  aFlow.mModulo.Assign(hosts[aHash % hosts.size()]);
  aFlow.mRendezvous.Assign(aView.Arbiter(aHash)->mHost);
}

void OwnershipWorld::Receive(int aAgent, PacketEvent aPacket)
{
  RunOn(aAgent, [this, aAgent, aPacket] {
    PacketEvent packet = aPacket;
    packet.mToken = ++mLastToken;
    mWaiting[packet.mToken] = { packet, aAgent, mNow };
    OwnershipActions actions;
    mAgents[aAgent].mOwnership->OnPacket(packet, mNow, actions);
    ExecuteActions(aAgent, actions);
  });
}

void OwnershipWorld::OnPacketSettled(PacketToken aToken)
{
  auto it = mWaiting.find(aToken);
  if (it == mWaiting.end()) {
    RecordViolation(Violation::Stuck);
    return;
  }
  if (mNow - it->second.mSince > 1s) {
    RecordViolation(Violation::Stuck);
  }
  mWaiting.erase(it);
}

/** Executes an agent's actions as its process would. */
void OwnershipWorld::ExecuteActions(int aAgent, OwnershipActions& aActions)
{
  for (OwnershipAction& action : aActions) {
    if (auto* dispatch = std::get_if<DispatchPacket>(&action)) {
      OnPacketSettled(dispatch->mToken);
      OnDispatch(aAgent, *dispatch);
    } else if (auto* forward = std::get_if<ForwardPacket>(&action)) {
      PacketEvent packet = mWaiting[forward->mToken].mPacket;
      OnPacketSettled(forward->mToken);
      packet.mDirective = forward->mDirective;
      packet.mHops = forward->mHops;
      packet.mArbiter = forward->mArbiter;
      packet.mEpoch = forward->mEpoch;
      int to = AgentAt(forward->mTo.mTunnel);
      SendOverNetwork(aAgent, to, [this, to, packet] { Receive(to, packet); });
    } else if (auto* refuse = std::get_if<RefusePacket>(&action)) {
      OnPacketSettled(refuse->mToken);
      ++mResult.mRefused;
      mFlows[refuse->mFlow.mCaller.mPort].mLastServed = false;
    } else if (auto* import = std::get_if<ImportFlow>(&action)) {
      EpochHolders& holders =
        mFlows[import->mFlow.mCaller.mPort].mEpochs[import->mEpoch];
      holders.mHolders.insert(aAgent);
      holders.mHolder = aAgent;
    } else if (auto* send = std::get_if<SendMessage>(&action)) {
      if (send->mTo.mPort >= kBalancerPort) {
        const Hint& hint = std::get<Hint>(send->mMessage);
        mBalancers[send->mTo.mPort - kBalancerPort].mHints.Put(
          HashFlow(hint.mFlow),
          { hint.mOwner.mHost, hint.mOwner.mIncarnation });
        continue;
      }
      int to = AgentAt(send->mTo);
      SendOverNetwork(aAgent, to, [this, to, message = send->mMessage] {
        RunOn(to, [this, to, message] {
          OwnershipActions actions;
          mAgents[to].mOwnership->OnMessage(message, mNow, actions);
          ExecuteActions(to, actions);
        });
      });
    } else if (auto* out = std::get_if<ExportFlow>(&action)) {
      int to = AgentAt(out->mTo);
      SendOverNetwork(aAgent, to, [this, to, message = out->mHandOff] {
        RunOn(to, [this, to, message] {
          OwnershipActions actions;
          mAgents[to].mOwnership->OnMessage(message, mNow, actions);
          ExecuteActions(to, actions);
        });
      });
    }
  }
}

WorldResult OwnershipWorld::Run()
{
  mLossPercent = mOptions.mPlannedOnly ? 0 : std::array{ 0U, 2U, 15U }[Draw(3)];
  mBalancers.resize(2 + Draw(2));
  mSlots = 3 + Draw(3);
  for (std::size_t i = 0; i < mSlots; ++i) {
    StartAgent(i, HostState::Serving);
  }
  Publish();
  mResult.mFlows = static_cast<std::uint32_t>(1 + Draw(3));
  for (std::uint32_t flow = 1; flow <= mResult.mFlows; ++flow) {
    auto port = static_cast<std::uint16_t>(flow + 10 * Draw(50));
    Duration start = DrawMs(50, 5000);
    Schedule(start, [this, port] { SendPacket(port); });
    Schedule(start + DrawMs(0, 3), [this, port] { SendPacket(port); });
  }
  for (std::uint64_t i = 1 + Draw(4); i > 0; --i) {
    Schedule(DrawMs(50, 6000), [this] { DrawFault(); });
  }
  Schedule(3s, [this] { DeclareDeaths(); });
  Schedule(kFaultDuration + 1s, [this] { mFaultsEnded = true; });
  Time end = mNow + kFaultDuration + kFaultFreeDuration;
  while (!mEvents.empty() && mEvents.top().mAt < end) {
    Event event = mEvents.top();
    mEvents.pop();
    mNow = event.mAt;
    event.mStep();
  }
  for (const auto& [token, waiting] : mWaiting) {
    const Agent& agent = mAgents[waiting.mAgent];
    if (agent.mAlive && !agent.mPaused && mNow - waiting.mSince > 1s) {
      RecordViolation(Violation::Stuck);
    }
  }
  for (const auto& [port, flow] : mFlows) {
    mResult.mBrokenFlows += flow.mBroken ? 1 : 0;
    mResult.mBrokenByModulo += flow.mModulo.mBroken ? 1 : 0;
    mResult.mBrokenByRendezvous += flow.mRendezvous.mBroken ? 1 : 0;
    if (!flow.mLastServed) {
      RecordViolation(Violation::Stuck);
    }
  }
  return mResult;
}

} // namespace heatherplank
