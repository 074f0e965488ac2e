#include "src/passthrough/FlowSteering.h"

#include <map>
#include <set>
#include <vector>

#include "platform/PlatformPackets.h"
#include "src/net/Endpoint.h"

#include <CppUTest/TestHarness.h>

using namespace heatherplank;
using namespace std::chrono_literals;

namespace {

const FlowKey kFlow{ *ParseAddress("100.64.0.7:40001"),
                     *ParseAddress("198.18.0.1:443") };

} // namespace

TEST_GROUP(FlowSteering)
{
  struct Output final : FlowSteeringOutput
  {
    std::vector<std::pair<Address, SteeredPacket>> mSteered;
    std::vector<std::pair<Address, FlowQuery>> mQueries;
    std::vector<Bytes> mToCaller;
    int mPlaced = 0;

    void Steer(const Address& aAgent, const SteeredPacket& aPacket) override
    {
      mSteered.emplace_back(aAgent, aPacket);
    }
    void Query(const Address& aAgent, const FlowQuery& aQuery) override
    {
      mQueries.emplace_back(aAgent, aQuery);
    }
    void ToCaller(const Address&, ByteView aPacket) override
    {
      mToCaller.emplace_back(aPacket.begin(), aPacket.end());
    }
    void SendRecords(const Address&, const FlowRecords&) override {}
    void Placed(Duration) override { ++mPlaced; }
  };

  ManualClock mClock;
  PlatformPackets mPackets;
  Output mOut;
  FlowSteering mSteering{ { *ParseAddress("10.0.2.1:7000"),
                            MakeDataCentreId("near"), 64, MakeHostId("b") },
                          mPackets,
                          mOut };
  std::uint64_t mVersion = 0;

  static Member Host(int aIndex, const char* aDataCentre,
                     HostState aState = HostState::Serving)
  {
    Member out;
    out.mHost = MakeHostId("h" + std::to_string(aIndex));
    out.mService = MakeServiceId("s");
    out.mDataCentre = MakeDataCentreId(aDataCentre);
    out.mState = aState;
    out.mTunnel = *ParseAddress("10.0.1." + std::to_string(aIndex) + ":7000");
    return out;
  }

  void SetHosts(const std::vector<Member>& aMembers)
  {
    auto view = std::make_shared<MemberView>();
    view->mVersion = ++mVersion;
    view->mMembers = aMembers;
    std::sort(view->mMembers.begin(), view->mMembers.end());
    MemberViewPtr views[] = { view };
    ServiceId services[] = { MakeServiceId("s") };
    mSteering.SetViews(views, services);
  }

  void SetRoutes(
    std::vector<RouteShare> aShares = { { MakeServiceId("s"), 1 } })
  {
    auto inventory = std::make_shared<FlowInventory>();
    inventory->mVersion = 1;
    inventory->mRoutes[kFlow.mService].mShares = std::move(aShares);
    mSteering.SetInventory(inventory);
  }

  Bytes Packet(std::uint8_t aFlags, std::uint32_t aAcknowledged = 0)
  {
    Bytes out = mPackets.MakeReset({ kFlow.mService, kFlow.mCaller }, 1);
    out[20] = aFlags;
    out[35] = static_cast<std::uint8_t>(aAcknowledged);
    return out;
  }
  void Syn(std::uint32_t aRepeats = 0)
  {
    mSteering.OnPacket(Packet(64, aRepeats), mClock.Now());
  }
  void Data()
  {
    mSteering.OnPacket(Packet(4, 9), mClock.Now());
  }
  /** The relay's final reply to the last query, which asked for one flow. */
  void Reply(FlowOutcome aOutcome, int aHolder = 0,
             std::vector<Address> aUndecided = {})
  {
    FlowQueryReply reply;
    reply.mRound = mOut.mQueries.back().second.mRound;
    HostId holder = aHolder == 0 ? HostId{} : Host(aHolder, "near").mHost;
    reply.mAnswers = { { 0, aOutcome, holder } };
    reply.mUndecided = std::move(aUndecided);
    mSteering.OnQueryReply(reply, mClock.Now());
  }
  void Report(int aHost, PlacementOutcome aOutcome)
  {
    mSteering.OnReport({ kFlow, Host(aHost, "near").mHost, aOutcome },
                       mClock.Now());
  }
};

TEST(FlowSteering, OffersToLocalDataCentreFirst)
{
  SetRoutes();
  SetHosts({ Host(1, "far"), Host(2, "far"), Host(3, "near"), Host(4, "far"),
             Host(5, "near", HostState::Draining) });
  Syn();
  CHECK_EQUAL(1, mOut.mSteered.size());
  STRCMP_EQUAL("10.0.1.3:7000", mOut.mSteered[0].first.ToString().c_str());
  CHECK_EQUAL(3, mOut.mSteered[0].second.mCandidates.size());
}

// A balancer without routes drops an opening packet, as its address may be
// valid. A balancer whose routes do not include the address refuses the packet
// at once.
TEST(FlowSteering, UnknownRouteIsRefusedOnlyOnceRoutesAreKnown)
{
  Syn();
  CHECK_EQUAL(0, mOut.mToCaller.size());
  auto inventory = std::make_shared<FlowInventory>();
  mSteering.SetInventory(inventory);
  Syn();
  CHECK_EQUAL(1, mOut.mToCaller.size());
  CHECK_TRUE(mPackets.Parse(mOut.mToCaller[0])->mReset);
  Data();
  CHECK_EQUAL(1, mOut.mToCaller.size());
}

TEST(FlowSteering, OpeningPacketIsRefusedWithoutAServingHost)
{
  SetRoutes();
  SetHosts({ Host(1, "near", HostState::Draining) });
  Syn();
  CHECK_EQUAL(1, mOut.mToCaller.size());
}

// The first candidate lost power. The opening packet is offered to the other
// candidates after 30 ms, and later flows try the unresponsive host last.
TEST(FlowSteering, UnansweredOfferGoesToOtherHosts)
{
  SetRoutes();
  SetHosts({ Host(1, "near"), Host(2, "far") });
  Syn();
  mClock.Advance(PlacementWatch::kAnswerTimeout);
  mSteering.OnTick(mClock.Now());
  CHECK_EQUAL(2, mOut.mSteered.size());
  STRCMP_EQUAL("10.0.1.2:7000", mOut.mSteered[1].first.ToString().c_str());
  Syn(1);
  STRCMP_EQUAL("10.0.1.2:7000", mOut.mSteered[2].first.ToString().c_str());
}

TEST(FlowSteering, HintIsUsedUntilAPacketIsReturned)
{
  SetRoutes();
  SetHosts({ Host(1, "near"), Host(2, "far") });
  Syn();
  Report(2, PlacementOutcome::Placed);
  CHECK_EQUAL(1, mOut.mPlaced);
  Data();
  CHECK(mOut.mSteered[1].second.mPurpose == SteerPurpose::Deliver);
  STRCMP_EQUAL("10.0.1.2:7000", mOut.mSteered[1].first.ToString().c_str());
  SteeredPacket back = mOut.mSteered[1].second;
  back.mPurpose = SteerPurpose::NotHere;
  mSteering.OnReturned(back, mClock.Now());
  CHECK_EQUAL(1, mOut.mQueries.size());
  Reply(FlowOutcome::NotHeld);
  Reply(FlowOutcome::Held, 2);
  STRCMP_EQUAL("10.0.1.2:7000", mOut.mSteered[2].first.ToString().c_str());
  Data();
  CHECK(mOut.mSteered[3].second.mPurpose == SteerPurpose::Deliver);
}

// The fabric starts to send the packets of an upload to another balancer;
// sixteen arrive there at once, and the balancer does not know the flow's host.
// One query finds the host; the packets wait for its result and are delivered
// once each, in order.
TEST(FlowSteering, BurstOfPacketsStartsOneQuery)
{
  SetRoutes();
  SetHosts({ Host(1, "near"), Host(2, "near"), Host(3, "near") });
  for (int i = 0; i < 16; ++i) {
    mSteering.OnPacket(Packet(4, static_cast<std::uint32_t>(i)), mClock.Now());
  }
  CHECK_EQUAL(1, mOut.mQueries.size());
  CHECK_EQUAL(15, mSteering.Count(SteerEvent::HeldForSearch));
  CHECK_TRUE(mOut.mSteered.empty());
  Reply(FlowOutcome::Held, 3);
  CHECK_EQUAL(16, mOut.mSteered.size());
  for (std::size_t i = 0; i < mOut.mSteered.size(); ++i) {
    const auto& [to, steered] = mOut.mSteered[i];
    CHECK(steered.mPurpose == SteerPurpose::Deliver);
    CHECK(to == Host(3, "near").mTunnel);
    CHECK_EQUAL(i, steered.mPacket[35]);
  }
}

// A host reports the placement of a flow when it is no longer in this
// balancer's view. The packets held for the flow are dropped, as there is no
// address to send them to.
TEST(FlowSteering, HeldPacketsAreDroppedIfTheHostLeftTheView)
{
  SetRoutes();
  SetHosts({ Host(1, "near") });
  Data();
  Data();
  Report(9, PlacementOutcome::Placed);
  CHECK_TRUE(mOut.mSteered.empty());
}

// Hosts are added and removed until more are in view than are ranked. A query
// must cover the host of the flow, at whichever rank, and also while the host
// drains.
TEST(FlowSteering, QueryCoversAllHosts)
{
  SetRoutes();
  std::vector<Member> hosts;
  for (int i = 1; i <= 20; ++i) {
    hosts.push_back(
      Host(i, "near", i % 2 == 0 ? HostState::Draining : HostState::Serving));
  }
  SetHosts(hosts);
  Data();
  CHECK_EQUAL(1, mOut.mQueries.size());
  const auto& [relay, query] = mOut.mQueries[0];
  std::set<Address> queried(query.mHosts.begin(), query.mHosts.end());
  queried.insert(relay);
  CHECK_EQUAL(19, query.mHosts.size());
  CHECK_EQUAL(20, queried.size());
}

// A route has left the service at which a flow is open. Searches of the route's
// services only would never find the flow.
TEST(FlowSteering, FlowAtAServiceThatItsRouteHasLeftIsFound)
{
  SetRoutes({ { MakeServiceId("s"), 1 } });
  SetHosts({ Host(1, "near") });
  SetRoutes({ { MakeServiceId("t"), 1 } });
  Data();
  CHECK_EQUAL(1, mOut.mQueries.size());
  Reply(FlowOutcome::Held, 1);
  CHECK_EQUAL(1, mOut.mSteered.size());
  CHECK_TRUE(mOut.mSteered[0].second.mService == MakeServiceId("s"));
}

// Agents that restarted under a running host cannot tell whether it holds the
// flow. There is no reset, and their hosts are probed with the packet.
TEST(FlowSteering, UndecidedHostsAreProbed)
{
  SetRoutes();
  SetHosts({ Host(1, "near"), Host(2, "near") });
  mSteering.SetViewState({ true, false });
  Data();
  Reply(FlowOutcome::Unknown, 0, { Host(2, "near").mTunnel });
  CHECK_TRUE(mOut.mToCaller.empty());
  CHECK_EQUAL(1, mOut.mSteered.size());
  CHECK(mOut.mSteered[0].second.mPurpose == SteerPurpose::Search);
  CHECK(mOut.mSteered[0].first == Host(2, "near").mTunnel);
  // The probe was returned: only the undecided host is asked again.
  mClock.Advance(FlowQueries::kBatchInterval);
  mSteering.OnTick(mClock.Now());
  CHECK_EQUAL(2, mOut.mQueries.size());
  CHECK(mOut.mQueries[1].first == Host(2, "near").mTunnel);
  CHECK_TRUE(mOut.mQueries[1].second.mHosts.empty());
  Reply(FlowOutcome::NotHeld);
  CHECK_EQUAL(1, mOut.mToCaller.size());
}

// All hosts have lost power, and callers send into lost flows. Each packet is
// answered by one reset, and none but the first starts a query, until the
// caller opens a new flow. A caller's reset is never answered.
TEST(FlowSteering, EachPacketOfALostFlowIsAnsweredByAReset)
{
  SetRoutes();
  SetHosts({ Host(1, "near") });
  mSteering.SetViewState({ true, false });
  Data();
  Reply(FlowOutcome::NotHeld);
  CHECK_EQUAL(1, mOut.mToCaller.size());
  auto reset = mPackets.Parse(mOut.mToCaller[0]);
  CHECK_TRUE(reset->mReset);
  CHECK_EQUAL(9, reset->mSequence);
  Data();
  Data();
  CHECK_EQUAL(3, mOut.mToCaller.size());
  mSteering.OnPacket(Packet(4 | 8, 9), mClock.Now());
  CHECK_EQUAL(1, mOut.mQueries.size());
  CHECK_EQUAL(1, mSteering.Count(SteerEvent::NoHostHolds));
  CHECK_EQUAL(2, mSteering.Count(SteerEvent::ResetAgain));
  mClock.Advance(FlowQueries::kBatchInterval);
  Syn();
  Data();
  CHECK_EQUAL(2, mOut.mQueries.size());
}

// A caller's packet arrives while an offer for its flow is unanswered: a host
// may be about to open it.
TEST(FlowSteering, FlowWithAPendingOfferIsNotReset)
{
  SetRoutes();
  SetHosts({ Host(1, "near") });
  mSteering.SetViewState({ true, false });
  Syn();
  Data();
  Reply(FlowOutcome::NotHeld);
  CHECK_TRUE(mOut.mToCaller.empty());
}

TEST(FlowSteering, OnlyTheRefusalOfTheFirstCopyResetsTheCaller)
{
  SetRoutes();
  SetHosts({ Host(1, "near") });
  Syn();
  Report(1, PlacementOutcome::Refused);
  CHECK_EQUAL(1, mOut.mToCaller.size());
  Syn(1);
  Report(1, PlacementOutcome::Refused);
  CHECK_EQUAL(1, mOut.mToCaller.size());
  CHECK_EQUAL(1, mSteering.Count(SteerEvent::RefusedQuietly));
}

// A balancer is stalled with an opening packet in its socket, and the caller
// opens the flow with a copy through another balancer. The refusal of the old
// packet must not reach the caller.
TEST(FlowSteering, RefusalAfterAProcessStallSendsNoReset)
{
  SetRoutes();
  SetHosts({ Host(1, "near") });
  mSteering.OnProcessStall(mClock.Now());
  Syn();
  Report(1, PlacementOutcome::Refused);
  CHECK_EQUAL(0, mOut.mToCaller.size());
  mClock.Advance(300ms);
  Syn();
  Report(1, PlacementOutcome::Refused);
  CHECK_EQUAL(1, mOut.mToCaller.size());
}

TEST(FlowSteering, CopyIsOfferedToTheHostThatAnswered)
{
  SetRoutes();
  SetHosts({ Host(1, "near"), Host(2, "far") });
  Syn();
  Report(2, PlacementOutcome::Placed);
  Syn(1);
  STRCMP_EQUAL("10.0.1.2:7000", mOut.mSteered[1].first.ToString().c_str());
}

TEST(FlowSteering, MalformedPacketIsCounted)
{
  SetRoutes();
  Bytes garbage(20, 0xff);
  mSteering.OnPacket(garbage, mClock.Now());
  CHECK_EQUAL(1, mSteering.Count(SteerEvent::Malformed));
}

// A balancer offers a flow, is killed and restarts at once. The flow is open by
// then, and a duplicated or delayed copy of its opening packet reaches the new
// process, which knows no host yet. A refusal would reset the open flow.
TEST(FlowSteering, RefusalJustAfterTheStartSendsNoReset)
{
  mSteering.OnStart(mClock.Now());
  SetRoutes();
  Syn();
  CHECK_TRUE(mOut.mToCaller.empty());
  mClock.Advance(501ms);
  auto inventory = std::make_shared<FlowInventory>();
  inventory->mVersion = 2;
  mSteering.SetInventory(inventory);
  Syn();
  CHECK_EQUAL(1, mOut.mToCaller.size());
}

// All VMs return from a power loss, and this balancer is up before the hosts. A
// refused caller tries twice more within 30 ms and gives up; a caller without
// an answer repeats its packet after 200 ms and is served. A service that has
// no host for longer is refused.
TEST(FlowSteering, OpeningPacketIsDroppedDuringHostDiscovery)
{
  mSteering.OnStart(mClock.Now());
  SetRoutes();
  mClock.Advance(1900ms);
  Syn();
  CHECK_TRUE(mOut.mToCaller.empty());
  mClock.Advance(101ms);
  Syn();
  CHECK_EQUAL(1, mOut.mToCaller.size());
}

// A route was added, and the flow is open through a balancer that knows the
// route. A later copy of its opening packet reaches a balancer whose routes are
// slightly older and that would reset the flow.
TEST(FlowSteering, UnknownRouteDoesNotResetALaterCopy)
{
  auto inventory = std::make_shared<FlowInventory>();
  inventory->mVersion = 1;
  mSteering.SetInventory(inventory);
  Syn(1);
  CHECK_TRUE(mOut.mToCaller.empty());
  Syn();
  CHECK_EQUAL(1, mOut.mToCaller.size());
}

// A balancer was killed and restarts. A stalled agent then answers messages of
// the earlier incarnation: it refuses a flow and sends a packet back. The
// new process has no routes yet; it must neither crash nor send the caller
// anything.
TEST(FlowSteering, AnswersToAnEarlierIncarnationDoNoHarmWithoutRoutes)
{
  Report(1, PlacementOutcome::Refused);
  SteeredPacket back;
  back.mService = MakeServiceId("s");
  back.mPurpose = SteerPurpose::NotHere;
  back.mPacket = Packet(4, 9);
  mSteering.OnReturned(back, mClock.Now());
  CHECK_TRUE(mOut.mToCaller.empty());
  CHECK_TRUE(mOut.mSteered.empty());
}

// Guards against flows opened in a data centre that is about to lose power.
TEST(FlowSteering, DrainedDataCentreGetsNoNewFlow)
{
  SetRoutes();
  SetHosts({ Host(1, "near"), Host(2, "near"), Host(3, "far") });
  mSteering.SetDrains({ { 7 }, { MakeDataCentreId("near") } });
  Syn();
  CHECK_EQUAL(1, mOut.mSteered.size());
  STRCMP_EQUAL("10.0.1.3:7000", mOut.mSteered[0].first.ToString().c_str());
  CHECK_EQUAL(0, mOut.mSteered[0].second.mCandidates.size());
  CHECK_EQUAL(7, mOut.mSteered[0].second.mDrainsVersion.mRevision);
  // The drain also applies to later views, until it is revoked.
  SetHosts({ Host(1, "near"), Host(3, "far") });
  CHECK_EQUAL(1, mSteering.UsableHosts());
  mSteering.SetDrains({ { 9 }, {} });
  CHECK_EQUAL(2, mSteering.UsableHosts());
}

// Guards against a copy of an opening packet that follows a hint into a drained
// data centre.
TEST(FlowSteering, CopyFollowsNoHintIntoADrainedDataCentre)
{
  SetRoutes();
  SetHosts({ Host(1, "near"), Host(3, "far") });
  Report(1, PlacementOutcome::Placed);
  mSteering.SetDrains({ { 7 }, { MakeDataCentreId("near") } });
  Syn(1);
  CHECK_EQUAL(1, mOut.mSteered.size());
  STRCMP_EQUAL("10.0.1.3:7000", mOut.mSteered[0].first.ToString().c_str());
  // Packets of a flow that is open in the drained data centre still go there.
  Report(1, PlacementOutcome::Placed);
  Data();
  STRCMP_EQUAL("10.0.1.1:7000", mOut.mSteered.back().first.ToString().c_str());
}

// Every data centre of a service is drained: callers are refused at once, and
// no host receives a packet.
TEST(FlowSteering, CallersAreRefusedWhenAllDataCentresAreDrained)
{
  SetRoutes();
  SetHosts({ Host(1, "near") });
  mSteering.SetDrains({ { 7 }, { MakeDataCentreId("near") } });
  Syn();
  CHECK_EQUAL(0, mOut.mSteered.size());
  CHECK_EQUAL(1, mOut.mToCaller.size());
}
