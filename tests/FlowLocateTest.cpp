// Lookups at record replicas, in a data centre of simulated balancers, agents
// and hosts.
#include <algorithm>
#include <random>
#include <set>

#include "tests/LocationFleet.h"

#include <CppUTest/TestHarness.h>

using namespace heatherplank;

namespace {

constexpr auto kRecordTime = 1s;

} // namespace

TEST_GROUP(FlowLocate){
  /** Opens the flow at a balancer, and waits until it is recorded. */
  static void OpenAndRecord(LocationFleet & aFleet, std::size_t aFlow,
                            std::size_t aBalancer){
    aFleet.Open(aFlow, aBalancer);
aFleet.Run(kRecordTime);
aFleet.ResetCounts();
}
}
;

// The fabric moves an open flow to a balancer that has no hint. One replica is
// asked, and the packet reaches its host in one message more than with a hint.
TEST(FlowLocate, MovedFlowCostsOneMessageMore)
{
  LocationFleet fleet(5, 8);
  OpenAndRecord(fleet, 1, 0);
  std::size_t to = fleet.NoReplicaOf(1, 0);
  fleet.Data(1, to);
  CHECK_EQUAL(2, fleet.Received(1));
  CHECK_EQUAL(1, fleet.mSteered[SteerPurpose::Locate]);
  CHECK_EQUAL(1, fleet.mSteered[SteerPurpose::Located]);
  CHECK_EQUAL(2, fleet.mSteered.size());
  // The host was reported, so the next packet has a hint; the flow is not
  // recorded again.
  fleet.Data(1, to);
  CHECK_EQUAL(3, fleet.Received(1));
  CHECK_EQUAL(1, fleet.mSteered[SteerPurpose::Deliver]);
  fleet.Run(kRecordTime);
  CHECK_EQUAL(0, fleet.mRecordMessages);
}

// A window of packets arrives at the new balancer at once. All reach the host
// once each, at the cost of one lookup.
TEST(FlowLocate, PacketsThatWaitAreDeliveredOnce)
{
  LocationFleet fleet(5, 8);
  OpenAndRecord(fleet, 1, 0);
  std::size_t to = fleet.NoReplicaOf(1, 0);
  auto& steering = *fleet.mBalancers[to]->mSteering;
  FlowKey flow = LocationFleet::Flow(1);
  for (std::uint32_t i = 0; i < 16; ++i) {
    steering.OnPacket(lab::MakePacket(flow.mCaller, flow.mService, lab::kAck,
                                      1000 + 5 * i, 501, 5),
                      fleet.mClock.Now());
  }
  fleet.Run(10ms);
  CHECK_EQUAL(17, fleet.Received(1));
  CHECK_EQUAL(1, fleet.mSteered[SteerPurpose::Locate]);
  CHECK_EQUAL(15, fleet.mSteered[SteerPurpose::Deliver]);
}

// Both replicas of a flow were replaced, and nobody has sent them the record
// yet. The flow is queried, found and recorded again.
TEST(FlowLocate, FlowWithoutARecordIsQueriedAndRecordedAgain)
{
  LocationFleet fleet(6, 8);
  auto replicas = fleet.ReplicasOf(1);
  std::size_t opener = fleet.NoReplicaOf(1, 99);
  OpenAndRecord(fleet, 1, opener);
  fleet.Restart(replicas[0]);
  fleet.Restart(replicas[1]);
  std::size_t to = fleet.NoReplicaOf(1, opener);
  fleet.Data(1, to);
  CHECK_EQUAL(2, fleet.Received(1));
  CHECK_EQUAL(2, fleet.mSteered[SteerPurpose::Locate]);
  CHECK_EQUAL(1, fleet.mSteered[SteerPurpose::NotHere]);
  CHECK_EQUAL(1, fleet.Count(SteerEvent::LocateFailed));
  CHECK_EQUAL(1, fleet.Count(SteerEvent::Queried));
  fleet.Run(kRecordTime);
  fleet.ResetCounts();
  fleet.Restart(to);
  fleet.Data(1, to);
  CHECK_EQUAL(3, fleet.Received(1));
  CHECK_EQUAL(1, fleet.mSteered[SteerPurpose::Locate]);
  CHECK_EQUAL(1, fleet.mSteered[SteerPurpose::Located]);
}

// The first replica was killed, and membership has not noticed it yet.
TEST(FlowLocate, DeadReplicaCostsItsTimeoutAndAQuery)
{
  LocationFleet fleet(5, 8);
  OpenAndRecord(fleet, 1, 0);
  std::size_t to = fleet.NoReplicaOf(1, 0);
  fleet.mBalancers[fleet.ReplicasOf(1)[0]]->mAlive = false;
  fleet.Data(1, to);
  fleet.Run(10ms);
  CHECK_EQUAL(1, fleet.Received(1));
  CHECK_EQUAL(0, fleet.Count(SteerEvent::Queried));
  fleet.Run(10ms);
  CHECK_EQUAL(2, fleet.Received(1));
  CHECK_EQUAL(1, fleet.Count(SteerEvent::LocateTimedOut));
  CHECK_EQUAL(1, fleet.Count(SteerEvent::Queried));
  // Once membership has noticed it, the other replica is asked.
  fleet.UpdateViews();
  fleet.Restart(to);
  fleet.ResetCounts();
  fleet.Data(1, to);
  CHECK_EQUAL(3, fleet.Received(1));
  CHECK_EQUAL(1, fleet.mSteered[SteerPurpose::Located]);
}

// Deployments whose flows carry one request each are served as before.
TEST(FlowLocate, FlowsOfOneRequestCauseNoRecord)
{
  LocationFleet fleet(3, 8);
  for (std::size_t flow = 0; flow < 100; ++flow) {
    fleet.Open(flow, flow % 3);
  }
  fleet.Run(400ms);
  for (std::size_t flow = 0; flow < 100; ++flow) {
    fleet.Fin(flow, flow % 3);
  }
  fleet.Run(2s);
  CHECK_EQUAL(0, fleet.mRecordMessages);
  fleet.AddBalancer();
  fleet.UpdateViews();
  fleet.Run(2s);
  CHECK_EQUAL(0, fleet.mRecordMessages);
  CHECK_EQUAL(0, fleet.Count(SteerEvent::LocateSent));
}

// A replica's record names a host that does not hold the flow.
TEST(FlowLocate, WrongRecordCostsAHopAndAQuery)
{
  LocationFleet fleet(5, 8);
  OpenAndRecord(fleet, 1, 0);
  std::uint64_t hash = HashFlow(LocationFleet::Flow(1));
  for (auto& it : fleet.mAgents) {
    if (!it->mReceived.contains(LocationFleet::Flow(1))) {
      for (std::size_t replica : fleet.ReplicasOf(1)) {
        fleet.mBalancers[replica]->mSteering->OnRecords(
          { { { hash, it->mMember.mHost } } });
      }
    }
  }
  std::size_t to = fleet.NoReplicaOf(1, 0);
  fleet.Data(1, to);
  CHECK_EQUAL(2, fleet.Received(1));
  CHECK_EQUAL(1, fleet.mSteered[SteerPurpose::Located]);
  CHECK_EQUAL(1, fleet.mSteered[SteerPurpose::NotHere]);
  CHECK_EQUAL(1, fleet.Count(SteerEvent::HintWrong));
  CHECK_EQUAL(1, fleet.Count(SteerEvent::Queried));
  // The query has written the right record.
  fleet.Run(kRecordTime);
  fleet.ResetCounts();
  fleet.Restart(to);
  fleet.Data(1, to);
  CHECK_EQUAL(3, fleet.Received(1));
  CHECK_EQUAL(0, fleet.mSteered[SteerPurpose::NotHere]);
}

// A host's record points to a host that has left the view.
TEST(FlowLocate, RecordOfAHostThatLeftTheViewIsNotUsed)
{
  LocationFleet fleet(5, 8);
  OpenAndRecord(fleet, 1, 0);
  std::uint64_t hash = HashFlow(LocationFleet::Flow(1));
  for (std::size_t replica : fleet.ReplicasOf(1)) {
    fleet.mBalancers[replica]->mSteering->OnRecords(
      { { { hash, MakeHostId("gone") } } });
  }
  fleet.Data(1, fleet.NoReplicaOf(1, 0));
  CHECK_EQUAL(2, fleet.Received(1));
  CHECK_EQUAL(0, fleet.mSteered[SteerPurpose::Located]);
  CHECK_EQUAL(1, fleet.Count(SteerEvent::LocateFailed));
}

// A balancer has not seen one of the others yet, and asks other replicas than
// those that have the record. Every flow still reaches its host, each with at
// most one query.
TEST(FlowLocate, DifferentViewsCostAHopOrAQuery)
{
  LocationFleet fleet(5, 8);
  for (std::size_t flow = 0; flow < 100; ++flow) {
    fleet.Open(flow, flow % 4);
  }
  fleet.Run(kRecordTime);
  fleet.Restart(4);
  auto others = fleet.OthersOf(4);
  others.erase(others.begin() + 1);
  fleet.mBalancers[4]->mSteering->SetBalancers(others);
  for (std::size_t flow = 0; flow < 100; ++flow) {
    fleet.Data(flow, 4);
    fleet.Run(FlowQueries::kBatchInterval);
    CHECK_EQUAL(2, fleet.Received(flow));
  }
  auto& steering = *fleet.mBalancers[4]->mSteering;
  CHECK_TRUE(steering.Count(SteerEvent::Queried) ==
             steering.Count(SteerEvent::LocateFailed));
  // Only flows whose two replicas are balancer 1 and balancer 4 itself.
  CHECK_TRUE(steering.Count(SteerEvent::Queried) < 25);
}

// A balancer is stopped, and membership notices it. Records move to the new
// replicas, so that afterwards any balancer locates every flow without a
// query, even when the other old replica is gone as well.
TEST(FlowLocate, RecordsMoveToTheNewReplicas)
{
  LocationFleet fleet(5, 8);
  for (std::size_t flow = 0; flow < 200; ++flow) {
    fleet.Open(flow, flow % 5);
  }
  fleet.Run(kRecordTime);
  for (std::size_t stopped : { 4, 3 }) {
    fleet.mBalancers[stopped]->mAlive = false;
    fleet.UpdateViews();
    fleet.Run(10s);
  }
  fleet.Restart(0);
  for (std::size_t flow = 0; flow < 200; ++flow) {
    fleet.Data(flow, 0);
    CHECK_EQUAL(2, fleet.Received(flow));
  }
  CHECK_EQUAL(0, fleet.Count(SteerEvent::Queried));
}

// Half of the balancers lose power at once and return. Flows of which both
// replicas and the opener were among them have no record; they are queried
// once and recorded again.
TEST(FlowLocate, HalfOfTheBalancersRestart)
{
  constexpr std::size_t kFlows = 400;
  LocationFleet fleet(10, 8);
  for (std::size_t flow = 0; flow < kFlows; ++flow) {
    fleet.Open(flow, flow % 10);
  }
  fleet.Run(kRecordTime);
  for (std::size_t i = 0; i < 5; ++i) {
    fleet.Restart(i);
  }
  fleet.UpdateViews();
  fleet.Run(20s);
  std::minstd_rand random(1);
  for (std::size_t flow = 0; flow < kFlows; ++flow) {
    fleet.Data(flow, random() % 10);
    fleet.Run(FlowQueries::kBatchInterval);
    CHECK_EQUAL(2, fleet.Received(flow));
  }
  // 5 x 4 / (10 x 9) of the flows have lost both replicas, half of these the
  // opener as well: 44 of 400 expected.
  std::uint64_t queried = fleet.Count(SteerEvent::Queried);
  CHECK_TRUE(queried > 20 && queried < 70);
  fleet.Run(kRecordTime);
  for (std::size_t flow = 0; flow < kFlows; ++flow) {
    fleet.Data(flow, random() % 10);
    fleet.Run(FlowQueries::kBatchInterval);
    CHECK_EQUAL(3, fleet.Received(flow));
  }
  CHECK_EQUAL(queried, fleet.Count(SteerEvent::Queried));
}

// The cost of a flow must not grow with the fleet: two records of 16 bytes, and
// one Locate when it moves, however many balancers there are.
TEST(FlowLocate, CostPerFlowIsFlatInTheNumberOfBalancers)
{
  constexpr std::size_t kFlows = 600;
  for (std::size_t balancers : { 3, 10, 60 }) {
    LocationFleet fleet(balancers, 8);
    for (std::size_t flow = 0; flow < kFlows; ++flow) {
      fleet.Open(flow, flow % balancers);
    }
    fleet.Run(5s);
    std::uint64_t records = fleet.Count(SteerEvent::RecordsSent);
    CHECK_EQUAL(records, fleet.Count(SteerEvent::RecordsReceived));
    CHECK_TRUE(records > kFlows && records <= 2 * kFlows);
    CHECK_TRUE(fleet.mRecordMessages <= 2 * kFlows);
    CHECK_TRUE(fleet.mRecordBytes <= 2 * kFlows *
                                       (FlowLocations::kMessageOverhead +
                                        FlowLocations::kRecordBytes));
    UT_PRINT(
      StringFromFormat("%d balancers: %.2f records, %.2f messages, %.1f "
                       "bytes per flow",
                       static_cast<int>(balancers),
                       static_cast<double>(records) / kFlows,
                       static_cast<double>(fleet.mRecordMessages) / kFlows,
                       static_cast<double>(fleet.mRecordBytes) / kFlows)
        .asCharString());
    fleet.ResetCounts();
    for (std::size_t flow = 0; flow < kFlows; ++flow) {
      fleet.Data(flow, (flow + 1) % balancers);
      CHECK_EQUAL(2, fleet.Received(flow));
    }
    CHECK_EQUAL(0, fleet.Count(SteerEvent::Queried));
    CHECK_TRUE(fleet.mSteered[SteerPurpose::Locate] <=
               static_cast<int>(kFlows));
  }
}
