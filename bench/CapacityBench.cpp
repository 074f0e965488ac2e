// Slopes for docs/CAPACITY.md: what state holds, and what messages weigh. All
// counters are bytes or counts, which do not depend on the machine's load.
#include <malloc.h>

#include <algorithm>
#include <chrono>
#include <map>
#include <memory>
#include <string>
#include <vector>

#include <benchmark/benchmark.h>

#include "src/balancer/RouteTable.h"
#include "src/config/ConfigurationStore.h"
#include "src/membership/AgentMembership.h"
#include "src/membership/BalancerMembership.h"
#include "src/record/GrantShard.h"
#include "src/status/StatusObject.h"
#include "src/steer/HintCache.h"
#include "src/steer/Ownership.h"
#include "src/wire/LoadCodec.h"
#include "src/wire/MembershipCodec.h"
#include "src/wire/PacketCodec.h"
#include "src/wire/StatusCodec.h"
#include "src/wire/SteerCodec.h"
#include "tests/ConfigWorld.h"
#include "tests/FakeObjectStore.h"

namespace heatherplank {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr int kHostsOfAService = 5;

std::size_t HeldBytes()
{
  auto info = mallinfo2();
  return info.uordblks + info.hblkhd;
}

double PerItem(std::size_t aBytes, std::int64_t aItems)
{
  return static_cast<double>(aBytes) / static_cast<double>(aItems);
}

Address AddressOf(std::int64_t aNumber)
{
  Address address;
  address.mIp[12] = static_cast<std::uint8_t>(aNumber >> 16);
  address.mIp[13] = static_cast<std::uint8_t>(aNumber >> 8);
  address.mIp[14] = static_cast<std::uint8_t>(aNumber);
  address.mPort = 80;
  return address;
}

Member MakeMember(const std::string& aName, ServiceId aService,
                  std::int64_t aNumber)
{
  Member member;
  member.mHost = MakeHostId(aName);
  member.mService = aService;
  member.mDataCentre = MakeDataCentreId("dc-0");
  member.mIncarnation = 1;
  member.mState = HostState::Serving;
  member.mSlots = 2;
  member.mWeight = 100;
  member.mControl = AddressOf(aNumber);
  member.mTunnel = member.mControl;
  return member;
}

MemberViewPtr MakeView(const std::string& aService, std::int64_t aHosts,
                       std::int64_t aFirst)
{
  MemberView view;
  view.mVersion = 1;
  for (std::int64_t i = 0; i < aHosts; ++i) {
    view.mMembers.push_back(MakeMember("host-" + std::to_string(aFirst + i),
                                       MakeServiceId(aService), aFirst + i));
  }
  std::sort(view.mMembers.begin(), view.mMembers.end(),
            [](const Member& aLeft, const Member& aRight) {
              return aLeft.mHost < aRight.mHost;
            });
  return MemberViewPtr(new MemberView(std::move(view)));
}

/** The routes of a balancer: services of five hosts, one address each. The
 * time is that of one view's change, after which all routes are made anew. */
void RoutesHeld(benchmark::State& aState)
{
  std::int64_t services = aState.range(0);
  auto configuration = std::make_shared<Configuration>();
  std::vector<ServiceId> ids;
  for (std::int64_t i = 0; i < services; ++i) {
    ids.push_back(MakeServiceId("service-" + std::to_string(i)));
    configuration->mByAddress[AddressOf(i)] = ids.back();
  }
  std::size_t before = HeldBytes();
  RouteTable table;
  table.SetConfiguration(configuration);
  std::vector<MemberViewPtr> views;
  for (std::int64_t i = 0; i < services; ++i) {
    views.push_back(MakeView("service-" + std::to_string(i), kHostsOfAService,
                             i * kHostsOfAService));
  }
  RoutesPtr routes = table.SetViews(views, ids);
  views.resize(1);
  aState.counters["bytes_a_service"] = PerItem(HeldBytes() - before, services);
  for (auto _ : aState) {
    routes = table.SetViews(views, std::span(ids).first(1));
  }
}
BENCHMARK(RoutesHeld)
  ->Arg(60)
  ->Arg(600)
  ->Arg(6000)
  ->Unit(benchmark::kMicrosecond);

/** What one service's view with its rank table holds. */
void ViewHeld(benchmark::State& aState)
{
  MemberViewPtr view = MakeView("service", aState.range(0), 0);
  ServiceViewPtr made;
  for (auto _ : aState) {
    made = MakeServiceView(MakeServiceId("service"), 1, view->mMembers);
  }
  aState.counters["bytes"] = static_cast<double>(made->MemoryUse());
  aState.counters["bytes_a_member"] =
    PerItem(made->MemoryUse(), aState.range(0));
}
BENCHMARK(ViewHeld)->Arg(5)->Arg(32)->Arg(100)->Arg(1000)->Arg(5000)->Unit(
  benchmark::kMicrosecond);

void HintsHeld(benchmark::State& aState)
{
  std::size_t bytes = 0;
  for (auto _ : aState) {
    HintCache cache(static_cast<std::size_t>(aState.range(0)));
    bytes = cache.MemoryUse();
  }
  aState.counters["bytes"] = static_cast<double>(bytes);
  aState.counters["bytes_a_hint"] = PerItem(bytes, aState.range(0));
}
BENCHMARK(HintsHeld)
  ->Arg(10000)
  ->Arg(100000)
  ->Arg(1000000)
  ->Iterations(3)
  ->Unit(benchmark::kMicrosecond);

/** What an agent's table of owned flows holds, its buckets included. */
void FlowsHeld(benchmark::State& aState)
{
  std::int64_t flows = aState.range(0);
  for (auto _ : aState) {
    std::size_t before = HeldBytes();
    BoundedTable<OwnedFlow> table(static_cast<std::size_t>(flows));
    for (std::int64_t i = 0; i < flows; ++i) {
      FlowKey flow;
      flow.mCaller = AddressOf(i);
      flow.mService = AddressOf(0);
      table.Insert(flow, Time{});
    }
    aState.counters["bytes_a_flow"] = PerItem(HeldBytes() - before, flows);
  }
  aState.counters["bytes_an_entry"] =
    static_cast<double>(BoundedTable<KnownOwner>::BytesPerEntry());
}
BENCHMARK(FlowsHeld)->Arg(1500)->Arg(15000)->Arg(150000)->Iterations(1)->Unit(
  benchmark::kMillisecond);

/** A status object of some processes, a tenth of them balancers. */
void StatusObjectSize(benchmark::State& aState)
{
  StatusObject object;
  for (std::int64_t i = 0; i < aState.range(0); ++i) {
    ProcessStatus process;
    process.mName = "host-" + std::to_string(10000 + i);
    process.mRole = i % 10 == 0 ? "balancer" : "agent";
    process.mDataCentre = "dc-01";
    process.mVersion = 5100;
    process.mSinceMs = 1796250000000;
    process.mSeenMs = 1796250000000;
    process.mAdmin = "10.200.100.10:9000";
    object.mProcesses[process.mName] = process;
  }
  std::size_t bytes = 0;
  for (auto _ : aState) {
    bytes = SerializeStatus(object).size();
  }
  aState.counters["bytes"] = static_cast<double>(bytes);
  aState.counters["bytes_a_process"] = PerItem(bytes, aState.range(0));
}
BENCHMARK(StatusObjectSize)
  ->Arg(30)
  ->Arg(300)
  ->Arg(3000)
  ->Unit(benchmark::kMicrosecond);

/** What a shard's value holds, keys of 36 characters, not answered. */
void GrantsHeld(benchmark::State& aState)
{
  GrantShard shard;
  std::string key(36, 'k');
  for (std::int64_t i = 0; i < aState.range(0); ++i) {
    std::string number = std::to_string(i);
    Grant grant{
      MakeHostId("host"), 1796250000000000, MixHash(1, 2), false, {}
    };
    shard.Set(key.substr(number.size()) + number, grant);
  }
  std::size_t bytes = 0;
  for (auto _ : aState) {
    bytes = shard.Encode().size();
  }
  aState.counters["bytes"] = static_cast<double>(bytes);
  aState.counters["bytes_a_grant"] = PerItem(bytes, aState.range(0));
}
BENCHMARK(GrantsHeld)
  ->Arg(70)
  ->Arg(700)
  ->Arg(7000)
  ->Unit(benchmark::kMicrosecond);

LoadMessage MakeLoad()
{
  LoadMessage message;
  message.mHost = MakeHostId("host");
  message.mIncarnation = message.mSequence = 9;
  HostLoad& load = message.mLoad;
  load.mQueued = load.mBusy = 9;
  load.mSlots = 2;
  load.mLatency = load.mServiceTime = milliseconds(9);
  load.mFailing = 0.5;
  load.mResults = 9;
  return message;
}

/** Bytes of the messages that grow with flows, headers of ours included. */
void MessageBytes(benchmark::State& aState)
{
  // Defaults are left out of a message, so each field gets another value.
  FlowKey flow{ AddressOf(1), AddressOf(2) };
  Peer peer{ MakeHostId("host"), 9, AddressOf(3) };
  Packet packet;
  packet.mFlow = flow;
  packet.mService = MakeServiceId("service");
  packet.mReturnTo = packet.mHintTo = AddressOf(4);
  packet.mHops = 1;
  packet.mDirective = PacketDirective::Adopt;
  packet.mArbiter = peer.mHost;
  packet.mEpoch = 9;
  Ask ask{ flow, peer, 9, AskPurpose::Reconfirm };
  AskReply reply{ flow, peer, 9, AskVerdict::Owner, peer, 9, 9, true };
  Claim one;
  one.mFrom = peer;
  one.mFlows = { { flow, 9, 9, true } };
  Claim full;
  full.mFrom = peer;
  full.mFlows.assign(kMaxClaims, { flow, 9, 9, true });
  Hint hint{ flow, peer.mHost, peer, 9, true };
  for (auto _ : aState) {
    benchmark::DoNotOptimize(EncodeOwnershipMessage(ask));
  }
  auto size = [](const Bytes& aBytes) {
    return static_cast<double>(aBytes.size());
  };
  aState.counters["packet"] = size(EncodePacket(packet));
  aState.counters["ask"] = size(EncodeOwnershipMessage(ask));
  aState.counters["ask_reply"] = size(EncodeOwnershipMessage(reply));
  aState.counters["claim_1"] = size(EncodeOwnershipMessage(one));
  aState.counters["claim_16"] = size(EncodeOwnershipMessage(full));
  aState.counters["hint"] = size(EncodeOwnershipMessage(hint));
  StatusReport report;
  report.mProcess = {
    "host-10000", "agent", "dc-01", 5100, 1, 1, "10.2.1.1:9"
  };
  aState.counters["status_empty"] = size(EncodeStatusReport(report));
  report.mFigures.resize(1);
  report.mFigures[0].mName = "two-choices";
  for (std::uint32_t i = 0; i < 8; ++i) {
    report.mFigures[0].mLatency["normal"].mBins[20 + i] = 1;
  }
  aState.counters["status_busy"] = size(EncodeStatusReport(report));
  aState.counters["load"] = size(EncodeLoad(MakeLoad()));
}
BENCHMARK(MessageBytes);

/** Platform calls of an operator's change of one service, as `apply` makes
 * them: read what is in force, then have the change accepted. */
void CallsOfAChange(benchmark::State& aState)
{
  int services = static_cast<int>(aState.range(0));
  FakeObjectStore platform;
  SyncObjectStore::Options calls;
  calls.mPause = [](Duration) {};
  SyncObjectStore store(platform, calls);
  ConfigurationStore configurations(store, {});
  auto makeWanted = [services](int aSlots) {
    return std::make_shared<const Configuration>(MakeFleet(services, aSlots));
  };
  auto first = configurations.Commit({ nullptr, makeWanted(2), "ana", {} });
  int slots = 2;
  for (auto _ : aState) {
    int before = platform.mCalls;
    auto newest = configurations.Read();
    auto done = configurations.Commit(
      { (*newest)->mConfiguration, makeWanted(++slots), "ana", {} });
    aState.counters["accepted"] = first && done ? 1 : 0;
    aState.counters["calls"] = platform.mCalls - before;
  }
  aState.counters["objects"] = static_cast<double>(platform.mObjects.size());
}
BENCHMARK(CallsOfAChange)
  ->Arg(60)
  ->Arg(600)
  ->Arg(6000)
  ->Iterations(3)
  ->Unit(benchmark::kMillisecond);

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
    agent.mHeartbeatEvery = milliseconds(300);
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
