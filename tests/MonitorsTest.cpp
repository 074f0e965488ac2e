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

TEST(Monitors, OneIsElsewhereWhereThereIsAnElsewhere)
{
  HostId host = MakeHostId("host");
  auto spread = ChooseMonitors(host, DataCentre(1), Balancers(30, 3), 3);
  CHECK_EQUAL(3, spread.size());
  CHECK_EQUAL(2, CountIn(spread, 1));
  auto single = ChooseMonitors(host, DataCentre(0), Balancers(30, 1), 3);
  CHECK_EQUAL(3, CountIn(single, 0));
}

// A data centre with a single balancer, or with none: its hosts need as many
// monitors as others.
TEST(Monitors, TooFewNearAreMadeUpFromElsewhere)
{
  HostId host = MakeHostId("host");
  auto balancers = Balancers(30, 3);
  balancers.push_back({});
  balancers.back().mHost = MakeHostId("alone");
  balancers.back().mDataCentre = DataCentre(7);
  auto one = ChooseMonitors(host, DataCentre(7), balancers, 3);
  CHECK_EQUAL(3, one.size());
  CHECK_EQUAL(1, CountIn(one, 7));
  CHECK_EQUAL(3, ChooseMonitors(host, DataCentre(9), balancers, 3).size());
}

// A balancer that judges a host which does not beat to it would hold it for
// dead, and one that does not judge a host that beats to it never misses it.
TEST(Monitors, BalancersAndAgentsChooseTheSame)
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

// A data centre burns down: its balancers and its hosts fall silent at once.
// With all monitors of its hosts among its own balancers nobody misses them,
// and callers are sent to dead hosts for as long as the outage lasts.
TEST(Monitors, HostsOfALostDataCentreLeaveTheView)
{
  constexpr int kAgents = 30;
  constexpr int kBalancers = 12;
  BalancerMembershipOptions options;
  options.mMonitors.mCount = 3;
  MembershipFleet fleet(1, kBalancers, kAgents, options, 3);
  fleet.Run(10s);
  CHECK_EQUAL(kAgents, fleet.ViewAt(1).size());
  for (int i = 0; i < kBalancers; i += 3) {
    fleet.mFrozen.insert(i);
  }
  for (int i = 0; i < kAgents; i += 3) {
    fleet.mFrozen.insert(MembershipFleet::kAgentPorts + i);
  }
  fleet.Run(12s);
  CHECK_EQUAL(2 * kAgents / 3, fleet.ViewAt(1).size());
}

// Balancers come and go across the number up to which all of them are monitors,
// and the two sides see it at different moments. Nobody alive may be dropped.
TEST(Monitors, CrossingTheNumberOfAllDropsNobody)
{
  BalancerMembershipOptions options;
  options.mMonitors = { .mCount = 3, .mAllUpTo = 6 };
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

// Forty balancers start one after the other, each with three seeds; for seconds
// their lists differ, and so does who is whose monitor. A host that all the
// while beats to its monitors must leave no balancer's view, or its open flows
// are not found there.
TEST(Monitors, UnequalListsDropNobodyAlive)
{
  constexpr int kBalancers = 40;
  constexpr int kAgents = 120;
  BalancerMembershipOptions options;
  options.mMonitors = { .mCount = 3, .mAllUpTo = 24 };
  int dropped = 0;
  for (std::uint64_t seed = 1; seed <= 3; ++seed) {
    MembershipFleet fleet(seed, 3, kAgents, options, 2, false, 3);
    fleet.mNetwork.mLost = 2;
    for (int i = 3; i < kBalancers; ++i) {
      fleet.AddBalancer(i);
      fleet.Run(100ms);
    }
    std::map<int, std::set<HostId>> known;
    for (int i = 0; i < 400; ++i) {
      fleet.Run(100ms);
      for (int balancer = 0; balancer < kBalancers; ++balancer) {
        auto view = fleet.ViewAt(balancer);
        std::set<HostId> now(view.begin(), view.end());
        auto& before = known[balancer];
        dropped += static_cast<int>(std::ranges::count_if(
          before, [&](HostId aIt) { return !now.contains(aIt); }));
        before = std::move(now);
      }
    }
  }
  CHECK_EQUAL(0, dropped);
}

// Agents of opaque flows read no peers. Sent them all the same, each would pay
// for each change of its service.
TEST(Monitors, WhoWantsNoPeersIsSentNone)
{
  MembershipFleet with(1, 3, 40);
  MembershipFleet without(1, 3, 40, {}, 1, false);
  with.Run(10s);
  without.Run(10s);
  CHECK_EQUAL(40, with.mAgents[0]->Peers()->mMembers.size());
  CHECK_EQUAL(1, without.mAgents[0]->Peers()->mMembers.size());
  CHECK_EQUAL(3, without.mAgents[0]->Balancers()->mMembers.size());
  CHECK_EQUAL(40, without.ViewAt(0).size());
  CHECK_TRUE(without.mBytes < with.mBytes);
}

// The clock of a machine steps back and its agent is killed: the new process
// has an older incarnation than the one that all balancers hold, so its
// heartbeats count as stale and its host stays out of view. It must be told,
// also where it is sent no members of its service.
TEST(Monitors, AnOlderIncarnationIsToldOfTheNewer)
{
  MembershipFleet fleet(1, 3, 6, {}, 1, false);
  fleet.mAgents[0]->Restart(1000000, fleet.mNow);
  fleet.Run(5s);
  fleet.AddAgent(0);
  fleet.Run(5s);
  CHECK_TRUE(fleet.mAgents[0]->Self().mIncarnation > 1000000);
  CHECK_EQUAL(6, fleet.ViewAt(0).size());
}
