#include "tests/RoutesFleet.h"

#include <CppUTest/TestHarness.h>

using namespace heatherplank;
using namespace std::chrono_literals;

TEST_GROUP(RoutesFleet){};

// Balancers with links of 2 Mbit/s are replaced in turn after the operator
// wrote 1,000 routes. Callers of a new one wait for seconds: it asked eight
// others for the document, again and again, and each copy holds its link, and
// the sender's, for more than half a second.
TEST(RoutesFleet, ARestartBringsOneDocumentOverAThinLink)
{
  RoutesFleet fleet({});
  fleet.Change(17);
  fleet.StartAll();
  fleet.UntilAllHave(17, 5s);
  fleet.Run(5s);
  for (std::size_t restarted : { 3, 6, 9 }) {
    fleet.Start(restarted);
    Duration took = fleet.UntilAllHave(17, 5s);
    CHECK_TRUE(took <= 1s);
    fleet.Run(3s);
    CHECK_TRUE(fleet.DocumentsAt(restarted) <= 2);
    for (std::size_t i = 0; i < 10; ++i) {
      CHECK_TRUE(fleet.BacklogAt(i) <= 10ms);
    }
  }
}

// Everything lost power. All balancers start at once over thin links; none has
// the routes, and each must have them about as soon as its own link carries the
// document, which no traffic between them may delay.
TEST(RoutesFleet, AMassReturnBringsOneDocumentToEach)
{
  RoutesFleet fleet({});
  fleet.Change(17);
  fleet.StartAll();
  Duration took = fleet.UntilAllHave(17, 5s);
  CHECK_TRUE(took <= 1500ms);
  fleet.Run(500ms);
  for (std::size_t i = 0; i < 10; ++i) {
    CHECK_TRUE(fleet.DocumentsAt(i) <= 2);
    CHECK_TRUE(fleet.BacklogAt(i) <= 10ms);
  }
}

// The operator changes the routes of hundreds of balancers. Three hear of it
// from the store; the others must have it from them within the time that a
// change may take, and the store is called by few.
TEST(RoutesFleet, AChangeReachesALargeFleetThroughAFewWatchers)
{
  RoutesFleet fleet({ .mBalancers = 91, .mLinkMbps = 20 });
  fleet.Change(17);
  fleet.StartAll();
  fleet.UntilAllHave(17, 5s);
  fleet.Run(10s);
  std::size_t before = fleet.StoreCalls();
  fleet.Run(10s);
  // Three watches of 0.75 to 1.5 s each.
  CHECK_TRUE(fleet.StoreCalls() - before <= 45);
  fleet.Change(23);
  CHECK_TRUE(fleet.UntilAllHave(23, 5s) <= 3s);
}

// The watchers of a large fleet are cut off from the store without a sign, and
// the operator changes the routes just then. Nobody tells the others, so they
// must find out by themselves within the time that a change may take.
TEST(RoutesFleet, AChangeReachesAllAlthoughTheWatchersAreCutOff)
{
  RoutesFleet fleet({ .mBalancers = 91, .mLinkMbps = 20 });
  fleet.Change(17);
  fleet.StartAll();
  fleet.UntilAllHave(17, 5s);
  fleet.Run(10s);
  auto watching = fleet.Watching();
  CHECK_TRUE(!watching.empty() && watching.size() <= 3);
  for (std::size_t it : watching) {
    fleet.CutFromStore(it);
  }
  fleet.Change(23);
  CHECK_TRUE(fleet.UntilAllHave(23, 5s) <= 3s);
}

// Guards against a data centre that loses power with flows which some balancers
// still placed there.
TEST(RoutesFleet, ADrainReachesALargeFleetWithinASecond)
{
  RoutesFleet fleet({ .mBalancers = 91, .mLinkMbps = 20 });
  fleet.Change(17);
  fleet.StartAll();
  fleet.UntilAllHave(17, 5s);
  fleet.Run(10s);
  fleet.Drain({ "dc-1" });
  CHECK_TRUE(fleet.UntilAllDrain(1, 5s) <= 1s);
  fleet.Drain({});
  CHECK_TRUE(fleet.UntilAllDrain(0, 5s) <= 1s);
}

// Guards against order and take-back that overtake each other on the way to
// balancers which do not watch.
TEST(RoutesFleet, ADrainThatFlipsEndsWhereTheOperatorLeftIt)
{
  RoutesFleet fleet({ .mBalancers = 30, .mLinkMbps = 20 });
  fleet.Change(17);
  fleet.StartAll();
  fleet.UntilAllHave(17, 5s);
  fleet.Run(5s);
  for (int i = 0; i < 5; ++i) {
    fleet.Drain({ "dc-1", "dc-2" });
    fleet.Run(70ms);
    fleet.Drain({ "dc-2" });
    fleet.Run(90ms);
  }
  CHECK_TRUE(fleet.UntilAllDrain(1, 5s) <= 1s);
  fleet.Run(5s);
  CHECK_EQUAL(30, fleet.CountDraining(1));
}

// Guards against a balancer that starts while the store is away and routes
// without knowing the drain.
TEST(RoutesFleet, ABalancerWithoutTheStoreLearnsADrainFromItsPeers)
{
  RoutesFleet fleet({});
  fleet.Change(17);
  fleet.StartAll();
  fleet.UntilAllHave(17, 5s);
  fleet.Drain({ "dc-1" });
  fleet.UntilAllDrain(1, 5s);
  fleet.CutAllFromStore();
  fleet.Start(3);
  CHECK_TRUE(fleet.UntilAllHave(17, 5s) <= 1500ms);
  CHECK_EQUAL(10, fleet.CountDraining(1));
}

// Guards against watchers that are cut off from the store while the others rely
// on them.
TEST(RoutesFleet, ADrainIsHeardInTimeWhenTheWatchersAreCutOff)
{
  RoutesFleet fleet({ .mBalancers = 30, .mLinkMbps = 20 });
  fleet.Change(17);
  fleet.StartAll();
  fleet.UntilAllHave(17, 5s);
  fleet.Run(5s);
  for (std::size_t it : fleet.Watching()) {
    fleet.CutFromStore(it);
  }
  fleet.Drain({ "dc-1" });
  CHECK_TRUE(fleet.UntilAllDrain(1, 5s) <= 3000ms);
}

// Guards against notices that are long under way and keep a confirmation young
// while the watchers are cut off.
TEST(RoutesFleet, SlowNoticesDoNotHideADrain)
{
  for (Duration trip : { 20ms, 50ms, 100ms }) {
    RoutesFleet fleet({ .mBalancers = 91, .mLinkMbps = 20, .mTrip = trip });
    fleet.Change(17);
    fleet.StartAll();
    fleet.UntilAllHave(17, 5s);
    fleet.Run(5s);
    for (std::size_t it : fleet.Watching()) {
      fleet.CutFromStore(it);
    }
    fleet.Run(1500ms);
    fleet.Drain({ "dc-1" });
    CHECK_TRUE(fleet.UntilAllDrain(1, 5s) <= 3000ms);
  }
}
