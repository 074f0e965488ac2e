#include <algorithm>

#include "tests/MembershipFleet.h"

#include <CppUTest/TestHarness.h>

using namespace heatherplank;
using namespace std::chrono_literals;

TEST_GROUP(Membership){};

// A network that loses a fifth of all messages, doubles some and delays others
// past their successors, while hosts restart, drain and leave. Once it is calm,
// every balancer and agent must hold the same members, or flows are handed to
// hosts that left for as long as the difference lasts.
TEST(Membership, ConvergesAfterLossDoublingAndReordering)
{
  for (std::uint64_t seed = 1; seed <= 40; ++seed) {
    BalancerMembershipOptions options;
    options.mMonitors.mCount = seed % 2 == 0 ? 2 : 0;
    MembershipFleet fleet(seed, 4, 12, options);
    fleet.mNetwork = { 20, 10, 300 };
    for (int step = 0; step < 12; ++step) {
      int agent = static_cast<int>(fleet.mRandom() % 12);
      switch (fleet.mRandom() % 3) {
        case 0:
          fleet.AddAgent(agent);
          break;
        case 1:
          fleet.mAgents[agent]->SetState(HostState::Draining, fleet.mNow);
          break;
        default:
          fleet.AddBalancer(static_cast<int>(fleet.mRandom() % 4));
          break;
      }
      fleet.Run(700ms);
    }
    fleet.mAgents[3]->SetState(HostState::Leaving, fleet.mNow);
    fleet.Run(1s);
    fleet.mAgents.erase(3);
    fleet.mNetwork = {};
    fleet.Run(40s);
    CHECK_TRUE(fleet.Agrees(11));
  }
}

// One balancer can't hear a host that the others hear. It suspects it; their
// newer evidence refutes that each time, and no view ever drops the host.
TEST(Membership, WhoHearsAHostRefutesWhoDoesNot)
{
  MembershipFleet fleet(1, 3, 6);
  fleet.Run(5s);
  fleet.mCut.insert({ 0, MembershipFleet::kAgentPorts });
  for (int i = 0; i < 200; ++i) {
    fleet.Run(100ms);
    CHECK_EQUAL(6, fleet.ViewAt(0).size());
    CHECK_EQUAL(6, fleet.ViewAt(1).size());
  }
  CHECK_TRUE(fleet.mBalancers[1]->Hosts().Count(MemberEvent::Refuted) > 0);
}

// Two data centres lose each other: each side's balancers and agents hear only
// their own. The smaller side's view must not shrink to nothing, and after the
// cut both sides must hold everybody again.
TEST(Membership, ACutBetweenDataCentresHeals)
{
  MembershipFleet fleet(1, 4, 12);
  fleet.Run(5s);
  auto far = [](int aPort) { return aPort % 4 == 0; };
  std::vector<int> ports{ 0, 1, 2, 3 };
  for (int i = 0; i < 12; ++i) {
    ports.push_back(MembershipFleet::kAgentPorts + i);
  }
  for (int from : ports) {
    for (int to : ports) {
      if (far(from) != far(to)) {
        fleet.mCut.insert({ from, to });
      }
    }
  }
  fleet.Run(30s);
  CHECK_EQUAL(12, fleet.ViewAt(0).size());
  CHECK_TRUE(fleet.mBalancers[0]->Readiness() == MembershipReadiness::Isolated);
  CHECK_EQUAL(9, fleet.ViewAt(1).size());
  fleet.mCut.clear();
  fleet.Run(5s);
  CHECK_TRUE(fleet.Agrees(12));
}

// A host freezes for ten seconds and wakes. It must leave the view while it
// answers nothing, and come back by its own heartbeat. Then it leaves; a record
// of its life that was long on its way must not revive it.
TEST(Membership, AFrozenHostComesBackAndOneThatLeftDoesNot)
{
  MembershipFleet fleet(1, 3, 6);
  fleet.Run(5s);
  fleet.mFrozen.insert(MembershipFleet::kAgentPorts);
  fleet.Run(10s);
  CHECK_EQUAL(5, fleet.ViewAt(1).size());
  fleet.mFrozen.clear();
  fleet.Run(2s);
  CHECK_TRUE(fleet.Agrees(6));

  MemberDelta stale =
    fleet.mBalancers[0]->Hosts().ServiceDelta(fleet.Service(), fleet.mNow);
  fleet.mAgents[0]->SetState(HostState::Leaving, fleet.mNow);
  fleet.Run(200ms);
  fleet.mAgents.erase(0);
  CHECK_EQUAL(5, fleet.ViewAt(1).size());
  CHECK_EQUAL(1, fleet.LeavingAt(1));
  fleet.mBalancers[1]->OnMessage(stale, fleet.mNow);
  CHECK_EQUAL(5, fleet.ViewAt(1).size());
  CHECK_EQUAL(1, fleet.LeavingAt(1));
}

// A VM is replaced at once by one of the same name and address, whose clock is
// behind. The new life must take the old one's place, not be refused as stale.
TEST(Membership, ARestartWithAnOlderClockTakesOver)
{
  MembershipFleet fleet(1, 3, 6);
  fleet.mAgents[0]->Restart(1000000, fleet.mNow);
  fleet.Run(5s);
  fleet.AddAgent(0);
  fleet.Run(5s);
  CHECK_TRUE(fleet.Agrees(6));
  CHECK_TRUE(fleet.mAgents[0]->Self().mIncarnation > 1000000);
}

// The same of a balancer: held for its own older life, it would be dropped by
// the others, hear of no change and route by a view that grows old.
TEST(Membership, ABalancerWithAnOlderClockTakesOver)
{
  MembershipFleet fleet(1, 3, 6);
  fleet.SetNextIncarnation(1000000);
  fleet.AddBalancer(2);
  fleet.Run(5s);
  fleet.SetNextIncarnation(500000);
  fleet.AddBalancer(2);
  fleet.Run(10s);
  auto view = fleet.mBalancers[0]->Balancers().View(BalancerService());
  CHECK_EQUAL(3, view->mMembers.size());
  CHECK_EQUAL(6, fleet.ViewAt(2).size());
}

// The peer that gives a new balancer its snapshot dies half-way. The new one
// must go on with the next peer, and not call itself ready with half a view.
TEST(Membership, ASnapshotOutlivesThePeerThatGaveIt)
{
  BalancerMembershipOptions options;
  options.mChunkRecords = 8;
  options.mMonitors.mCount = 1;
  MembershipFleet fleet(1, 3, 100, options);
  fleet.Run(5s);
  fleet.AddBalancer(2);
  fleet.mNetwork.mMaxDelayMs = 200;
  fleet.Run(300ms);
  fleet.mBalancers.erase(0);
  bool early = false;
  for (int i = 0; i < 200; ++i) {
    fleet.Run(50ms);
    bool ready = fleet.mBalancers[2]->Readiness() == MembershipReadiness::Ready;
    early = early || (ready && fleet.ViewAt(2).size() < 100);
  }
  CHECK_FALSE(early);
  CHECK_EQUAL(100, fleet.ViewAt(2).size());
  CHECK_TRUE(fleet.mBalancers[2]->Readiness() == MembershipReadiness::Ready);
}

// Changes among many balancers go down trees; each must come everywhere, and
// no balancer may send much more than its share.
TEST(Membership, TreesReachEveryBalancerOnce)
{
  std::vector<Member> balancers(200);
  std::map<std::uint16_t, SpreadTree> trees;
  for (std::uint16_t i = 0; i < 200; ++i) {
    balancers[i].mHost = MakeHostId("balancer-" + std::to_string(i));
    balancers[i].mControl = MembershipFleet::AddressOf(i);
  }
  for (std::uint16_t i = 0; i < 200; ++i) {
    trees[i].SetBalancers(balancers[i].mHost, balancers);
  }
  for (std::uint8_t tree = 0; tree < SpreadTree::kTrees; ++tree) {
    std::vector<int> got(200, 0);
    std::queue<Address> onward;
    for (const Address& it : trees[17].FirstHops(tree)) {
      onward.push(it);
    }
    for (; !onward.empty(); onward.pop()) {
      int at = onward.front().mPort - 1;
      ++got[at];
      for (const Address& it : trees[at].NextHops(tree)) {
        onward.push(it);
      }
    }
    got[17] = 1;
    CHECK_TRUE(std::ranges::all_of(got, [](int n) { return n == 1; }));
  }
}
