#include "src/passthrough/FlowSteering.h"

#include <map>
#include <set>
#include <vector>

#include "platform/PlatformPackets.h"
#include "src/net/Endpoint.h"
#include "src/passthrough/SearchWalks.h"

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
    std::vector<Bytes> mToCaller;
    int mPlaced = 0;

    void Steer(const Address& aAgent, const SteeredPacket& aPacket) override
    {
      mSteered.emplace_back(aAgent, aPacket);
    }
    void ToCaller(const Address&, ByteView aPacket) override
    {
      mToCaller.emplace_back(aPacket.begin(), aPacket.end());
    }
    void Placed(Duration) override { ++mPlaced; }
  };

  ManualClock mClock;
  PlatformPackets mPackets;
  Output mOut;
  FlowSteering mSteering{ { *ParseAddress("10.0.2.1:7000"),
                            MakeDataCentreId("near"), 64 },
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
  void Report(int aHost, PlacementOutcome aOutcome)
  {
    mSteering.OnReport({ kFlow, Host(aHost, "near").mHost, aOutcome },
                       mClock.Now());
  }
};

TEST(FlowSteering, OffersHostsOfItsDataCentreFirst)
{
  SetRoutes();
  SetHosts({ Host(1, "far"), Host(2, "far"), Host(3, "near"), Host(4, "far"),
             Host(5, "near", HostState::Draining) });
  Syn();
  CHECK_EQUAL(1, mOut.mSteered.size());
  STRCMP_EQUAL("10.0.1.3:7000", mOut.mSteered[0].first.ToString().c_str());
  CHECK_EQUAL(3, mOut.mSteered[0].second.mCandidates.size());
}

// A balancer just started and knows no routes, or its routes name no such
// address. The first drops the packet, as its caller may be right; the second
// tells the caller at once.
TEST(FlowSteering, RefusesAnUnknownRouteOnlyOnceItHasRoutes)
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

TEST(FlowSteering, RefusesAtOnceWithoutAHost)
{
  SetRoutes();
  SetHosts({ Host(1, "near", HostState::Draining) });
  Syn();
  CHECK_EQUAL(1, mOut.mToCaller.size());
}

// The first candidate lost power. The opening packet goes to the others after
// 30 ms, and the flows behind it try the silent host last.
TEST(FlowSteering, LeavesASilentHost)
{
  SetRoutes();
  SetHosts({ Host(1, "near"), Host(2, "far") });
  Syn();
  mClock.Advance(PlacementWatch::kAnswerWithin);
  mSteering.OnTick(mClock.Now());
  CHECK_EQUAL(2, mOut.mSteered.size());
  STRCMP_EQUAL("10.0.1.2:7000", mOut.mSteered[1].first.ToString().c_str());
  Syn(1);
  STRCMP_EQUAL("10.0.1.2:7000", mOut.mSteered[2].first.ToString().c_str());
}

TEST(FlowSteering, FollowsAHintAndForgetsAWrongOne)
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
  mSteering.OnNotHere(back, mClock.Now());
  CHECK(mOut.mSteered[2].second.mPurpose == SteerPurpose::FanOut);
  mClock.Advance(200ms);
  Data();
  CHECK(mOut.mSteered[4].second.mPurpose == SteerPurpose::FanOut);
}

// The fabric moves an upload, and sixteen packets of it come at once to a
// balancer that does not know its host. One search finds it; the others wait
// for it and go there, each once and in their order.
TEST(FlowSteering, OneSearchServesAWindowOfPackets)
{
  SetRoutes();
  SetHosts({ Host(1, "near"), Host(2, "near"), Host(3, "near") });
  for (int i = 0; i < 16; ++i) {
    mSteering.OnPacket(Packet(4, static_cast<std::uint32_t>(i)), mClock.Now());
  }
  CHECK_EQUAL(2, mOut.mSteered.size());
  CHECK_EQUAL(15, mSteering.Count(SteerEvent::HeldForSearch));
  Report(3, PlacementOutcome::Placed);
  CHECK_EQUAL(17, mOut.mSteered.size());
  for (std::size_t i = 2; i < mOut.mSteered.size(); ++i) {
    const auto& [to, steered] = mOut.mSteered[i];
    CHECK(steered.mPurpose == SteerPurpose::Deliver);
    CHECK(to == Host(3, "near").mTunnel);
    CHECK_EQUAL(i - 1, steered.mPacket[35]);
  }
}

// The host of a flow answers for its placement while it is not in this
// balancer's view any more. What waited is dropped, not sent nowhere.
TEST(FlowSteering, WhatWaitedForAHostOutOfViewIsDropped)
{
  SetRoutes();
  SetHosts({ Host(1, "near") });
  Data();
  Data();
  Report(9, PlacementOutcome::Placed);
  CHECK_EQUAL(1, mOut.mSteered.size());
}

// Hosts come and go until more are in view than are ranked. The flow's host
// must be among those that a search walks, wherever it ranks, and also while
// it drains.
TEST(FlowSteering, ASearchWalksAllHosts)
{
  SetRoutes();
  std::vector<Member> hosts;
  for (int i = 1; i <= 20; ++i) {
    hosts.push_back(
      Host(i, "near", i % 2 == 0 ? HostState::Draining : HostState::Serving));
  }
  SetHosts(hosts);
  Data();
  std::multiset<Address> asked;
  for (const auto& [first, steered] : mOut.mSteered) {
    asked.insert(first);
    asked.insert(steered.mCandidates.begin(), steered.mCandidates.end());
  }
  CHECK_EQUAL(20, asked.size());
  CHECK_EQUAL(20, std::set<Address>(asked.begin(), asked.end()).size());
}

// Agents die in turn while the fabric moves flows. A search that ends at a dead
// agent must not end there again and again: the flow's host would get none of
// its packets until membership misses the agent.
TEST(FlowSteering, ADeadAgentHidesAHostFromFewSearches)
{
  SetRoutes();
  std::vector<Member> hosts;
  for (int i = 1; i <= 40; ++i) {
    hosts.push_back(Host(i, "near"));
  }
  SetHosts(hosts);
  const Address dead = hosts[7].mTunnel;
  std::map<Address, int> reached;
  // As the caller repeats its packet.
  for (int i = 0; i < 4; ++i) {
    Data();
    mClock.Advance(200ms);
  }
  for (const auto& [first, steered] : mOut.mSteered) {
    if (first == dead) {
      continue;
    }
    ++reached[first];
    for (SearchWalk& walk : DealWalks(steered.mCandidates, kWalksEach)) {
      walk.mOthers.insert(walk.mOthers.begin(), walk.mFirst);
      for (const Address& it : walk.mOthers) {
        if (it == dead) {
          break;
        }
        ++reached[it];
      }
    }
  }
  // Of four packets of a caller each other host gets one at least.
  CHECK_EQUAL(39, reached.size());
}

// The weights of a route changed since the flow was opened, so that its hash
// names another service now.
TEST(FlowSteering, ASearchAsksEachServiceOfTheRoute)
{
  SetRoutes({ { MakeServiceId("t"), 1 }, { MakeServiceId("s"), 1 } });
  SetHosts({ Host(1, "near") });
  Data();
  CHECK_EQUAL(1, mOut.mSteered.size());
  CHECK_TRUE(mOut.mSteered[0].second.mService == MakeServiceId("s"));
}

TEST(FlowSteering, TellsTheCallerOfARefusalOfItsOneOffer)
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

// A balancer stood still with an opening packet in its socket; the caller
// opened the flow by a copy at another balancer meanwhile. The old packet's
// refusal must not reach the caller.
TEST(FlowSteering, AfterAStandstillNothingIsRefusedAloud)
{
  SetRoutes();
  SetHosts({ Host(1, "near") });
  mSteering.OnStandstill(mClock.Now());
  Syn();
  Report(1, PlacementOutcome::Refused);
  CHECK_EQUAL(0, mOut.mToCaller.size());
  mClock.Advance(300ms);
  Syn();
  Report(1, PlacementOutcome::Refused);
  CHECK_EQUAL(1, mOut.mToCaller.size());
}

TEST(FlowSteering, ACopyGoesToTheHostThatAnswered)
{
  SetRoutes();
  SetHosts({ Host(1, "near"), Host(2, "far") });
  Syn();
  Report(2, PlacementOutcome::Placed);
  Syn(1);
  STRCMP_EQUAL("10.0.1.2:7000", mOut.mSteered[1].first.ToString().c_str());
}

TEST(FlowSteering, CountsWhatIsNoPacket)
{
  SetRoutes();
  Bytes garbage(20, 0xff);
  mSteering.OnPacket(garbage, mClock.Now());
  CHECK_EQUAL(1, mSteering.Count(SteerEvent::Malformed));
}

// A balancer offers a flow, is killed and starts again at once. The flow is
// open by then; a copy of its opening packet, doubled or late in the fabric,
// reaches the new process, which knows no host yet. A refusal would reset the
// open flow.
TEST(FlowSteering, RefusesNothingJustAfterItsStart)
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

// Everything lost power and comes back; this balancer is up before the hosts.
// Refused, a caller tries twice more within 30 ms and gives up; told nothing,
// it repeats its packet after 200 ms and is served. A service that has no host
// for longer is refused.
TEST(FlowSteering, HostsThatMayNotBeHeardYetAreWaitedFor)
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

// A route was added; the flow is open through a balancer that has it. A later
// copy of its opening packet moves to one that is a moment behind and would
// reset it.
TEST(FlowSteering, AnUnknownRouteResetsNoLaterCopy)
{
  auto inventory = std::make_shared<FlowInventory>();
  inventory->mVersion = 1;
  mSteering.SetInventory(inventory);
  Syn(1);
  CHECK_TRUE(mOut.mToCaller.empty());
  Syn();
  CHECK_EQUAL(1, mOut.mToCaller.size());
}

// A balancer was killed and starts again. An agent that stood still answers
// what the former life sent: a flow refused, a packet given back. The new
// process has no routes yet; it must neither crash nor tell the caller
// anything.
TEST(FlowSteering, AnswersToItsFormerLifeDoNoHarmBeforeItHasRoutes)
{
  Report(1, PlacementOutcome::Refused);
  SteeredPacket back;
  back.mService = MakeServiceId("s");
  back.mPurpose = SteerPurpose::NotHere;
  back.mPacket = Packet(4, 9);
  mSteering.OnNotHere(back, mClock.Now());
  CHECK_TRUE(mOut.mToCaller.empty());
  CHECK_TRUE(mOut.mSteered.empty());
}

// Guards against flows opened in a data centre that is about to lose power.
TEST(FlowSteering, ADrainedDataCentreGetsNoNewFlow)
{
  SetRoutes();
  SetHosts({ Host(1, "near"), Host(2, "near"), Host(3, "far") });
  mSteering.SetDrains({ 7, { MakeDataCentreId("near") } });
  Syn();
  CHECK_EQUAL(1, mOut.mSteered.size());
  STRCMP_EQUAL("10.0.1.3:7000", mOut.mSteered[0].first.ToString().c_str());
  CHECK_EQUAL(0, mOut.mSteered[0].second.mCandidates.size());
  CHECK_EQUAL(7, mOut.mSteered[0].second.mDrainsVersion);
  // Views that come later hold the drain too, until it is taken back.
  SetHosts({ Host(1, "near"), Host(3, "far") });
  CHECK_EQUAL(1, mSteering.UsableHosts());
  mSteering.SetDrains({ 9, {} });
  CHECK_EQUAL(2, mSteering.UsableHosts());
}

// Guards against a copy of an opening packet that follows a hint into a drained
// data centre.
TEST(FlowSteering, ACopyFollowsNoHintIntoADrainedDataCentre)
{
  SetRoutes();
  SetHosts({ Host(1, "near"), Host(3, "far") });
  Report(1, PlacementOutcome::Placed);
  mSteering.SetDrains({ 7, { MakeDataCentreId("near") } });
  Syn(1);
  CHECK_EQUAL(1, mOut.mSteered.size());
  STRCMP_EQUAL("10.0.1.3:7000", mOut.mSteered[0].first.ToString().c_str());
  // Packets of a flow that is open there still go there.
  Report(1, PlacementOutcome::Placed);
  Data();
  STRCMP_EQUAL("10.0.1.1:7000", mOut.mSteered.back().first.ToString().c_str());
}

// Every data centre of a service is drained: callers are told at once, and no
// host is given anything.
TEST(FlowSteering, WithEveryDataCentreDrainedCallersAreRefused)
{
  SetRoutes();
  SetHosts({ Host(1, "near") });
  mSteering.SetDrains({ 7, { MakeDataCentreId("near") } });
  Syn();
  CHECK_EQUAL(0, mOut.mSteered.size());
  CHECK_EQUAL(1, mOut.mToCaller.size());
}
