// Hosts, and what balancers hear of them.
#include "tests/PassthroughWorldParts.h"

namespace heatherplank {

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
      TellDrained(aAgent);
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
      member.mDataCentre = DataCentreOf(it->mIndex);
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
    if (IsLongDrained(aAgent)) {
      Violated("a host of a drained data centre got a new flow");
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

} // namespace heatherplank
