// Slopes for docs/CAPACITY.md: what agents and balancers spend on control.
// Counters are bytes and counts, which do not depend on the machine's load.
#include <chrono>
#include <map>
#include <memory>
#include <string>
#include <vector>

#include <benchmark/benchmark.h>

#include "bench/BenchMembers.h"
#include "src/membership/AgentMembership.h"
#include "src/membership/BalancerMembership.h"
#include "src/wire/MembershipCodec.h"

namespace heatherplank {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

class AllowAll final : public InventoryCheck
{
public:
  bool Allows(const Member&) const override { return true; }
};

const AllowAll kAllowAll;

/** Until 64 balancers that start together are at rest. */
constexpr int kSettleSeconds = 300;
/** A large service is at rest sooner, and takes long to play. */
constexpr int kShortSettleSeconds = 30;
constexpr int kManyHosts = 50;

/** Balancers and the agents of one service, messages delivered at once; counts
 * what the first of each sends and gets. */
class ControlWorld
{
public:
  ControlWorld(std::int64_t aBalancers, std::int64_t aHosts,
               std::size_t aMonitors)
  {
    BalancerMembershipOptions balancer;
    balancer.mMonitors.mCount = aMonitors;
    AgentMembershipOptions agent;
    agent.mMonitors.mCount = aMonitors;
    agent.mHeartbeatInterval = milliseconds(300);
    balancer.mSeeds = agent.mSeeds = { AddressOf(0) };
    for (std::int64_t i = 0; i < aBalancers; ++i) {
      Member self =
        MakeMember("balancer-" + std::to_string(i), BalancerService(), i);
      mBalancers[self.mControl] = std::make_unique<BalancerMembership>(
        self, kAllowAll, balancer, i + 1, mNow);
    }
    for (std::int64_t i = 0; i < aHosts; ++i) {
      Member self = MakeMember("host-" + std::to_string(i),
                               MakeServiceId("service"), kFirstHost + i);
      mAgents[self.mControl] =
        std::make_unique<AgentMembership>(self, kAllowAll, agent, i + 1, mNow);
      mAgents[self.mControl]->SetState(HostState::Serving, mNow);
    }
  }

  void Play(int aSeconds)
  {
    for (int step = 0; step < aSeconds * 20; ++step) {
      mNow += milliseconds(50);
      for (auto& [address, it] : mBalancers) {
        it->OnTick(mNow);
        Deliver(address, it->TakeActions());
      }
      for (auto& [address, it] : mAgents) {
        it->OnTick(mNow);
        Deliver(address, it->TakeActions());
      }
    }
  }

  void ResetCounts() { mOut = mIn = mMessages = 0; }

  /** The last agent begins anew: what that costs the first. */
  void RestartLast()
  {
    auto& last = mAgents.rbegin()->second;
    last->Restart(last->Self().mIncarnation + 1, mNow);
    last->SetState(HostState::Serving, mNow);
  }

  bool IsWhole() const
  {
    return mAgents.begin()->second->Peers()->mMembers.size() == mAgents.size();
  }

  /** Counts of the process at this address. */
  void Watch(const Address& aAddress) { mWatched = aAddress; }
  static Address FirstAgent() { return AddressOf(kFirstHost); }
  static Address FirstBalancer() { return AddressOf(0); }

  double mOut = 0;
  double mIn = 0;
  double mMessages = 0;

private:
  static constexpr std::int64_t kFirstHost = 100000;

  void Deliver(const Address& aFrom, const std::vector<SendMembership>& aAll)
  {
    for (const auto& it : aAll) {
      if (aFrom == mWatched || it.mTo == mWatched) {
        Tally(aFrom, it.mMessage);
      }
      auto balancer = mBalancers.find(it.mTo);
      if (balancer != mBalancers.end()) {
        balancer->second->OnMessage(it.mMessage, mNow);
        Deliver(it.mTo, balancer->second->TakeActions());
      }
      auto agent = mAgents.find(it.mTo);
      if (agent != mAgents.end()) {
        agent->second->OnMessage(it.mMessage, mNow);
        Deliver(it.mTo, agent->second->TakeActions());
      }
    }
  }

  void Tally(const Address& aFrom, const MembershipMessage& aMessage)
  {
    double bytes = static_cast<double>(
      kFrameHeaderSize + EncodeMembership(aMessage).mPayload.size());
    (aFrom == mWatched ? mOut : mIn) += bytes;
    ++mMessages;
  }

  Time mNow = Time{} + seconds(100);
  Address mWatched;
  std::map<Address, std::unique_ptr<BalancerMembership>> mBalancers;
  std::map<Address, std::unique_ptr<AgentMembership>> mAgents;
};

/** Arguments: balancers, hosts of the one service, monitors of a host (0: all
 * balancers), and whether a balancer is looked at rather than an agent. */
void ControlOfAnAgent(benchmark::State& aState)
{
  constexpr int kSeconds = 20;
  for (auto _ : aState) {
    ControlWorld world(aState.range(0), aState.range(1),
                       static_cast<std::size_t>(aState.range(2)));
    world.Play(aState.range(1) > kManyHosts ? kShortSettleSeconds
                                            : kSettleSeconds);
    world.Watch(aState.range(3) == 0 ? ControlWorld::FirstAgent()
                                     : ControlWorld::FirstBalancer());
    world.Play(kSeconds);
    double out = world.mOut / kSeconds;
    double in = world.mIn / kSeconds;
    aState.counters["out_Bps"] = out;
    aState.counters["in_Bps"] = in;
    aState.counters["messages_s"] = world.mMessages / kSeconds;
    world.ResetCounts();
    world.RestartLast();
    world.Play(kSeconds);
    aState.counters["restart_bytes"] =
      world.mOut + world.mIn - (out + in) * kSeconds;
    aState.counters["whole"] = world.IsWhole() ? 1 : 0;
  }
}
BENCHMARK(ControlOfAnAgent)
  ->ArgNames({ "balancers", "hosts", "monitors", "balancer" })
  ->Args({ 4, 5, 0, 0 })
  ->Args({ 16, 5, 0, 0 })
  ->Args({ 64, 5, 0, 0 })
  ->Args({ 16, 5, 3, 0 })
  ->Args({ 64, 5, 3, 0 })
  ->Args({ 4, 50, 3, 0 })
  ->Args({ 4, 500, 3, 0 })
  ->Args({ 4, 5, 0, 1 })
  ->Args({ 4, 50, 0, 1 })
  ->Args({ 4, 500, 0, 1 })
  ->Iterations(1)
  ->Unit(benchmark::kMillisecond);

/** The same in several data centres, one of which is lost. */
class DataCentres
{
public:
  DataCentres(int aBalancers, int aHosts, int aDataCentres,
              std::size_t aMonitors)
  {
    BalancerMembershipOptions balancer;
    balancer.mMonitors.mCount = aMonitors;
    AgentMembershipOptions agent;
    agent.mMonitors.mCount = aMonitors;
    for (int i = 0; i < aDataCentres; ++i) {
      balancer.mSeeds.push_back(AddressOf(i));
    }
    agent.mSeeds = balancer.mSeeds;
    for (int i = 0; i < aBalancers; ++i) {
      Member self =
        MakeMember("balancer-" + std::to_string(i), BalancerService(), i);
      self.mDataCentre = DataCentreOf(i % aDataCentres);
      mBalancers[self.mControl] = std::make_unique<BalancerMembership>(
        self, kAllowAll, balancer, i + 1, mNow);
      mPlace[self.mControl] = i % aDataCentres;
    }
    for (int i = 0; i < aHosts; ++i) {
      Member self = MakeMember("host-" + std::to_string(i),
                               MakeServiceId("service"), kFirstHost + i);
      self.mDataCentre = DataCentreOf(i % aDataCentres);
      auto made =
        std::make_unique<AgentMembership>(self, kAllowAll, agent, i + 1, mNow);
      made->SetState(HostState::Serving, mNow);
      mAgents[self.mControl] = std::move(made);
      mPlace[self.mControl] = i % aDataCentres;
    }
  }

  void Play(int aSeconds)
  {
    for (int step = 0; step < aSeconds * 20; ++step) {
      mNow += milliseconds(50);
      TickAll(mBalancers);
      TickAll(mAgents);
    }
  }

  void Lose(int aDataCentre)
  {
    auto isThere = [&](const auto& aIt) {
      return mPlace[aIt.first] == aDataCentre;
    };
    std::erase_if(mBalancers, isThere);
    std::erase_if(mAgents, isThere);
  }

  /** Hosts in the view of the first balancer. */
  double InView()
  {
    auto& hosts = mBalancers.begin()->second->Hosts();
    return static_cast<double>(
      hosts.View(MakeServiceId("service"))->mMembers.size());
  }

private:
  static constexpr std::int64_t kFirstHost = 100000;

  static DataCentreId DataCentreOf(int aNumber)
  {
    return MakeDataCentreId("dc-" + std::to_string(aNumber));
  }

  template<typename Nodes>
  void TickAll(Nodes& aNodes)
  {
    for (auto& [address, it] : aNodes) {
      it->OnTick(mNow);
      Deliver(it->TakeActions());
    }
  }

  template<typename Nodes>
  bool Give(Nodes& aNodes, const SendMembership& aSend)
  {
    auto found = aNodes.find(aSend.mTo);
    if (found == aNodes.end()) {
      return false;
    }
    found->second->OnMessage(aSend.mMessage, mNow);
    Deliver(found->second->TakeActions());
    return true;
  }

  void Deliver(const std::vector<SendMembership>& aAll)
  {
    for (const auto& it : aAll) {
      if (!Give(mBalancers, it)) {
        Give(mAgents, it);
      }
    }
  }

  Time mNow = Time{} + seconds(100);
  std::map<Address, std::unique_ptr<BalancerMembership>> mBalancers;
  std::map<Address, std::unique_ptr<AgentMembership>> mAgents;
  std::map<Address, int> mPlace;
};

/** Three data centres of four balancers and ten hosts; the third is lost, and
 * whoever is left is asked a minute later how many of its hosts are in view.
 * Argument: monitors of a host, 0 for all balancers. */
void LostDataCentre(benchmark::State& aState)
{
  constexpr int kBalancers = 12;
  constexpr int kHosts = 30;
  constexpr int kDataCentres = 3;
  for (auto _ : aState) {
    DataCentres world(kBalancers, kHosts, kDataCentres,
                      static_cast<std::size_t>(aState.range(0)));
    world.Play(15);
    aState.counters["before"] = world.InView();
    world.Lose(kDataCentres - 1);
    for (int second : { 5, 60 }) {
      world.Play(second == 5 ? 5 : 55);
      aState.counters["after_" + std::to_string(second) + "_s"] =
        world.InView();
    }
  }
}
BENCHMARK(LostDataCentre)
  ->Arg(0)
  ->Arg(3)
  ->Iterations(1)
  ->Unit(benchmark::kMillisecond);

} // namespace
} // namespace heatherplank
