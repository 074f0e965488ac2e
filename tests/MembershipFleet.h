#pragma once

#include <algorithm>

#include <map>
#include <memory>
#include <queue>
#include <random>
#include <set>
#include <string>
#include <vector>

#include "src/membership/AgentMembership.h"
#include "src/membership/BalancerMembership.h"
#include "src/wire/MembershipCodec.h"

namespace heatherplank {

/** Simulates balancers and agents on a manual clock, over a network that loses,
 * duplicates and reorders messages as determined by a seed. All hosts belong to
 * one service. */
class MembershipFleet
{
public:
  struct Network
  {
    /** In percent. */
    int mLost = 0;
    int mDuplicated = 0;
    int mMaxDelayMs = 3;
  };

  class AllowAll final : public InventoryCheck
  {
  public:
    bool Allows(const Member&) const override { return true; }
  };

  MembershipFleet(std::uint64_t aSeed, int aBalancers, int aAgents,
                  const BalancerMembershipOptions& aOptions = {},
                  int aDataCentres = 1, bool aAgentsWantPeers = true,
                  int aSeeds = 1000, bool aAssignsMonitors = false)
    : mRandom(aSeed)
    , mOptions(aOptions)
    , mDataCentres(aDataCentres)
  {
    mAgentOptions.mHeartbeatInterval = aOptions.mHeartbeatInterval;
    mAgentOptions.mMonitors = aOptions.mMonitors;
    mAgentOptions.mWantsPeers = aAgentsWantPeers;
    mAgentOptions.mAcceptsAssignment = aAssignsMonitors;
    for (int i = 0; i < std::min(aBalancers, aSeeds); ++i) {
      mOptions.mSeeds.push_back(AddressOf(i));
    }
    mAgentOptions.mSeeds = mOptions.mSeeds;
    for (int i = 0; i < aBalancers; ++i) {
      AddBalancer(i);
    }
    for (int i = 0; i < aAgents; ++i) {
      AddAgent(i);
    }
  }

  static ServiceId Service() { return MakeServiceId("agenda"); }
  static constexpr int kAgentPorts = 10000;

  static Address AddressOf(int aPort)
  {
    Address address;
    address.mIp[15] = 1;
    address.mPort = static_cast<std::uint16_t>(aPort + 1);
    return address;
  }

  /** Sets the incarnation of the next process to start; later processes count
   * up from it. */
  void SetNextIncarnation(Incarnation aNext) { mNextIncarnation = aNext; }

  void AddBalancer(int aIndex)
  {
    Member self;
    self.mHost = MakeHostId("balancer-" + std::to_string(aIndex));
    self.mIncarnation = mNextIncarnation++;
    self.mControl = AddressOf(aIndex);
    self.mDataCentre = DataCentreOf(aIndex);
    mBalancers[aIndex] = std::make_unique<BalancerMembership>(
      self, mAllowAll, mOptions, mRandom(), mNow);
  }

  void AddAgent(int aIndex)
  {
    Member self;
    self.mHost = MakeHostId("host-" + std::to_string(aIndex));
    self.mService = Service();
    self.mIncarnation = mNextIncarnation++;
    self.mControl = AddressOf(kAgentPorts + aIndex);
    self.mDataCentre = DataCentreOf(aIndex);
    mAgents[aIndex] = std::make_unique<AgentMembership>(
      self, mAllowAll, mAgentOptions, mRandom(), mNow);
    mAgents[aIndex]->SetState(HostState::Serving, mNow);
  }

  /** Processes are assigned to the data centres round robin. */
  DataCentreId DataCentreOf(int aIndex) const
  {
    return MakeDataCentreId("dc-" + std::to_string(aIndex % mDataCentres));
  }

  /** Runs all processes that are not stalled, in steps of 50 ms. */
  void Run(Duration aDuration)
  {
    for (Time end = mNow + aDuration; mNow < end;) {
      mNow += std::chrono::milliseconds(50);
      for (auto& [index, it] : mBalancers) {
        if (!mStalled.contains(index)) {
          it->OnTick(mNow);
          SendAll(index, it->TakeActions());
        }
      }
      for (auto& [index, it] : mAgents) {
        if (!mStalled.contains(kAgentPorts + index)) {
          it->OnTick(mNow);
          SendAll(kAgentPorts + index, it->TakeActions());
        }
      }
      Deliver();
    }
  }

  /** Returns the hosts in a balancer's view that are not Leaving, in order. */
  std::vector<HostId> ViewAt(int aBalancer)
  {
    std::vector<HostId> out;
    for (const Member& it :
         mBalancers.at(aBalancer)->Hosts().View(Service())->mMembers) {
      if (it.mState != HostState::Leaving) {
        out.push_back(it.mHost);
      }
    }
    return out;
  }

  /** Returns the number of hosts in a balancer's view that are Leaving. */
  std::size_t LeavingAt(int aBalancer)
  {
    auto view = mBalancers.at(aBalancer)->Hosts().View(Service());
    return view->mMembers.size() - CountNotLeaving(*view);
  }

  static std::size_t CountNotLeaving(const MemberView& aView)
  {
    return static_cast<std::size_t>(std::count_if(
      aView.mMembers.begin(), aView.mMembers.end(),
      [](const Member& aIt) { return aIt.mState != HostState::Leaving; }));
  }

  /** The most bytes that one process has sent. */
  std::uint64_t MostSent() const
  {
    std::uint64_t out = 0;
    for (const auto& [port, bytes] : mSentBy) {
      out = std::max(out, bytes);
    }
    return out;
  }

  /** Runs until every balancer has all hosts in view; returns the time taken,
   * at most aTimeout. */
  Duration TimeUntilAllInView(std::size_t aHosts, Duration aTimeout)
  {
    Time began = mNow;
    auto hasAll = [&](const auto& aIt) {
      return aIt.second->Hosts().Size() == aHosts;
    };
    while (mNow - began < aTimeout &&
           !std::ranges::all_of(mBalancers, hasAll)) {
      Run(std::chrono::milliseconds(50));
    }
    return mNow - began;
  }

  /** Returns true if all processes hold the same aMembers members. */
  bool HasConverged(std::size_t aMembers)
  {
    std::uint64_t digest =
      mBalancers.begin()->second->Hosts().ServiceDigest(Service());
    bool same = true;
    for (auto& [index, it] : mBalancers) {
      same = same && it->Hosts().ServiceDigest(Service()) == digest &&
             it->Hosts().Size() == aMembers;
    }
    for (auto& [index, it] : mAgents) {
      same = same && CountNotLeaving(*it->Peers()) == aMembers;
    }
    return same;
  }

  Network mNetwork;
  std::map<int, std::unique_ptr<BalancerMembership>> mBalancers;
  std::map<int, std::unique_ptr<AgentMembership>> mAgents;
  /** Ports whose process is stalled: messages to it are delivered later. */
  std::set<int> mStalled;
  /** Pairs of ports between which all messages are dropped. */
  std::set<std::pair<int, int>> mBlockedLinks;
  std::uint64_t mBytes = 0;
  /** Bytes sent by each port. */
  std::map<int, std::uint64_t> mSentBy;
  Time mNow = Time{} + std::chrono::hours(1);
  std::mt19937_64 mRandom;

private:
  struct Envelope
  {
    Time mAt;
    std::uint64_t mOrder;
    int mTo;
    MembershipMessage mMessage;
    bool operator>(const Envelope& aOther) const
    {
      return std::tie(mAt, mOrder) > std::tie(aOther.mAt, aOther.mOrder);
    }
  };

  void SendAll(int aFrom, const std::vector<SendMembership>& aActions)
  {
    for (const SendMembership& it : aActions) {
      std::size_t bytes = std::visit(
        [](const auto& aMessage) { return EncodePayload(aMessage).size(); },
        it.mMessage);
      mBytes += bytes;
      mSentBy[aFrom] += bytes;
      int to = it.mTo.mPort - 1;
      int copies = HappensWithPercent(mNetwork.mDuplicated) ? 2 : 1;
      bool blocked = mBlockedLinks.contains({ aFrom, to }) ||
                     mBlockedLinks.contains({ to, aFrom });
      for (; copies > 0 && !blocked; --copies) {
        auto delay = std::chrono::milliseconds(
          mRandom() % static_cast<unsigned>(mNetwork.mMaxDelayMs));
        if (!HappensWithPercent(mNetwork.mLost)) {
          mInFlight.push({ mNow + delay, mOrder++, to, it.mMessage });
        }
      }
    }
  }

  bool HappensWithPercent(int aPercent)
  {
    return static_cast<int>(mRandom() % 100) < aPercent;
  }

  void Deliver()
  {
    std::vector<Envelope> deferred;
    while (!mInFlight.empty() && mInFlight.top().mAt <= mNow) {
      Envelope next = mInFlight.top();
      mInFlight.pop();
      if (mStalled.contains(next.mTo)) {
        deferred.push_back(next);
      } else {
        Dispatch(next);
      }
    }
    for (Envelope& it : deferred) {
      mInFlight.push(std::move(it));
    }
  }

  void Dispatch(const Envelope& aNext)
  {
    auto balancer = mBalancers.find(aNext.mTo);
    if (balancer != mBalancers.end()) {
      balancer->second->OnMessage(aNext.mMessage, mNow);
      SendAll(aNext.mTo, balancer->second->TakeActions());
      return;
    }
    auto agent = mAgents.find(aNext.mTo - kAgentPorts);
    if (agent != mAgents.end()) {
      agent->second->OnMessage(aNext.mMessage, mNow);
      SendAll(aNext.mTo, agent->second->TakeActions());
    }
  }

  AllowAll mAllowAll;
  BalancerMembershipOptions mOptions;
  AgentMembershipOptions mAgentOptions;
  const int mDataCentres;
  Incarnation mNextIncarnation = 1;
  std::uint64_t mOrder = 0;
  std::priority_queue<Envelope, std::vector<Envelope>, std::greater<>>
    mInFlight;
};

} // namespace heatherplank
