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

/** One agent with its clock and the actions of the last event. */
struct Agent
{
  explicit Agent(std::size_t aHosts, const OwnershipOptions& aOptions = {},
                 std::size_t aPick = 0)
    : mPolicy(aPick)
    , mMembers(TestMembers(aHosts))
    , mOwnership(ToPeer(mMembers[0]), MakeServiceId("agenda"), mPolicy,
                 aOptions, mNow)
  {
    ReceiveView(1);
  }

  void ReceiveView(std::uint64_t aVersion)
  {
    mActions.clear();
    mOwnership.OnView(TestView(aVersion, mMembers), mNow, mNow, mActions);
  }

  /** Advances the clock, with the heartbeats that renew the lease. */
  void AdvanceClock(Duration aDuration, std::uint64_t aVersion = 1)
  {
    for (Time end = mNow + aDuration; mNow < end; mNow += 100ms) {
      ReceiveView(aVersion);
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

TEST(Ownership, PlacesANewFlowWithoutAQueryWhenViewsHaveSettled)
{
  Agent agent(4);
  agent.AdvanceClock(31s);
  agent.Send<DispatchPacket>(agent.PortOf(0));
  CHECK_EQUAL(1, agent.mOwnership.FlowCount());
}

// A host of the service is unresponsive, though it is live in the view. It may
// own the flow, so the request is refused after mQueryTimeout. Since its claims
// may be lost like its replies, flows are placed only after a query even when
// views have settled.
TEST(Ownership, RefusesAFlowWhosePossibleOwnerIsUnresponsive)
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
  agent.AdvanceClock(31s);
  CHECK_TRUE(
    std::holds_alternative<Ask>(agent.Send<SendMessage>(port).mMessage));
}

TEST(Ownership, ForwardsToTheArbiter)
{
  Agent agent(4);
  agent.AdvanceClock(31s);
  auto forward = agent.Send<ForwardPacket>(agent.PortOf(2));
  CHECK_TRUE(forward.mTo.mHost == agent.mMembers[2].mHost);
  CHECK_EQUAL(1, forward.mHops);
  CHECK_EQUAL(0, agent.mOwnership.FlowCount());
}

// A packet of another service reaches the agent, because an address moved while
// the packet was in flight. Dispatching it would send answers of one service to
// callers of another.
TEST(Ownership, RefusesAnotherServicesPackets)
{
  Agent agent(1);
  agent.AdvanceClock(31s);
  PacketEvent packet;
  packet.mFlow = TestFlow(1);
  packet.mService = MakeServiceId("catalogo");
  agent.mActions.clear();
  agent.mOwnership.OnPacket(packet, agent.mNow, agent.mActions);
  CHECK_TRUE(agent.Last<RefusePacket>().mReason ==
             OwnershipRefusal::WrongService);
}

// A flood of new flows fills the flow table. Evicting the least recently used
// entry would drop established flows of other callers, so only flows that were
// never answered are evicted, and the evictions are counted.
TEST(Ownership, AFloodOfNewFlowsEvictsNoEstablishedFlow)
{
  OwnershipOptions options;
  options.mMaxFlows = 100;
  Agent agent(1, options);
  agent.AdvanceClock(31s);
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
  agent.AdvanceClock(31s);
  for (std::uint16_t port = 0; port < 10; ++port) {
    agent.Send<DispatchPacket>(port);
    agent.mOwnership.OnRequestEnded(TestFlow(port), true, agent.mNow,
                                    agent.mActions);
  }
  CHECK_TRUE(agent.Send<RefusePacket>(77).mReason ==
             OwnershipRefusal::FlowTableFull);
  agent.AdvanceClock(130s);
  CHECK_EQUAL(0, agent.mOwnership.FlowCount());
  agent.Send<DispatchPacket>(77);
}

// An agent is stalled for longer than the timeout after which it is declared
// dead. When it resumes, other hosts may own its flows, so it must query them
// before it dispatches.
TEST(Ownership, ReconfirmsAFlowBeforeDispatchAfterTheLeaseExpired)
{
  Agent agent(3);
  agent.AdvanceClock(31s);
  std::uint16_t port = agent.PortOf(0);
  agent.Send<DispatchPacket>(port);
  agent.mNow += 5s;
  CHECK_TRUE(agent.Send<RefusePacket>(port).mReason ==
             OwnershipRefusal::ViewStale);
  agent.ReceiveView(1);
  auto ask = std::get<Ask>(agent.Send<SendMessage>(port).mMessage);
  CHECK_TRUE(ask.mPurpose == AskPurpose::Reconfirm);
}

// An arbiter placed a flow on another host, where it expired; meanwhile the
// flow may be established elsewhere. Repeating the order to adopt would revive
// the old epoch beside the current one. Without the guard the order is
// repeated.
TEST(Ownership, RepeatsAnOrderToAdoptOnlyWhileTheEntryIsNew)
{
  for (bool guard : { false, true }) {
    OwnershipOptions options;
    options.mGuards.mStaleEntry = guard;
    Agent agent(3, options, 1);
    agent.AdvanceClock(31s);
    std::uint16_t port = agent.PortOf(0);
    auto first = agent.Send<ForwardPacket>(port);
    CHECK_TRUE(first.mDirective == PacketDirective::Adopt);
    CHECK_TRUE(agent.Send<ForwardPacket>(port).mEpoch == first.mEpoch);
    agent.AdvanceClock(4s);
    auto later = agent.Send<ForwardPacket>(port);
    CHECK_EQUAL(first.mEpoch, later.mEpoch);
    CHECK_TRUE((later.mDirective == PacketDirective::Deliver) == guard);
  }
}

TEST(Ownership, ADrainingHostAdoptsNothing)
{
  Agent agent(3);
  agent.AdvanceClock(31s);
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
