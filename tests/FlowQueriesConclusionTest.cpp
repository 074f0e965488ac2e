#include "tests/FlowQueriesFixture.h"

#include <algorithm>

using namespace heatherplank;

TEST_GROUP_BASE(FlowQueriesConclusion, FlowQueriesFixture){};

// A flow that all hosts in view deny while the view may lack hosts. It is not
// queried again, and is reset once the view is complete, if its caller sends.
TEST(FlowQueriesConclusion, DeniedFlowWaitsForACompleteView)
{
  mQueries->SetViewState({ false, false });
  Packet();
  Reply(FlowOutcome::NotHeld);
  for (int i = 0; i < 5; ++i) {
    Advance(200ms);
    Packet(1, 10);
  }
  CHECK_EQUAL(1, mOut.mQueries.size());
  CHECK_EQUAL(0, Nowhere());
  mQueries->SetViewState({ true, false });
  Advance(50ms);
  CHECK_EQUAL(1, Nowhere());
  CHECK(mOut.mNowhere[0].mAcknowledged == 10U);
}

TEST(FlowQueriesConclusion, DeniedFlowOfASilentCallerIsNotReset)
{
  mQueries->SetViewState({ false, false });
  Packet();
  Reply(FlowOutcome::NotHeld);
  mClock.Advance(FlowQueries::kCallerTimeout);
  mQueries->SetViewState({ true, false });
  Advance(50ms);
  CHECK_EQUAL(0, Nowhere());
}

// The host that holds the flow appears late. Only it is asked.
TEST(FlowQueriesConclusion, DeniedFlowAsksOnlyHostsThatAppearLater)
{
  mQueries->SetViewState({ false, false });
  Packet();
  Reply(FlowOutcome::NotHeld);
  mQueries->SetHosts({ Host(1), Host(2), Host(3), Host(4) });
  Advance(50ms);
  CHECK_EQUAL(2, mOut.mQueries.size());
  CHECK(mOut.mQueries[1].first == Host(4).mTunnel);
  CHECK_TRUE(mOut.mQueries[1].second.mHosts.empty());
  mQueries->SetViewState({ true, false });
  Advance(50ms);
  CHECK_EQUAL(0, Nowhere());
  Reply(FlowOutcome::Held);
  CHECK_EQUAL(1, mOut.mFound.size());
}

// A host was declared dead, but may be alive behind a cut.
TEST(FlowQueriesConclusion, RecentDeathPreventsAReset)
{
  mQueries->SetViewState({ true, true });
  Packet();
  Reply(FlowOutcome::NotHeld);
  CHECK_EQUAL(0, Nowhere());
  mQueries->SetViewState({ true, false });
  Advance(50ms);
  CHECK_EQUAL(1, Nowhere());
}

// The view of a balancer that has just resumed is as old as the stall.
TEST(FlowQueriesConclusion, NothingIsConcludedJustAfterAStall)
{
  mQueries->OnProcessStall(mClock.Now());
  Packet();
  Reply(FlowOutcome::NotHeld);
  Advance(999ms);
  CHECK_EQUAL(0, Nowhere());
  Advance(1ms);
  CHECK_EQUAL(1, Nowhere());
}

// Each guard is disabled in turn, in the situation in which it prevents a
// reset.
TEST(FlowQueriesConclusion, DisablingAGuardResetsTheFlow)
{
  struct GuardCase
  {
    bool FlowQueryGuards::*mGuard;
    void (*mPrepare)(FlowQueries&, Output&, Time);
    FlowOutcome mOutcome = FlowOutcome::NotHeld;
  };
  const GuardCase cases[] = {
    { &FlowQueryGuards::mRequireEveryHost, [](FlowQueries&, Output&, Time) {},
      FlowOutcome::Unknown },
    { &FlowQueryGuards::mRequireCompleteView,
      [](FlowQueries& aQueries, Output&, Time) {
        aQueries.SetViewState({ false, false });
      } },
    { &FlowQueryGuards::mCheckRecentDeaths,
      [](FlowQueries& aQueries, Output&, Time) {
        aQueries.SetViewState({ true, true });
      } },
    { &FlowQueryGuards::mCheckStall,
      [](FlowQueries& aQueries, Output&, Time aNow) {
        aQueries.OnProcessStall(aNow);
      } },
    { &FlowQueryGuards::mCheckPendingOffer,
      [](FlowQueries&, Output& aOut, Time) { aOut.mHasPendingOffer = true; } },
  };
  for (const GuardCase& it : cases) {
    for (bool isOn : { true, false }) {
      mOut = {};
      mGuards = {};
      mGuards.*it.mGuard = isOn;
      Restart();
      it.mPrepare(*mQueries, mOut, mClock.Now());
      Packet();
      Reply(0, it.mOutcome, { Host(1).mTunnel });
      CHECK_EQUAL(isOn ? 0 : 1, Nowhere());
    }
  }
}

TEST(FlowQueriesConclusion, ConcludedFlowIsNotQueriedUntilItIsOpenedAgain)
{
  Packet();
  Reply(FlowOutcome::NotHeld);
  CHECK_EQUAL(1, Nowhere());
  CHECK_TRUE(mQueries->IsHeldNowhere({ Flow(1), 9 }, mClock.Now()));
  mQueries->Forget(Flow(1));
  CHECK_FALSE(mQueries->IsHeldNowhere({ Flow(1), 9 }, mClock.Now()));
}

// The caller opens a new flow from the same port through another balancer. This
// one has seen no opening packet, but a new acknowledgement number.
TEST(FlowQueriesConclusion, NewFlowOfTheSamePortIsQueried)
{
  Packet(1, 9);
  Reply(FlowOutcome::NotHeld);
  CHECK_FALSE(mQueries->IsHeldNowhere({ Flow(1), 9000000 }, mClock.Now()));
  mClock.Advance(FlowQueries::kBatchInterval);
  Packet(1, 9000000);
  CHECK_EQUAL(2, mOut.mQueries.size());
}

// An opening packet arrives while the hosts are asked. What they said before it
// must not count for the new flow.
TEST(FlowQueriesConclusion, RepliesFromBeforeAnOpeningPacketAreIgnored)
{
  Packet();
  mQueries->Forget(Flow(1));
  Packet();
  Reply(0, FlowOutcome::NotHeld);
  CHECK_EQUAL(0, Nowhere());
  Advance(50ms);
  CHECK_EQUAL(2, mOut.mQueries.size());
  CHECK_EQUAL(2, mOut.mQueries[1].second.mHosts.size());
}

TEST(FlowQueriesConclusion, ResetOfTheCallerIsNotAnswered)
{
  Packet(1, 9, false);
  Reply(FlowOutcome::NotHeld);
  Advance(50ms);
  CHECK_EQUAL(0, Nowhere());
}
