#include "src/steer/Ownership.h"
#include "tests/SteerFixture.h"
#include <algorithm>

#include <CppUTest/TestHarness.h>

using namespace heatherplank;
using namespace std::chrono_literals;

namespace {

/** Always picks the same rank. */
class RankPolicy final : public OwnerPolicy
{
public:
  explicit RankPolicy(std::size_t aRank)
    : mRank(aRank)
  {
  }
  std::size_t Pick(std::span<const Member* const>, std::uint64_t, Time) override
  {
    return mRank;
  }

private:
  std::size_t mRank;
};

/** One agent, its clock, and the actions of the last event. */
struct Agent
{
  explicit Agent(std::size_t aHosts, const OwnershipOptions& aOptions = {},
                 std::size_t aPick = 0)
    : mPolicy(aPick)
    , mMembers(TestMembers(aHosts))
    , mOwnership(ToPeer(mMembers[0]), MakeServiceId("agenda"), mPolicy,
                 aOptions, mNow)
  {
    See(1);
  }

  void See(std::uint64_t aVersion)
  {
    mActions.clear();
    mOwnership.OnView(TestView(aVersion, mMembers), mNow, mNow, mActions);
  }

  /** Lets time pass with the heartbeats that keep the view trusted. */
  void Pass(Duration aTime, std::uint64_t aVersion = 1)
  {
    for (Time end = mNow + aTime; mNow < end; mNow += 100ms) {
      See(aVersion);
      mOwnership.Tick(mNow, mActions);
    }
  }

  template<typename Wanted>
  Wanted Send(std::uint16_t aPort,
              PacketDirective aDirective = PacketDirective::Route,
              std::uint8_t aHops = 0)
  {
    PacketEvent packet;
    packet.mFlow = TestFlow(aPort);
    packet.mService = MakeServiceId("agenda");
    packet.mDirective = aDirective;
    packet.mHops = aHops;
    packet.mArbiter =
      mMembers[std::min<std::size_t>(1, mMembers.size() - 1)].mHost;
    mActions.clear();
    mOwnership.OnPacket(packet, mNow, mActions);
    return Last<Wanted>();
  }

  template<typename Wanted>
  Wanted Last() const
  {
    CHECK_FALSE(mActions.empty());
    const auto* found = std::get_if<Wanted>(&mActions.back());
    CHECK_TRUE(found != nullptr);
    return *found;
  }

  /** A port whose flow has the given member as arbiter. */
  std::uint16_t PortOf(std::size_t aMember) const
  {
    auto view = TestView(1, mMembers);
    std::uint16_t port = 1;
    while (view->Arbiter(HashFlow(TestFlow(port)))->mHost !=
           mMembers[aMember].mHost) {
      ++port;
    }
    return port;
  }

  Time mNow = Time{} + 1h;
  RankPolicy mPolicy;
  std::vector<Member> mMembers;
  Ownership mOwnership;
  OwnershipActions mActions;
};

} // namespace

TEST_GROUP(Ownership){};

TEST(Ownership, PlacesANewFlowAtOnceWhenViewsHaveSettled)
{
  Agent agent(4);
  agent.Pass(31s);
  agent.Send<DispatchPacket>(agent.PortOf(0));
  CHECK_EQUAL(1, agent.mOwnership.FlowCount());
}

// A host of the service does not answer, though it is alive in the view. It may
// own the flow, so the request is refused within the ask deadline; and since
// its claims may be lost like its answers, nothing is placed unasked later.
TEST(Ownership, AsksWhileViewsSettleAndRefusesOnSilence)
{
  Agent agent(4);
  std::uint16_t port = agent.PortOf(0);
  CHECK_TRUE(
    std::holds_alternative<Ask>(agent.Send<SendMessage>(port).mMessage));
  agent.mNow += 250ms;
  agent.mActions.clear();
  agent.mOwnership.Tick(agent.mNow, agent.mActions);
  CHECK_TRUE(agent.Last<RefusePacket>().mReason ==
             OwnershipRefusal::PeerSilent);
  agent.Pass(31s);
  CHECK_TRUE(
    std::holds_alternative<Ask>(agent.Send<SendMessage>(port).mMessage));
}

TEST(Ownership, ForwardsToTheArbiter)
{
  Agent agent(4);
  agent.Pass(31s);
  auto forward = agent.Send<ForwardPacket>(agent.PortOf(2));
  CHECK_TRUE(forward.mTo.mHost == agent.mMembers[2].mHost);
  CHECK_EQUAL(1, forward.mHops);
  CHECK_EQUAL(0, agent.mOwnership.FlowCount());
}

// A packet of another service reaches the agent, since its address moved while
// the packet was on its way. Delivering it would show one service's answers to
// another's callers.
TEST(Ownership, RefusesAnotherServicesPackets)
{
  Agent agent(1);
  agent.Pass(31s);
  PacketEvent packet;
  packet.mFlow = TestFlow(1);
  packet.mService = MakeServiceId("catalogo");
  agent.mActions.clear();
  agent.mOwnership.OnPacket(packet, agent.mNow, agent.mActions);
  CHECK_TRUE(agent.Last<RefusePacket>().mReason ==
             OwnershipRefusal::WrongService);
}

// Somebody opens flows without end. Each takes room in the flow table; were the
// oldest to make room, the flows of boat owners at work would be lost. Flows
// that were answered stay, and the flood is refused and counted.
TEST(Ownership, AFloodOfFlowsPushesOutNoEstablishedOne)
{
  OwnershipOptions options;
  options.mMaxFlows = 100;
  Agent agent(1, options);
  agent.Pass(31s);
  for (std::uint16_t port = 0; port < 60; ++port) {
    agent.Send<DispatchPacket>(port);
    agent.mOwnership.OnRequestStarted(TestFlow(port));
    agent.mOwnership.OnRequestEnded(TestFlow(port), true, agent.mNow,
                                    agent.mActions);
  }
  for (std::uint16_t port = 1000; port < 11000; ++port) {
    agent.Send<DispatchPacket>(port);
  }
  CHECK_EQUAL(100, agent.mOwnership.FlowCount());
  auto counters = agent.mOwnership.Counters();
  CHECK_EQUAL(9960, counters[OwnershipCount::FlowsEvicted]);
  for (std::uint16_t port = 0; port < 60; ++port) {
    agent.Send<DispatchPacket>(port);
  }
  CHECK_EQUAL(counters[OwnershipCount::Adopted],
              agent.mOwnership.Counters()
                .mCounts[static_cast<std::size_t>(OwnershipCount::Adopted)]);
}

TEST(Ownership, RefusesNewFlowsWhenTheTableHoldsEstablishedOnesOnly)
{
  OwnershipOptions options;
  options.mMaxFlows = 10;
  Agent agent(1, options);
  agent.Pass(31s);
  for (std::uint16_t port = 0; port < 10; ++port) {
    agent.Send<DispatchPacket>(port);
    agent.mOwnership.OnRequestEnded(TestFlow(port), true, agent.mNow,
                                    agent.mActions);
  }
  CHECK_TRUE(agent.Send<RefusePacket>(77).mReason ==
             OwnershipRefusal::FlowTableFull);
  agent.Pass(130s);
  CHECK_EQUAL(0, agent.mOwnership.FlowCount());
  agent.Send<DispatchPacket>(77);
}

// An agent is frozen for longer than others wait before they hold it dead, and
// wakes: its flows may be another host's by now, so it must ask first.
TEST(Ownership, AsksBeforeItDispatchesAfterALapse)
{
  Agent agent(3);
  agent.Pass(31s);
  std::uint16_t port = agent.PortOf(0);
  agent.Send<DispatchPacket>(port);
  agent.mNow += 5s;
  CHECK_TRUE(agent.Send<RefusePacket>(port).mReason ==
             OwnershipRefusal::ViewStale);
  agent.See(1);
  auto ask = std::get<Ask>(agent.Send<SendMessage>(port).mMessage);
  CHECK_TRUE(ask.mPurpose == AskPurpose::Reconfirm);
}

// An arbiter gave a flow to another host, where it expired long ago; meanwhile
// the flow may live elsewhere. Were the order to adopt repeated, the old life
// would begin anew beside the present one. With the guard off it is.
TEST(Ownership, OrdersToAdoptOnlyAtFirst)
{
  for (bool guard : { false, true }) {
    OwnershipOptions options;
    options.mGuards.mOldEntry = guard;
    Agent agent(3, options, 1);
    agent.Pass(31s);
    std::uint16_t port = agent.PortOf(0);
    auto first = agent.Send<ForwardPacket>(port);
    CHECK_TRUE(first.mDirective == PacketDirective::Adopt);
    CHECK_TRUE(agent.Send<ForwardPacket>(port).mEpoch == first.mEpoch);
    agent.Pass(4s);
    auto later = agent.Send<ForwardPacket>(port);
    CHECK_EQUAL(first.mEpoch, later.mEpoch);
    CHECK_TRUE((later.mDirective == PacketDirective::Deliver) == guard);
  }
}

TEST(Ownership, ADrainingHostAdoptsNothing)
{
  Agent agent(3);
  agent.Pass(31s);
  agent.mOwnership.Drain(agent.mNow, agent.mActions);
  for (std::uint16_t port = 0; port < 200; ++port) {
    agent.Send<ForwardPacket>(port);
    agent.Send<ForwardPacket>(port, PacketDirective::Adopt);
    agent.Send<ForwardPacket>(port, PacketDirective::Route, 5);
  }
  CHECK_EQUAL(0, agent.mOwnership.FlowCount());
  CHECK_TRUE(agent.Send<RefusePacket>(1, PacketDirective::Route, 6).mReason ==
             OwnershipRefusal::TooManyHops);
}
