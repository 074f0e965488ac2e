#include "tests/OwnershipWorld.h"

#include <algorithm>
#include <numeric>
#include <utility>

#include "src/steer/Steering.h"
#include "tests/SteerFixture.h"

namespace heatherplank {

using namespace std::chrono_literals;

namespace {

/** Views reach every process within this; less than the settle window. */
constexpr std::uint64_t kMostViewDelayMs = 1000;
/** Silence after which a host is held dead; more than the view trust. */
constexpr Duration kDeathAfter = 3s;
/** Faults come in this time, calm follows. */
constexpr Duration kFaultTime = 6s;
constexpr Duration kCalmTime = 8s;
constexpr std::uint16_t kBalancerPort = 1000;

/** Spreads owners over the candidates, so that owner and arbiter differ. */
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
  // Longer than any fault lasts here, and short enough to end within the run.
  mRules.mAskWindow = 8s;
  mRules.mMaxFlows = 16;
  mRules.mMaxDirectory = 16;
  mRules.mMaxMoved = 16;
  mRules.mMaxPromises = 16;
  mRules.mMaxAsks = 16;
  mRules.mMaxMoving = 8;
  mAgents.reserve(32);
}

Duration OwnershipWorld::DrawMs(std::uint64_t aFrom, std::uint64_t aTo)
{
  return std::chrono::milliseconds(aFrom + Draw(aTo - aFrom + 1));
}

void OwnershipWorld::After(Duration aDelay, Step aStep)
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
  agent.mLastHeard = mNow;
  // Those of the beginning have run for long.
  bool isFirst = mVersion == 0;
  agent.mOwnership =
    std::make_unique<Ownership>(ToPeer(agent.mMember), agent.mMember.mService,
                                *mPolicy, mRules, isFirst ? mNow - 10s : mNow);
  mAgents.push_back(std::move(agent));
  int index = static_cast<int>(mAgents.size()) - 1;
  mCurrent.resize(std::max(mCurrent.size(), aSlot + 1));
  mCurrent[aSlot] = index;
  After(DrawMs(0, 50), [this, index] { Tick(index); });
  After(DrawMs(0, isFirst ? 0 : 100), [this, index] { Heartbeat(index); });
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

void OwnershipWorld::Network(int aFrom, int aTo, const Step& aStep)
{
  bool isCut = mCut.contains(std::minmax(aFrom, aTo));
  if (isCut || (!mCalm && Chance(mLossPercent))) {
    return;
  }
  int copies = !mCalm && !mOptions.mPlannedOnly && Chance(5) ? 2 : 1;
  for (int i = 0; i < copies; ++i) {
    bool isLate = !mCalm && Chance(5);
    After(isLate ? DrawMs(5, 300) : DrawMs(0, 3), aStep);
  }
}

int OwnershipWorld::AgentAt(const Address& aAddress) const
{
  return mCurrent[aAddress.mPort - 1];
}

/** Spreads the members as they are now; each process gets them in its time. */
void OwnershipWorld::Publish()
{
  std::vector<Member> members;
  for (std::size_t i = 0; i < mAgents.size(); ++i) {
    const Agent& it = mAgents[i];
    bool isLatest = AgentAt(it.mMember.mTunnel) == static_cast<int>(i);
    if (isLatest && !it.mIsHeldDead) {
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
    Duration delay = mVersion == 1 ? 0ms : DrawMs(0, kMostViewDelayMs);
    After(delay, [this, i, take] {
      RunOn(static_cast<int>(i), [this, i, take] { take(mAgents[i].mView); });
    });
  }
  for (std::size_t i = 0; i < mBalancers.size(); ++i) {
    Duration delay = mVersion == 1 ? 0ms : DrawMs(0, kMostViewDelayMs);
    After(delay, [this, i, take] { take(mBalancers[i].mView); });
  }
}

void OwnershipWorld::Heartbeat(int aAgent)
{
  if (!mAgents[aAgent].mAlive) {
    return;
  }
  After(400ms, [this, aAgent] { Heartbeat(aAgent); });
  Time sent = mNow;
  if (mAgents[aAgent].mPaused) {
    return;
  }
  After(DrawMs(1, 10), [this, aAgent, sent] {
    Agent& agent = mAgents[aAgent];
    agent.mLastHeard = mNow;
    if (std::exchange(agent.mIsHeldDead, false)) {
      Publish();
    }
    After(DrawMs(1, 10), [this, aAgent, sent] {
      RunOn(aAgent, [this, aAgent, sent] {
        OwnershipActions actions;
        if (mAgents[aAgent].mView) {
          mAgents[aAgent].mOwnership->OnView(mAgents[aAgent].mView, sent, mNow,
                                             actions);
        }
        Carry(aAgent, actions);
      });
    });
  });
}

void OwnershipWorld::WatchForDeaths()
{
  After(200ms, [this] { WatchForDeaths(); });
  bool changed = false;
  for (Agent& it : mAgents) {
    if (!it.mIsHeldDead && mNow - it.mLastHeard > kDeathAfter) {
      it.mIsHeldDead = true;
      it.mWasRemoved = true;
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
  After(50ms, [this, aAgent] { Tick(aAgent); });
  if (!mAgents[aAgent].mPaused) {
    OwnershipActions actions;
    mAgents[aAgent].mOwnership->Tick(mNow, actions);
    Carry(aAgent, actions);
  }
}

void OwnershipWorld::SendPacket(std::uint16_t aFlow)
{
  After(DrawMs(30, 900), [this, aFlow] { SendPacket(aFlow); });
  std::size_t at = Draw(mBalancers.size());
  Balancer& balancer = mBalancers[at];
  std::uint64_t hash = HashFlow(TestFlow(aFlow));
  auto decision = Steer(hash, balancer.mView.get(), balancer.mHints);
  const auto* target = std::get_if<SteerTarget>(&decision);
  if (target == nullptr) {
    return;
  }
  PlayBaselines(mFlows[aFlow], hash, *balancer.mView);
  PacketEvent packet;
  packet.mFlow = TestFlow(aFlow);
  packet.mService = MakeServiceId("agenda");
  packet.mHintTo.mPort = static_cast<std::uint16_t>(kBalancerPort + at);
  packet.mDirective = target->mDirective;
  int to = AgentAt(target->mMember->mTunnel);
  Network(-1, to, [this, to, packet] { Receive(to, packet); });
}

void OwnershipWorld::PlayBaselines(Flow& aFlow, std::uint64_t aHash,
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
  aFlow.mModulo.Serve(hosts[aHash % hosts.size()]);
  aFlow.mRendezvous.Serve(aView.Arbiter(aHash)->mHost);
}

void OwnershipWorld::Receive(int aAgent, PacketEvent aPacket)
{
  RunOn(aAgent, [this, aAgent, aPacket] {
    PacketEvent packet = aPacket;
    packet.mToken = ++mLastToken;
    mWaiting[packet.mToken] = { packet, aAgent, mNow };
    OwnershipActions actions;
    mAgents[aAgent].mOwnership->OnPacket(packet, mNow, actions);
    Carry(aAgent, actions);
  });
}

void OwnershipWorld::Settled(PacketToken aToken)
{
  auto it = mWaiting.find(aToken);
  if (it == mWaiting.end()) {
    Violate(Violation::Stuck);
    return;
  }
  if (mNow - it->second.mSince > 1s) {
    Violate(Violation::Stuck);
  }
  mWaiting.erase(it);
}

/** Carries out an agent's actions as its process would. */
void OwnershipWorld::Carry(int aAgent, OwnershipActions& aActions)
{
  for (OwnershipAction& action : aActions) {
    if (auto* dispatch = std::get_if<DispatchPacket>(&action)) {
      Settled(dispatch->mToken);
      OnDispatch(aAgent, *dispatch);
    } else if (auto* forward = std::get_if<ForwardPacket>(&action)) {
      PacketEvent packet = mWaiting[forward->mToken].mPacket;
      Settled(forward->mToken);
      packet.mDirective = forward->mDirective;
      packet.mHops = forward->mHops;
      packet.mArbiter = forward->mArbiter;
      packet.mEpoch = forward->mEpoch;
      int to = AgentAt(forward->mTo.mTunnel);
      Network(aAgent, to, [this, to, packet] { Receive(to, packet); });
    } else if (auto* refuse = std::get_if<RefusePacket>(&action)) {
      Settled(refuse->mToken);
      ++mResult.mRefused;
      mFlows[refuse->mFlow.mCaller.mPort].mLastServed = false;
    } else if (auto* import = std::get_if<ImportFlow>(&action)) {
      Life& life = mFlows[import->mFlow.mCaller.mPort].mLives[import->mEpoch];
      life.mHolders.insert(aAgent);
      life.mHolder = aAgent;
    } else if (auto* send = std::get_if<SendMessage>(&action)) {
      if (send->mTo.mPort >= kBalancerPort) {
        const Hint& hint = std::get<Hint>(send->mMessage);
        mBalancers[send->mTo.mPort - kBalancerPort].mHints.Put(
          HashFlow(hint.mFlow),
          { hint.mOwner.mHost, hint.mOwner.mIncarnation });
        continue;
      }
      int to = AgentAt(send->mTo);
      Network(aAgent, to, [this, to, message = send->mMessage] {
        RunOn(to, [this, to, message] {
          OwnershipActions actions;
          mAgents[to].mOwnership->OnMessage(message, mNow, actions);
          Carry(to, actions);
        });
      });
    } else if (auto* out = std::get_if<ExportFlow>(&action)) {
      int to = AgentAt(out->mTo);
      Network(aAgent, to, [this, to, message = out->mHandOff] {
        RunOn(to, [this, to, message] {
          OwnershipActions actions;
          mAgents[to].mOwnership->OnMessage(message, mNow, actions);
          Carry(to, actions);
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
    After(start, [this, port] { SendPacket(port); });
    After(start + DrawMs(0, 3), [this, port] { SendPacket(port); });
  }
  for (std::uint64_t i = 1 + Draw(4); i > 0; --i) {
    After(DrawMs(50, 6000), [this] { DrawFault(); });
  }
  After(3s, [this] { WatchForDeaths(); });
  After(kFaultTime + 1s, [this] { mCalm = true; });
  Time end = mNow + kFaultTime + kCalmTime;
  while (!mEvents.empty() && mEvents.top().mAt < end) {
    Event event = mEvents.top();
    mEvents.pop();
    mNow = event.mAt;
    event.mStep();
  }
  for (const auto& [token, waiting] : mWaiting) {
    const Agent& agent = mAgents[waiting.mAgent];
    if (agent.mAlive && !agent.mPaused && mNow - waiting.mSince > 1s) {
      Violate(Violation::Stuck);
    }
  }
  for (const auto& [port, flow] : mFlows) {
    mResult.mBrokenFlows += flow.mBroken ? 1 : 0;
    mResult.mBrokenByModulo += flow.mModulo.mBroken ? 1 : 0;
    mResult.mBrokenByRendezvous += flow.mRendezvous.mBroken ? 1 : 0;
    if (!flow.mLastServed) {
      Violate(Violation::Stuck);
    }
  }
  return mResult;
}

} // namespace heatherplank
