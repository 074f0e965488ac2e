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

/** Balancers and agents on a paused clock, over a network that loses, doubles
 * and reorders messages by seed. All hosts are of one service. */
class MembershipFleet
{
public:
  struct Network
  {
    /** In percent. */
    int mLost = 0;
    int mDoubled = 0;
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
                  int aSeeds = 1000)
    : mRandom(aSeed)
    , mOptions(aOptions)
    , mDataCentres(aDataCentres)
  {
    mAgentOptions.mHeartbeatEvery = aOptions.mHeartbeatEvery;
    mAgentOptions.mMonitors = aOptions.mMonitors;
    mAgentOptions.mWantsPeers = aAgentsWantPeers;
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

  /** What the clock says when the next process starts. */
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

  /** Processes are dealt out to the data centres in turn. */
  DataCentreId DataCentreOf(int aIndex) const
  {
    return MakeDataCentreId("dc-" + std::to_string(aIndex % mDataCentres));
  }

  /** Moves the clock by steps of 50 ms. */
  void Run(Duration aFor)
  {
    for (Time end = mNow + aFor; mNow < end;) {
      mNow += std::chrono::milliseconds(50);
      for (auto& [index, it] : mBalancers) {
        if (!mFrozen.contains(index)) {
          it->OnTick(mNow);
          Post(index, it->TakeActions());
        }
      }
      for (auto& [index, it] : mAgents) {
        if (!mFrozen.contains(kAgentPorts + index)) {
          it->OnTick(mNow);
          Post(kAgentPorts + index, it->TakeActions());
        }
      }
      Deliver();
    }
  }

  /** The members in a balancer's view that have not left, in order. */
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

  /** Members in a balancer's view that are shown as having left. */
  std::size_t LeavingAt(int aBalancer)
  {
    auto view = mBalancers.at(aBalancer)->Hosts().View(Service());
    return view->mMembers.size() - CountStaying(*view);
  }

  static std::size_t CountStaying(const MemberView& aView)
  {
    return static_cast<std::size_t>(std::count_if(
      aView.mMembers.begin(), aView.mMembers.end(),
      [](const Member& aIt) { return aIt.mState != HostState::Leaving; }));
  }

  /** True if all balancers and agents hold the same members. */
  bool Agrees(std::size_t aMembers)
  {
    std::uint64_t digest =
      mBalancers.begin()->second->Hosts().ServiceDigest(Service());
    bool same = true;
    for (auto& [index, it] : mBalancers) {
      same = same && it->Hosts().ServiceDigest(Service()) == digest &&
             it->Hosts().Size() == aMembers;
    }
    for (auto& [index, it] : mAgents) {
      same = same && CountStaying(*it->Peers()) == aMembers;
    }
    return same;
  }

  Network mNetwork;
  std::map<int, std::unique_ptr<BalancerMembership>> mBalancers;
  std::map<int, std::unique_ptr<AgentMembership>> mAgents;
  /** Ports whose process is frozen: messages wait for it. */
  std::set<int> mFrozen;
  /** Pairs of ports that do not reach each other. */
  std::set<std::pair<int, int>> mCut;
  std::uint64_t mBytes = 0;
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

  void Post(int aFrom, const std::vector<SendMembership>& aActions)
  {
    for (const SendMembership& it : aActions) {
      mBytes += std::visit(
        [](const auto& aMessage) { return EncodePayload(aMessage).size(); },
        it.mMessage);
      int to = it.mTo.mPort - 1;
      int copies = Chance(mNetwork.mDoubled) ? 2 : 1;
      bool cut = mCut.contains({ aFrom, to }) || mCut.contains({ to, aFrom });
      for (; copies > 0 && !cut; --copies) {
        auto delay = std::chrono::milliseconds(
          mRandom() % static_cast<unsigned>(mNetwork.mMaxDelayMs));
        if (!Chance(mNetwork.mLost)) {
          mPost.push({ mNow + delay, mOrder++, to, it.mMessage });
        }
      }
    }
  }

  bool Chance(int aPercent)
  {
    return static_cast<int>(mRandom() % 100) < aPercent;
  }

  void Deliver()
  {
    std::vector<Envelope> held;
    while (!mPost.empty() && mPost.top().mAt <= mNow) {
      Envelope next = mPost.top();
      mPost.pop();
      if (mFrozen.contains(next.mTo)) {
        held.push_back(next);
      } else {
        Hand(next);
      }
    }
    for (Envelope& it : held) {
      mPost.push(std::move(it));
    }
  }

  void Hand(const Envelope& aNext)
  {
    auto balancer = mBalancers.find(aNext.mTo);
    if (balancer != mBalancers.end()) {
      balancer->second->OnMessage(aNext.mMessage, mNow);
      Post(aNext.mTo, balancer->second->TakeActions());
      return;
    }
    auto agent = mAgents.find(aNext.mTo - kAgentPorts);
    if (agent != mAgents.end()) {
      agent->second->OnMessage(aNext.mMessage, mNow);
      Post(aNext.mTo, agent->second->TakeActions());
    }
  }

  AllowAll mAllowAll;
  BalancerMembershipOptions mOptions;
  AgentMembershipOptions mAgentOptions;
  const int mDataCentres;
  Incarnation mNextIncarnation = 1;
  std::uint64_t mOrder = 0;
  std::priority_queue<Envelope, std::vector<Envelope>, std::greater<>> mPost;
};

} // namespace heatherplank
