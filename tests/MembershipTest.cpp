#include <algorithm>

#include "tests/MembershipFleet.h"

#include <CppUTest/TestHarness.h>

using namespace heatherplank;
using namespace std::chrono_literals;

TEST_GROUP(Membership){};

// The network loses a fifth of all messages, duplicates some and reorders
// others, while hosts restart, drain and leave. Once the network works again,
// every balancer and agent must hold the same members; otherwise flows are
// handed off to hosts that left.
TEST(Membership, ConvergesAfterLossDuplicationAndReordering)
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
    CHECK_TRUE(fleet.HasConverged(11));
  }
}

// One balancer receives no heartbeats from a host that the others can reach,
// and suspects it. Their later heartbeats must refute each suspicion, and no
// view may drop the host.
TEST(Membership, ReachableBalancersRefuteFalseSuspicion)
{
  MembershipFleet fleet(1, 3, 6);
  fleet.Run(5s);
  fleet.mBlockedLinks.insert({ 0, MembershipFleet::kAgentPorts });
  for (int i = 0; i < 200; ++i) {
    fleet.Run(100ms);
    CHECK_EQUAL(6, fleet.ViewAt(0).size());
    CHECK_EQUAL(6, fleet.ViewAt(1).size());
  }
  CHECK_TRUE(fleet.mBalancers[1]->Hosts().Count(MemberEvent::Refuted) > 0);
}

// A network partition separates two data centres. The smaller side's view must
// not become empty, and after the partition both sides must hold all members.
TEST(Membership, ConvergesAfterDataCentrePartitionHeals)
{
  MembershipFleet fleet(1, 4, 12);
  fleet.Run(5s);
  auto isSmallerSide = [](int aPort) { return aPort % 4 == 0; };
  std::vector<int> ports{ 0, 1, 2, 3 };
  for (int i = 0; i < 12; ++i) {
    ports.push_back(MembershipFleet::kAgentPorts + i);
  }
  for (int from : ports) {
    for (int to : ports) {
      if (isSmallerSide(from) != isSmallerSide(to)) {
        fleet.mBlockedLinks.insert({ from, to });
      }
    }
  }
  fleet.Run(30s);
  CHECK_EQUAL(12, fleet.ViewAt(0).size());
  CHECK_TRUE(fleet.mBalancers[0]->Readiness() == MembershipReadiness::Isolated);
  CHECK_EQUAL(9, fleet.ViewAt(1).size());
  fleet.mBlockedLinks.clear();
  fleet.Run(5s);
  CHECK_TRUE(fleet.HasConverged(12));
}

// A host is stalled for ten seconds. It must be removed from the view meanwhile
// and return with its next heartbeat. It then leaves, and a delayed record of
// the serving host must not add it again.
TEST(Membership, StalledHostReturnsAndStaleRecordDoesNotReviveLeftHost)
{
  MembershipFleet fleet(1, 3, 6);
  fleet.Run(5s);
  fleet.mStalled.insert(MembershipFleet::kAgentPorts);
  fleet.Run(10s);
  CHECK_EQUAL(5, fleet.ViewAt(1).size());
  fleet.mStalled.clear();
  fleet.Run(2s);
  CHECK_TRUE(fleet.HasConverged(6));

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

// A VM is replaced by one with the same name and address, whose clock is
// behind. The new incarnation must replace the old one, and not be rejected as
// stale.
TEST(Membership, HostRestartedWithEarlierClockTakesOver)
{
  MembershipFleet fleet(1, 3, 6);
  fleet.mAgents[0]->Restart(1000000, fleet.mNow);
  fleet.Run(5s);
  fleet.AddAgent(0);
  fleet.Run(5s);
  CHECK_TRUE(fleet.HasConverged(6));
  CHECK_TRUE(fleet.mAgents[0]->Self().mIncarnation > 1000000);
}

// A balancer is replaced by one whose clock is behind. If its incarnation
// counts as stale, the others drop it, and it receives no changes and routes by
// an outdated view.
TEST(Membership, BalancerRestartedWithEarlierClockTakesOver)
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

// The peer that sends a snapshot to a new balancer dies half-way. The new
// balancer must continue with the next peer, and not be ready with half a view.
TEST(Membership, SnapshotResumesFromNextPeerWhenSenderDies)
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
  bool readyTooEarly = false;
  for (int i = 0; i < 200; ++i) {
    fleet.Run(50ms);
    bool ready = fleet.mBalancers[2]->Readiness() == MembershipReadiness::Ready;
    readyTooEarly = readyTooEarly || (ready && fleet.ViewAt(2).size() < 100);
  }
  CHECK_FALSE(readyTooEarly);
  CHECK_EQUAL(100, fleet.ViewAt(2).size());
  CHECK_TRUE(fleet.mBalancers[2]->Readiness() == MembershipReadiness::Ready);
}

// With many balancers, changes are forwarded along trees. Each tree must reach
// every balancer exactly once.
TEST(Membership, TreesReachEveryBalancerOnce)
{
  std::vector<Member> balancers(200);
  std::map<std::uint16_t, DisseminationTree> trees;
  for (std::uint16_t i = 0; i < 200; ++i) {
    balancers[i].mHost = MakeHostId("balancer-" + std::to_string(i));
    balancers[i].mControl = MembershipFleet::AddressOf(i);
  }
  for (std::uint16_t i = 0; i < 200; ++i) {
    trees[i].SetBalancers(balancers[i].mHost, balancers);
  }
  for (std::uint8_t tree = 0; tree < DisseminationTree::kTrees; ++tree) {
    std::vector<int> received(200, 0);
    std::queue<Address> pending;
    for (const Address& it : trees[17].FirstHops(tree)) {
      pending.push(it);
    }
    for (; !pending.empty(); pending.pop()) {
      int at = pending.front().mPort - 1;
      ++received[at];
      for (const Address& it : trees[at].NextHops(tree)) {
        pending.push(it);
      }
    }
    received[17] = 1;
    CHECK_TRUE(std::ranges::all_of(received, [](int n) { return n == 1; }));
  }
}

// Guards against digests ten times a second for good, where two balancers
// differ in a way that repair does not remove.
TEST(Membership, ALastingDifferenceDoesNotKeepDigestsFrequent)
{
  MembershipFleet::AllowAll allowAll;
  Time now = Time{} + 1h;
  Member self;
  self.mHost = MakeHostId("balancer-0");
  self.mControl = MembershipFleet::AddressOf(0);
  BalancerMembership balancer(self, allowAll, {}, 1, now);
  Heartbeat peer;
  peer.mTable = MemberTableId::Balancers;
  peer.mRecord.mMember.mHost = MakeHostId("balancer-1");
  peer.mRecord.mMember.mService = BalancerService();
  peer.mRecord.mMember.mControl = MembershipFleet::AddressOf(1);
  MemberDigest differing;
  differing.mFrom = peer.mRecord.mMember.mHost;
  differing.mIsReply = true;
  differing.mHashes = { 7 };
  int digests = 0;
  for (int i = 0; i < 6000; ++i) {
    now += 10ms;
    ++peer.mRecord.mHeartbeatNumber;
    balancer.OnMessage(peer, now);
    balancer.OnTick(now);
    for (const SendMembership& it : balancer.TakeActions()) {
      const auto* digest = std::get_if<MemberDigest>(&it.mMessage);
      if (digest != nullptr && digest->mTable == MemberTableId::Hosts) {
        ++digests;
        balancer.OnMessage(differing, now);
      }
    }
  }
  // 50 fast rounds, then six a minute.
  CHECK_TRUE(digests >= 50 && digests <= 60);
}
