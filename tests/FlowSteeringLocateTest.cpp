// How FlowSteering combines lookups at replicas with offers, reports and
// queries that happen at the same time.
#include <vector>

#include "lab/soak/PacketMaker.h"
#include "src/net/Endpoint.h"
#include "src/passthrough/FlowSteering.h"

#include <CppUTest/TestHarness.h>

using namespace heatherplank;
using namespace std::chrono_literals;

namespace {

const FlowKey kFlow{ *ParseAddress("100.64.0.7:40001"),
                     *ParseAddress("198.18.0.1:443") };
const Address kSelf = *ParseAddress("10.0.2.1:7000");
const Address kReplica = *ParseAddress("10.0.2.2:7000");
const Address kAgent = *ParseAddress("10.0.1.1:7000");

} // namespace

TEST_GROUP(FlowSteeringLocate)
{
  struct Output final : FlowSteeringOutput
  {
    std::vector<std::pair<Address, SteeredPacket>> mSteered;
    std::size_t mRecords = 0;
    int mQueries = 0;

    void Steer(const Address& aTo, const SteeredPacket& aPacket) override
    {
      mSteered.emplace_back(aTo, aPacket);
    }
    void ToCaller(const Address&, ByteView) override {}
    void SendRecords(const Address&, const FlowRecords& aRecords) override
    {
      mRecords += aRecords.mRecords.size();
    }
    void Query(const Address&, const FlowQuery&) override { ++mQueries; }
    void Placed(Duration) override {}
  };

  ManualClock mClock;
  PlatformPackets mPackets;
  Output mOut;
  FlowSteering mSteering{ { .mSelf = kSelf,
                            .mDataCentre = MakeDataCentreId("near"),
                            .mMaxHints = 64,
                            .mHost = MakeHostId("b") },
                          mPackets,
                          mOut };
  HostId mHost = MakeHostId("h");

  void setup() override
  {
    auto inventory = std::make_shared<FlowInventory>();
    inventory->mVersion = 1;
    inventory->mRoutes[kFlow.mService].mShares = { { MakeServiceId("s"), 1 } };
    mSteering.SetInventory(inventory);
    auto view = std::make_shared<MemberView>();
    view->mVersion = 1;
    view->mMembers.resize(1);
    view->mMembers[0].mHost = mHost;
    view->mMembers[0].mService = MakeServiceId("s");
    view->mMembers[0].mState = HostState::Serving;
    view->mMembers[0].mTunnel = kAgent;
    MemberViewPtr views[] = { view };
    ServiceId services[] = { MakeServiceId("s") };
    mSteering.SetViews(views, services);
    Member other;
    other.mHost = MakeHostId("c");
    other.mDataCentre = MakeDataCentreId("near");
    other.mTunnel = kReplica;
    mSteering.SetBalancers({ &other, 1 });
  }
  void Packet(std::uint8_t aFlags, std::uint32_t aSequence = 1)
  {
    mSteering.OnPacket(lab::MakePacket(kFlow.mCaller, kFlow.mService, aFlags,
                                       aSequence, aFlags == lab::kSyn ? 0 : 9,
                                       0),
                       mClock.Now());
  }
  void Report()
  {
    mSteering.OnReport({ kFlow, mHost, PlacementOutcome::Placed },
                       mClock.Now());
  }
  /** A replica without a record sends the packet back. */
  void Return(SteeredPacket aSteered)
  {
    aSteered.mPurpose = SteerPurpose::NotHere;
    aSteered.mCandidates.clear();
    mSteering.OnReturned(aSteered, mClock.Now());
  }
  SteerPurpose LastPurpose() const
  {
    return mOut.mSteered.back().second.mPurpose;
  }
  void RunTicks(Duration aSpan)
  {
    for (Time end = mClock.Now() + aSpan; mClock.Now() < end;) {
      mClock.Advance(50ms);
      mSteering.SendRecords(mClock.Now());
    }
  }
};

// A busy agent reports the placement later than the caller sends its request.
// The request must reach the host without a query, and the report must not be
// taken for one that a replica caused: the flow would never be recorded.
TEST(FlowSteeringLocate, ReportOfAnOfferDuringALookupWritesTheRecord)
{
  Packet(lab::kSyn);
  Packet(lab::kAck, 2);
  CHECK(LastPurpose() == SteerPurpose::Locate);
  SteeredPacket located = mOut.mSteered.back().second;
  Report();
  CHECK_EQUAL(2, mOut.mSteered.size());
  Return(located);
  CHECK_EQUAL(3, mOut.mSteered.size());
  CHECK(LastPurpose() == SteerPurpose::Deliver);
  CHECK(mOut.mSteered.back().first == kAgent);
  CHECK_EQUAL(0, mSteering.Count(SteerEvent::HintWrong));
  RunTicks(1s);
  CHECK_EQUAL(1, mOut.mRecords);
  Packet(lab::kAck, 3);
  CHECK(LastPurpose() == SteerPurpose::Deliver);
}

// A caller opens a flow of one request, closes it, and later reuses its port
// for a long flow at the same host. The second flow must be recorded, although
// its host is the one that the balancer knows from the first.
TEST(FlowSteeringLocate, FlowOnAReusedPortIsRecorded)
{
  Packet(lab::kSyn);
  Report();
  Packet(lab::kAck | lab::kFin, 2);
  RunTicks(1s);
  CHECK_EQUAL(0, mOut.mRecords);
  Packet(lab::kSyn);
  Report();
  RunTicks(1s);
  CHECK_EQUAL(1, mOut.mRecords);
}

TEST(FlowSteeringLocate, FlowThatItsCallerResetsIsNotRecorded)
{
  RunTicks(200ms);
  Packet(lab::kSyn);
  Report();
  mSteering.OnPacket(mPackets.MakeReset({ kFlow.mService, kFlow.mCaller }, 2),
                     mClock.Now());
  RunTicks(1s);
  CHECK_EQUAL(0, mOut.mRecords);
}

// The replica is slow: its answer arrives when the query is running already.
TEST(FlowSteeringLocate, PacketReturnedAfterTheTimeoutStartsNoSecondQuery)
{
  Packet(lab::kAck);
  SteeredPacket located = mOut.mSteered.back().second;
  CHECK(*mSteering.NextAt() == mClock.Now() + FlowSearches::kLocateTimeout);
  mClock.Advance(FlowSearches::kLocateTimeout);
  mSteering.OnTick(mClock.Now());
  CHECK_EQUAL(1, mSteering.Count(SteerEvent::Queried));
  Return(located);
  CHECK_EQUAL(1, mSteering.Count(SteerEvent::Queried));
  CHECK(*mSteering.NextAt() > mClock.Now());
}

// The lookup fails although a record has arrived meanwhile, from a balancer
// that opened the flow half a second ago. The waiting packets use it, in order.
TEST(FlowSteeringLocate, RecordThatArrivesDuringALookupIsUsed)
{
  Packet(lab::kAck, 1);
  Packet(lab::kAck, 2);
  SteeredPacket located = mOut.mSteered.back().second;
  mSteering.OnRecords({ { { HashFlow(kFlow), mHost } } });
  Return(located);
  CHECK_EQUAL(3, mOut.mSteered.size());
  CHECK(mOut.mSteered[1].second.mPacket == located.mPacket);
  CHECK(LastPurpose() == SteerPurpose::Deliver);
  CHECK_EQUAL(0, mSteering.Count(SteerEvent::Queried));
}

TEST(FlowSteeringLocate, WithoutAnotherBalancerTheQueryStartsAtOnce)
{
  mSteering.SetBalancers({});
  Packet(lab::kAck);
  CHECK_EQUAL(1, mOut.mQueries);
  CHECK_EQUAL(0, mSteering.Count(SteerEvent::LocateSent));
}

// A caller sends garbage to a replica through a balancer of another version.
TEST(FlowSteeringLocate, MalformedLocateIsCounted)
{
  SteeredPacket garbage;
  garbage.mPurpose = SteerPurpose::Locate;
  garbage.mPacket = { 1, 2, 3 };
  mSteering.OnLocate(garbage);
  CHECK_EQUAL(1, mSteering.Count(SteerEvent::Malformed));
  CHECK_TRUE(mOut.mSteered.empty());
}
