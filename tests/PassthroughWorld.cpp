#include "tests/PassthroughWorld.h"

#include <algorithm>

#include "lab/soak/PacketMaker.h"
#include "src/net/Endpoint.h"

namespace heatherplank {

using namespace std::chrono_literals;
using lab::kAck;
using lab::kFin;
using lab::kSyn;
using lab::MakePacket;

namespace {

constexpr int kBalancers = 3;
constexpr int kHostsOfOne = 4;
constexpr int kHostsOfOther = 2;
constexpr auto kTroubleFor = 2500ms;
constexpr auto kCalmAfter = 4000ms;
constexpr auto kBeatEvery = 300ms;
/** A packet may be on its way from the agent to the host as it leaves. */
constexpr auto kOnTheWay = 5ms;

Address At4(const char* aPrefix, std::size_t aIndex, std::uint16_t aPort)
{
  return *ParseAddress(aPrefix + std::to_string(aIndex + 1) + ":" +
                       std::to_string(aPort));
}

const Address kRouteOne = *ParseAddress("198.18.0.1:80");
const Address kRouteOther = *ParseAddress("198.18.0.2:80");

} // namespace

/** A host: opens a flow for each SYN, answers each request. */
struct PassthroughWorld::Host
{
  struct Flow
  {
    std::uint32_t mSequence = 0;
    bool mOpen = false;
  };
  bool mAlive = true;
  std::string mId;
  std::string mService;
  std::int64_t mStartedAt = 0;
  std::uint64_t mBeats = 0;
  HostPhase mPhase = HostPhase::Ready;
  /** When its agent acknowledged that it leaves. */
  std::optional<Time> mLeftAt;
  std::map<FlowKey, Flow> mFlows;
};

struct PassthroughWorld::Balancer final : FlowSteeringOutput
{
  PassthroughWorld* mWorld = nullptr;
  Address mTunnel;
  std::unique_ptr<FlowSteering> mSteering;
  bool mFrozen = false;
  std::vector<std::function<void()>> mHeld;

  /** Runs now, or when it wakes. */
  void Do(std::function<void()> aWhat)
  {
    if (mFrozen) {
      mHeld.push_back(std::move(aWhat));
    } else {
      aWhat();
    }
  }

  void Wake()
  {
    mFrozen = false;
    mSteering->OnStandstill(mWorld->mClock.Now());
    for (auto& it : std::exchange(mHeld, {})) {
      it();
    }
  }

  void Start()
  {
    mFrozen = false;
    mHeld.clear();
    mSteering = std::make_unique<FlowSteering>(
      FlowSteering::Options{ mTunnel, MakeDataCentreId("z"), 64 },
      mWorld->mPackets, *this);
    mSteering->SetInventory(mWorld->mInventory);
    mWorld->GiveViews(*this);
  }

  void Steer(const Address& aAgent, const SteeredPacket& aPacket) override
  {
    mWorld->ToAgent(aAgent, aPacket, nullptr);
  }
  void ToCaller(const Address& aCaller, ByteView aPacket) override
  {
    mWorld->ToCaller(aCaller, { aPacket.begin(), aPacket.end() });
  }
  void Placed(Duration) override {}
};

struct PassthroughWorld::Agent final : HostFlowsOutput
{
  PassthroughWorld* mWorld = nullptr;
  std::size_t mIndex = 0;
  Address mTunnel;
  std::string mService;
  std::unique_ptr<HostFlows> mFlows;
  std::shared_ptr<Host> mHost;
  bool mFrozen = false;
  std::vector<std::function<void()>> mHeld;
  std::set<std::size_t> mCutFrom;

  void Start()
  {
    HostFlows::Options options;
    options.mHost = MakeHostId("host-" + std::to_string(mIndex));
    options.mSelf = mTunnel;
    options.mService = MakeServiceId(mService);
    options.mMaxFlows = 256;
    options.mSilentAfter = 3 * kBeatEvery;
    options.mGuards = mWorld->mOptions.mGuards;
    mFlows = std::make_unique<HostFlows>(options, mWorld->mPackets, *this,
                                         mWorld->mClock.Now());
  }

  /** Runs now, when it wakes, or never if it was killed meanwhile. */
  void Do(std::function<void()> aWhat)
  {
    if (mFrozen) {
      mHeld.push_back(std::move(aWhat));
    } else if (mFlows) {
      aWhat();
    }
  }

  HostState State() const
  {
    Time now = mWorld->mClock.Now();
    if (!mFlows || !mFlows->Host().IsHeard(now) ||
        mFlows->Host().Phase() == HostPhase::Gone) {
      return HostState::Leaving;
    }
    return mFlows->Host().Phase() == HostPhase::Draining ? HostState::Draining
                                                         : HostState::Serving;
  }

  void ToHost(ByteView aPacket) override
  {
    mWorld->ToHost(*this, { aPacket.begin(), aPacket.end() });
  }
  void ToCaller(const Address& aCaller, ByteView aPacket) override
  {
    mWorld->ToCaller(aCaller, { aPacket.begin(), aPacket.end() });
  }
  void Steer(const Address& aTo, const SteeredPacket& aPacket) override
  {
    if (aPacket.mPurpose != SteerPurpose::NotHere) {
      mWorld->ToAgent(aTo, aPacket, this);
      return;
    }
    Time now = mWorld->mClock.Now();
    mWorld->ToBalancer(aTo, [aPacket, now](Balancer& aIt) {
      aIt.mSteering->OnNotHere(aPacket, now);
    });
  }
  void Measured(HostTiming, Duration) override {}
  void Report(const Address& aBalancer, const PlacementReport& aReport) override
  {
    mWorld->ToBalancer(aBalancer, [aReport](Balancer& aIt) {
      aIt.mSteering->OnReport(aReport, aIt.mWorld->mClock.Now());
    });
  }
};

/** A caller of one flow: opens it, sends one request until it is answered. */
struct PassthroughWorld::Caller
{
  FlowKey mFlow;
  std::string mService;
  bool mEnded = false;
  bool mAccepted = false;
  bool mAnswered = false;
  std::uint32_t mHostSequence = 0;
  /** The host that opened the flow. */
  std::weak_ptr<Host> mHost;
  std::set<Bytes> mSent;
  int mReceivedByHost = 0;
};

PassthroughWorld::PassthroughWorld(const Options& aOptions)
  : mOptions(aOptions)
  , mRandom(aOptions.mSeed)
{
  auto inventory = std::make_shared<FlowInventory>();
  inventory->mVersion = 1;
  inventory->mRoutes[kRouteOne].mShares = { { MakeServiceId("one"), 1 } };
  inventory->mRoutes[kRouteOther].mShares = { { MakeServiceId("other"), 1 } };
  mInventory = inventory;
  for (std::size_t i = 0; i < kHostsOfOne + kHostsOfOther; ++i) {
    auto agent = std::make_unique<Agent>();
    agent->mWorld = this;
    agent->mIndex = i;
    agent->mTunnel = At4("10.0.1.", i, 7000);
    agent->mService = i < kHostsOfOne ? "one" : "other";
    agent->Start();
    mAgents.push_back(std::move(agent));
    StartHost(*mAgents.back(), i < kHostsOfOne ? "one" : "other");
  }
  for (std::size_t i = 0; i < kBalancers; ++i) {
    auto balancer = std::make_unique<Balancer>();
    balancer->mWorld = this;
    balancer->mTunnel = At4("10.0.2.", i, 7000);
    mBalancers.push_back(std::move(balancer));
    mBalancers.back()->Start();
  }
}

PassthroughWorld::~PassthroughWorld() = default;

void PassthroughWorld::At(Duration aAfter, std::function<void()> aWhat)
{
  mEvents.emplace(mClock.Now() + aAfter, std::move(aWhat));
}

double PassthroughWorld::Chance()
{
  return std::uniform_real_distribution<double>(0, 1)(mRandom);
}

std::uint64_t PassthroughWorld::Pick(std::uint64_t aBelow)
{
  return mRandom() % aBelow;
}

Duration PassthroughWorld::Between(int aFromMs, int aToMs)
{
  return std::chrono::microseconds(
    std::int64_t{ 1000 } * aFromMs +
    static_cast<std::int64_t>(Chance() * 1000 * (aToMs - aFromMs)));
}

void PassthroughWorld::Send(std::function<void()> aDeliver)
{
  if (!mCalm && Chance() < 0.02) {
    return;
  }
  if (!mCalm && Chance() < 0.02) {
    At(Between(0, 30), aDeliver);
  }
  At(Between(0, 2), std::move(aDeliver));
}

void PassthroughWorld::PlayUntil(Time aEnd)
{
  while (!mEvents.empty() && mEvents.begin()->first <= aEnd) {
    auto event = mEvents.extract(mEvents.begin());
    mClock.Advance(event.key() - mClock.Now());
    event.mapped()();
  }
  mClock.Advance(aEnd - mClock.Now());
}

void PassthroughWorld::Violated(std::string aWhat)
{
  mViolations.push_back("seed " + std::to_string(mOptions.mSeed) + ": " +
                        std::move(aWhat));
}

void PassthroughWorld::StartHost(Agent& aAgent, const char* aService)
{
  auto host = std::make_shared<Host>();
  host->mId = "i-" + std::to_string(aAgent.mIndex);
  host->mService = aService;
  host->mStartedAt = mNextLife++;
  aAgent.mHost = host;
  Announce(aAgent);
}

void PassthroughWorld::Announce(Agent& aAgent)
{
  auto host = aAgent.mHost;
  HostAnnouncement beat;
  beat.mId = host->mId;
  beat.mStartedAt = host->mStartedAt;
  beat.mSequence = ++host->mBeats;
  beat.mPhase = host->mPhase;
  beat.mSlots = 2;
  aAgent.Do([this, &aAgent, host, beat] {
    if (beat.mPhase == HostPhase::Draining && !host->mLeftAt) {
      host->mLeftAt = mClock.Now();
    }
    HostState before = aAgent.State();
    // Agents take calls of hosts of their own service only.
    if (host->mService == aAgent.mService) {
      aAgent.mFlows->OnAnnouncement(beat, mClock.Now());
    }
    if (aAgent.State() != before) {
      ViewsChanged();
    }
  });
  At(kBeatEvery, [this, &aAgent, host] {
    if (host->mAlive && aAgent.mHost == host) {
      Announce(aAgent);
    }
  });
}

void PassthroughWorld::ViewsChanged()
{
  for (auto& it : mBalancers) {
    At(Between(0, 400), [this, &it] { GiveViews(*it); });
  }
}

void PassthroughWorld::GiveViews(Balancer& aBalancer)
{
  std::vector<MemberViewPtr> views;
  std::vector<ServiceId> services;
  ++mVersion;
  for (const char* service : { "one", "other" }) {
    auto view = std::make_shared<MemberView>();
    view->mVersion = mVersion;
    for (const auto& it : mAgents) {
      Member member;
      member.mHost = MakeHostId("host-" + std::to_string(it->mIndex));
      member.mService = MakeServiceId(it->mService);
      member.mState = it->State();
      member.mTunnel = it->mTunnel;
      // A process that is down for a moment stays in view until it is missed.
      if (!it->mFlows || !it->mFlows->Host().IsHeard(mClock.Now())) {
        member.mState =
          it->mHost->mAlive ? HostState::Draining : HostState::Leaving;
      }
      if (it->mService == service) {
        view->mMembers.push_back(member);
      }
    }
    std::sort(view->mMembers.begin(), view->mMembers.end(),
              [](const Member& aLeft, const Member& aRight) {
                return aLeft.mHost < aRight.mHost;
              });
    views.push_back(view);
    services.push_back(MakeServiceId(service));
  }
  aBalancer.mSteering->SetViews(views, services);
}

void PassthroughWorld::PlanFault()
{
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

void PassthroughWorld::OnCallerPacket(Bytes aPacket)
{
  Balancer& balancer = *mBalancers[Pick(mBalancers.size())];
  Send([this, &balancer, packet = std::move(aPacket)] {
    balancer.Do([this, &balancer, packet] { Offer(balancer, packet); });
  });
}

void PassthroughWorld::Offer(Balancer& aBalancer, const Bytes& aPacket)
{
  aBalancer.mSteering->OnPacket(aPacket, mClock.Now());
  if (auto next = aBalancer.mSteering->NextAt()) {
    At(*next - mClock.Now(), [this, &aBalancer] {
      if (!aBalancer.mFrozen) {
        aBalancer.mSteering->OnTick(mClock.Now());
      }
    });
  }
}

void PassthroughWorld::ToAgent(const Address& aTo, const SteeredPacket& aPacket,
                               const Agent* aFrom)
{
  for (auto& it : mAgents) {
    bool cut = aFrom != nullptr && aFrom->mCutFrom.contains(it->mIndex);
    if (it->mTunnel == aTo && !cut) {
      Send([this, &agent = *it, aPacket] {
        agent.Do([this, &agent, aPacket] {
          agent.mFlows->OnSteered(aPacket, mClock.Now());
        });
      });
    }
  }
}

void PassthroughWorld::ToBalancer(const Address& aTo,
                                  std::function<void(Balancer&)> aWhat)
{
  for (auto& it : mBalancers) {
    if (it->mTunnel == aTo) {
      Send([&balancer = *it, what = std::move(aWhat)] {
        balancer.Do([&balancer, what] { what(balancer); });
      });
      return;
    }
  }
}

void PassthroughWorld::ToHost(Agent& aAgent, Bytes aPacket)
{
  auto host = aAgent.mHost;
  At(20us, [this, &aAgent, host, packet = std::move(aPacket)] {
    if (!host->mAlive || aAgent.mHost != host) {
      return;
    }
    auto read = mPackets.Parse(packet);
    Bytes plain = packet;
    mPackets.Tag(plain, 0);
    bool asked =
      std::any_of(mCallers.begin(), mCallers.end(),
                  [&](const auto& aIt) { return aIt->mSent.contains(plain); });
    if (!read || !asked) {
      Violated("a host got a packet that no caller wrote");
      return;
    }
    if (read->mSyn) {
      HostOpens(aAgent, *read);
    } else {
      HostContinues(aAgent, *read, packet);
    }
  });
}

void PassthroughWorld::HostOpens(Agent& aAgent, const FlowPacket& aPacket)
{
  Host& host = *aAgent.mHost;
  FlowKey flow = aPacket.FlowFromCaller();
  auto [it, isNew] = host.mFlows.try_emplace(flow);
  if (isNew) {
    it->second.mSequence = mNextSequence += 1000000;
    const char* wanted = flow.mService == kRouteOne ? "one" : "other";
    if (host.mService != wanted) {
      Violated("a host of " + host.mService + " got a flow of " + wanted);
    }
    if (host.mLeftAt && mClock.Now() > *host.mLeftAt + kOnTheWay) {
      Violated("a leaving host got a new flow");
    }
  }
  FromHost(aAgent, MakePacket(flow.mService, flow.mCaller, kSyn | kAck,
                              it->second.mSequence, 1, 0));
}

void PassthroughWorld::HostContinues(Agent& aAgent, const FlowPacket& aPacket,
                                     Bytes aBytes)
{
  Host& host = *aAgent.mHost;
  FlowKey flow = aPacket.FlowFromCaller();
  auto it = host.mFlows.find(flow);
  bool holds = it != host.mFlows.end() &&
               aPacket.mAcknowledged - it->second.mSequence <= 1000;
  if (!holds) {
    FromHost(aAgent, lab::MakeBounced(std::move(aBytes)));
    return;
  }
  for (auto& caller : mCallers) {
    if (caller->mFlow == flow) {
      caller->mHost = aAgent.mHost;
      ++caller->mReceivedByHost;
    }
  }
  if (!it->second.mOpen) {
    it->second.mOpen = true;
    ++mOpened;
  }
  if (aPacket.mDataLength > 0) {
    At(Between(5, 40), [this, &aAgent, host = aAgent.mHost, flow,
                        sequence = it->second.mSequence] {
      if (host->mAlive && aAgent.mHost == host) {
        FromHost(aAgent, MakePacket(flow.mService, flow.mCaller, kAck,
                                    sequence + 1, 6, 10));
      }
    });
  }
}

void PassthroughWorld::FromHost(Agent& aAgent, Bytes aPacket)
{
  At(20us, [this, &aAgent, packet = std::move(aPacket)] {
    aAgent.Do([this, &aAgent, packet] {
      aAgent.mFlows->OnHostPacket(packet, mClock.Now());
    });
  });
}

PassthroughWorld::Host* PassthroughWorld::HostOf(const Caller& aCaller)
{
  auto host = aCaller.mHost.lock();
  if (!host || !host->mAlive) {
    return nullptr;
  }
  bool isThere =
    std::any_of(mAgents.begin(), mAgents.end(),
                [&](const auto& aIt) { return aIt->mHost == host; });
  return isThere ? host.get() : nullptr;
}

void PassthroughWorld::ToCaller(const Address& aCaller, Bytes aPacket)
{
  Send([this, aCaller, packet = std::move(aPacket)] {
    auto read = mPackets.Parse(packet);
    for (auto& it : mCallers) {
      if (it->mFlow.mCaller != aCaller || it->mEnded) {
        continue;
      }
      if (read->mReset) {
        if (HostOf(*it) != nullptr) {
          Violated("a caller got a reset while its host holds the flow");
        }
        it->mEnded = true;
      } else if (read->mSyn && !it->mAccepted) {
        it->mAccepted = true;
        it->mHostSequence = read->mSequence;
        SendRequest(*it, 6, 200ms);
      } else if (read->mDataLength > 0 && !it->mAnswered) {
        it->mAnswered = true;
        ++mAnswered;
      }
    }
  });
}

void PassthroughWorld::StartCaller(Caller& aCaller)
{
  SendSyn(aCaller, 0);
  for (auto [after, copy] : { std::pair{ 200ms, 1U }, { 600ms, 2U } }) {
    At(after, [this, &aCaller, copy = copy] {
      if (!aCaller.mAccepted && !aCaller.mEnded) {
        SendSyn(aCaller, copy);
      }
    });
  }
  At(1400ms, [&aCaller] { aCaller.mEnded |= !aCaller.mAccepted; });
}

void PassthroughWorld::SendSyn(Caller& aCaller, std::uint32_t aCopy)
{
  SendFromCaller(aCaller,
                 MakePacket(aCaller.mFlow.mCaller, aCaller.mFlow.mService, kSyn,
                            0, aCopy, 0));
}

void PassthroughWorld::SendRequest(Caller& aCaller, int aTries,
                                   Duration aAgainAfter)
{
  if (aCaller.mAnswered || aCaller.mEnded || aTries == 0) {
    return;
  }
  SendFromCaller(aCaller,
                 MakePacket(aCaller.mFlow.mCaller, aCaller.mFlow.mService, kAck,
                            1, aCaller.mHostSequence + 1, 5));
  At(aAgainAfter, [this, &aCaller, aTries, aAgainAfter] {
    SendRequest(aCaller, aTries - 1,
                std::min<Duration>(2 * aAgainAfter, 1600ms));
  });
}

void PassthroughWorld::SendFromCaller(Caller& aCaller, Bytes aPacket)
{
  aCaller.mSent.insert(aPacket);
  OnCallerPacket(std::move(aPacket));
}

/** Every flow that is open at a living host is found from every balancer. */
void PassthroughWorld::CheckCalm()
{
  for (auto& it : mCallers) {
    Host* host = HostOf(*it);
    if (host == nullptr || it->mEnded) {
      continue;
    }
    it->mReceivedByHost = 0;
    SendFromCaller(*it, MakePacket(it->mFlow.mCaller, it->mFlow.mService,
                                   kAck | kFin, 6, it->mHostSequence + 1, 0));
  }
  PlayUntil(mClock.Now() + 1s);
  for (auto& it : mCallers) {
    if (HostOf(*it) != nullptr && !it->mEnded && it->mReceivedByHost == 0) {
      Violated("a packet of an open flow did not reach its host");
    }
  }
}

std::vector<std::string> PassthroughWorld::Run()
{
  for (int i = 0; i < mOptions.mCallers; ++i) {
    auto caller = std::make_unique<Caller>();
    caller->mFlow.mCaller =
      At4("100.64.0.", static_cast<std::size_t>(i), 40000);
    bool one = Chance() < 0.7;
    caller->mFlow.mService = one ? kRouteOne : kRouteOther;
    mCallers.push_back(std::move(caller));
    At(Between(0, 2300), [this, &it = *mCallers.back()] { StartCaller(it); });
  }
  for (int i = 0; i < mOptions.mFaults; ++i) {
    PlanFault();
  }
  Time end = mClock.Now() + kTroubleFor;
  while (mClock.Now() < end) {
    PlayUntil(mClock.Now() + 50ms);
    for (auto& it : mAgents) {
      it->Do([this, &agent = *it] { agent.mFlows->OnTick(mClock.Now()); });
    }
  }
  mCalm = true;
  PlayUntil(mClock.Now() + kCalmAfter);
  ViewsChanged();
  PlayUntil(mClock.Now() + 1s);
  CheckCalm();
  return mViolations;
}

} // namespace heatherplank
