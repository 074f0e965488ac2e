#include "src/membership/Monitors.h"

#include <algorithm>
#include <map>
#include <set>
#include <string>

#include "tests/MembershipFleet.h"

#include <CppUTest/TestHarness.h>

using namespace heatherplank;
using namespace std::chrono_literals;

TEST_GROUP(Monitors){
  static std::vector<Member> Balancers(int aCount, int aDataCentres){
    std::vector<Member> out;
for (int i = 0; i < aCount; ++i) {
  Member member;
  member.mHost = MakeHostId("balancer-" + std::to_string(i));
  member.mDataCentre = DataCentre(i % aDataCentres);
  out.push_back(member);
}
return out;
}

static DataCentreId DataCentre(int aIndex)
{
  return MakeDataCentreId("dc-" + std::to_string(aIndex));
}

static long CountIn(const std::vector<Member>& aMembers, int aDataCentre)
{
  return std::ranges::count(aMembers, DataCentre(aDataCentre),
                            &Member::mDataCentre);
}
}
;

TEST(Monitors, OneMonitorIsInAnotherDataCentreIfThereIsOne)
{
  HostId host = MakeHostId("host");
  auto threeDataCentres =
    ChooseMonitors(host, DataCentre(1), Balancers(30, 3), 3);
  CHECK_EQUAL(3, threeDataCentres.size());
  CHECK_EQUAL(2, CountIn(threeDataCentres, 1));
  auto oneDataCentre = ChooseMonitors(host, DataCentre(0), Balancers(30, 1), 3);
  CHECK_EQUAL(3, CountIn(oneDataCentre, 0));
}

// Hosts in a data centre with one balancer or none must have as many monitors
// as other hosts.
TEST(Monitors, OtherDataCentresFillMissingLocalMonitors)
{
  HostId host = MakeHostId("host");
  auto balancers = Balancers(30, 3);
  balancers.push_back({});
  balancers.back().mHost = MakeHostId("alone");
  balancers.back().mDataCentre = DataCentre(7);
  auto monitors = ChooseMonitors(host, DataCentre(7), balancers, 3);
  CHECK_EQUAL(3, monitors.size());
  CHECK_EQUAL(1, CountIn(monitors, 7));
  CHECK_EQUAL(3, ChooseMonitors(host, DataCentre(9), balancers, 3).size());
}

// If a balancer monitors a host that sends it no heartbeats, it declares the
// host dead. If it doesn't monitor a host that does, it never detects that
// host's failure.
TEST(Monitors, BalancersAndAgentsChooseTheSameMonitors)
{
  for (int dataCentres = 1; dataCentres <= 5; ++dataCentres) {
    auto balancers = Balancers(17, dataCentres);
    for (std::size_t n = 1; n <= balancers.size(); ++n) {
      for (int i = 0; i < 20; ++i) {
        HostId host = MakeHostId("host-" + std::to_string(i));
        auto chosen = ChooseMonitors(host, DataCentre(i % 6), balancers, n);
        for (const Member& it : balancers) {
          CHECK_EQUAL(
            std::ranges::count(chosen, it.mHost, &Member::mHost) > 0,
            IsMonitor(it.mHost, host, DataCentre(i % 6), balancers, n));
        }
      }
    }
  }
}

// A data centre fails with its balancers and its hosts. If all monitors of its
// hosts were in it, no process would declare the hosts dead, and callers would
// be routed to them for the whole outage.
TEST(Monitors, HostsOfLostDataCentreAreRemovedFromView)
{
  constexpr int kAgents = 30;
  constexpr int kBalancers = 12;
  BalancerMembershipOptions options;
  options.mMonitors.mCount = 3;
  MembershipFleet fleet(1, kBalancers, kAgents, options, 3);
  fleet.Run(10s);
  CHECK_EQUAL(kAgents, fleet.ViewAt(1).size());
  for (int i = 0; i < kBalancers; i += 3) {
    fleet.mStalled.insert(i);
  }
  for (int i = 0; i < kAgents; i += 3) {
    fleet.mStalled.insert(MembershipFleet::kAgentPorts + i);
  }
  fleet.Run(12s);
  CHECK_EQUAL(2 * kAgents / 3, fleet.ViewAt(1).size());
}

// The number of balancers crosses mMaxBalancersAllMonitor repeatedly, and
// agents and balancers notice it at different times. No live host may be
// dropped.
TEST(Monitors, CrossingAllMonitorsThresholdKeepsLiveHosts)
{
  BalancerMembershipOptions options;
  options.mMonitors = { .mCount = 3, .mMaxBalancersAllMonitor = 6 };
  MembershipFleet fleet(1, 6, 20, options, 2);
  fleet.Run(5s);
  for (int round = 0; round < 10; ++round) {
    fleet.AddBalancer(6);
    for (int i = 0; i < 30; ++i) {
      fleet.Run(100ms);
      CHECK_EQUAL(20, fleet.ViewAt(1).size());
    }
    fleet.mBalancers.erase(6);
    for (int i = 0; i < 60; ++i) {
      fleet.Run(100ms);
      CHECK_EQUAL(20, fleet.ViewAt(1).size());
    }
  }
}

// Forty balancers start one after another, each with three seeds. For some
// seconds their lists differ, and so do the monitors that they choose. A host
// that sends heartbeats to its monitors must not be dropped from any balancer's
// view, or its open flows are not found there.
TEST(Monitors, DifferingBalancerListsKeepLiveHosts)
{
  constexpr int kBalancers = 40;
  constexpr int kAgents = 120;
  BalancerMembershipOptions options;
  options.mMonitors = { .mCount = 3, .mMaxBalancersAllMonitor = 24 };
  int dropped = 0;
  for (std::uint64_t seed = 1; seed <= 3; ++seed) {
    MembershipFleet fleet(seed, 3, kAgents, options, 2, false, 3);
    fleet.mNetwork.mLost = 2;
    for (int i = 3; i < kBalancers; ++i) {
      fleet.AddBalancer(i);
      fleet.Run(100ms);
    }
    std::map<int, std::set<HostId>> previousViews;
    for (int i = 0; i < 400; ++i) {
      fleet.Run(100ms);
      for (int balancer = 0; balancer < kBalancers; ++balancer) {
        auto view = fleet.ViewAt(balancer);
        std::set<HostId> now(view.begin(), view.end());
        auto& before = previousViews[balancer];
        dropped += static_cast<int>(std::ranges::count_if(
          before, [&](HostId aIt) { return !now.contains(aIt); }));
        before = std::move(now);
      }
    }
  }
  CHECK_EQUAL(0, dropped);
}

// Agents of opaque flows don't use peers. If balancers sent them peers anyway,
// each change of the service would cost every agent a message.
TEST(Monitors, AgentsWithoutPeersReceiveNone)
{
  MembershipFleet withPeers(1, 3, 40);
  MembershipFleet withoutPeers(1, 3, 40, {}, 1, false);
  withPeers.Run(10s);
  withoutPeers.Run(10s);
  CHECK_EQUAL(40, withPeers.mAgents[0]->Peers()->mMembers.size());
  CHECK_EQUAL(1, withoutPeers.mAgents[0]->Peers()->mMembers.size());
  CHECK_EQUAL(3, withoutPeers.mAgents[0]->Balancers()->mMembers.size());
  CHECK_EQUAL(40, withoutPeers.ViewAt(0).size());
  CHECK_TRUE(withoutPeers.mBytes < withPeers.mBytes);
}

// A VM's clock steps back and its agent is killed. The new process has an older
// incarnation than the one that all balancers hold, so its heartbeats count as
// stale and its host stays out of view. The agent must be notified of the newer
// incarnation, even if it receives no members of its service.
TEST(Monitors, OlderIncarnationIsNotifiedOfNewerOne)
{
  MembershipFleet fleet(1, 3, 6, {}, 1, false);
  fleet.mAgents[0]->Restart(1000000, fleet.mNow);
  fleet.Run(5s);
  fleet.AddAgent(0);
  fleet.Run(5s);
  CHECK_TRUE(fleet.mAgents[0]->Self().mIncarnation > 1000000);
  CHECK_EQUAL(6, fleet.ViewAt(0).size());
}
