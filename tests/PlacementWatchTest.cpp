#include "src/passthrough/PlacementWatch.h"

#include <CppUTest/TestHarness.h>

using namespace heatherplank;
using namespace std::chrono_literals;

TEST_GROUP(PlacementWatch)
{
  ManualClock mClock;
  PlacementWatch mWatch;

  static FlowKey Flow(std::uint16_t aPort)
  {
    FlowKey out;
    out.mCaller.mPort = aPort;
    return out;
  }

  static std::vector<PlacementCandidate> Candidates()
  {
    return { { MakeHostId("a"), {} }, { MakeHostId("b"), {} } };
  }
};

TEST(PlacementWatch, AnswerEndsTheWatch)
{
  mWatch.Begin(Flow(1), {}, Candidates(), PlacementWatch::Copy::First,
               mClock.Now());
  mWatch.End(Flow(1));
  mClock.Advance(1s);
  CHECK_TRUE(mWatch.TakeTimedOut(mClock.Now()).empty());
  CHECK_FALSE(mWatch.IsSuspected(MakeHostId("a"), mClock.Now()));
}

// A host loses power. Membership misses its heartbeats only a second later;
// until then every flow that ranks the host first would wait for the repeat of
// its caller.
TEST(PlacementWatch, UnresponsiveHostIsSuspectedAndNoCandidate)
{
  mWatch.Begin(Flow(1), {}, Candidates(), PlacementWatch::Copy::First,
               mClock.Now());
  CHECK(*mWatch.NextAt() == mClock.Now() + PlacementWatch::kAnswerTimeout);
  mClock.Advance(PlacementWatch::kAnswerTimeout);
  auto timedOut = mWatch.TakeTimedOut(mClock.Now());
  CHECK_EQUAL(1, timedOut.size());
  CHECK_EQUAL(1, timedOut[0].mCandidates.size());
  CHECK_TRUE(timedOut[0].mCandidates[0].mHost == MakeHostId("b"));
  CHECK_TRUE(mWatch.IsSuspected(MakeHostId("a"), mClock.Now()));
  mClock.Advance(PlacementWatch::kSuspicionDuration);
  CHECK_FALSE(mWatch.IsSuspected(MakeHostId("a"), mClock.Now()));
}

TEST(PlacementWatch, AnswerClearsTheSuspicion)
{
  mWatch.Begin(Flow(1), {}, Candidates(), PlacementWatch::Copy::First,
               mClock.Now());
  mClock.Advance(PlacementWatch::kAnswerTimeout);
  mWatch.TakeTimedOut(mClock.Now());
  mWatch.ClearSuspicion(MakeHostId("a"));
  CHECK_FALSE(mWatch.IsSuspected(MakeHostId("a"), mClock.Now()));
}

TEST(PlacementWatch, CopyOfThePacketRestartsTheTimeout)
{
  mWatch.Begin(Flow(1), {}, Candidates(), PlacementWatch::Copy::First,
               mClock.Now());
  mClock.Advance(20ms);
  mWatch.Begin(Flow(1), {}, Candidates(), PlacementWatch::Copy::First,
               mClock.Now());
  mClock.Advance(15ms);
  CHECK_TRUE(mWatch.TakeTimedOut(mClock.Now()).empty());
  mClock.Advance(15ms);
  CHECK_EQUAL(1, mWatch.TakeTimedOut(mClock.Now()).size());
}

TEST(PlacementWatch, WatchedPacketsAreBounded)
{
  for (std::size_t i = 0; i < PlacementWatch::kMaxWatched + 10; ++i) {
    mWatch.Begin(Flow(static_cast<std::uint16_t>(i)), {}, Candidates(),
                 PlacementWatch::Copy::First, mClock.Now());
  }
  CHECK_EQUAL(PlacementWatch::kMaxWatched, mWatch.Size());
}

// An agent was stalled with the first copy of an opening packet, and the flow
// was opened elsewhere meanwhile. Its late refusal must not reset the open
// flow.
TEST(PlacementWatch, OnlyTheRefusalOfASingleCopyAllowsAReset)
{
  using Copy = PlacementWatch::Copy;
  mWatch.Begin(Flow(1), {}, Candidates(), Copy::First, mClock.Now());
  CHECK_TRUE(mWatch.EndRefused(Flow(1), mClock.Now()));
  CHECK_FALSE(mWatch.EndRefused(Flow(1), mClock.Now()));
  mWatch.Begin(Flow(2), {}, Candidates(), Copy::Later, mClock.Now());
  CHECK_FALSE(mWatch.EndRefused(Flow(2), mClock.Now()));
  mWatch.Begin(Flow(3), {}, Candidates(), Copy::First, mClock.Now());
  mWatch.ForgetAll();
  CHECK_FALSE(mWatch.EndRefused(Flow(3), mClock.Now()));
}

// An agent was stalled for most of a second with the only copy that this
// balancer offered, and refuses it. The caller has sent two more copies by
// then, and another balancer placed one of them: a reset would end the open
// flow.
TEST(PlacementWatch, RefusalAfterTheNextCopyOfTheCallerAllowsNoReset)
{
  mWatch.Begin(Flow(1), {}, Candidates(), PlacementWatch::Copy::First,
               mClock.Now());
  mClock.Advance(60ms);
  CHECK_TRUE(mWatch.TakeTimedOut(mClock.Now()).empty());
  mClock.Advance(95ms);
  CHECK_FALSE(mWatch.EndRefused(Flow(1), mClock.Now()));
}

// A balancer gets little CPU time, and answers wait in its socket for longer
// than the timeout of hosts. No host is at fault, and repeating all offers
// would add load.
TEST(PlacementWatch, TimeoutNoticedFarTooLateIsRestarted)
{
  mWatch.Begin(Flow(1), {}, Candidates(), PlacementWatch::Copy::First,
               mClock.Now());
  mClock.Advance(PlacementWatch::kAnswerTimeout +
                 PlacementWatch::kStallTolerance);
  CHECK_TRUE(mWatch.TakeTimedOut(mClock.Now()).empty());
  CHECK_FALSE(mWatch.IsSuspected(MakeHostId("a"), mClock.Now()));
  mClock.Advance(PlacementWatch::kAnswerTimeout);
  CHECK_EQUAL(1, mWatch.TakeTimedOut(mClock.Now()).size());
}

TEST(PlacementWatch, RepeatedOffersAreBounded)
{
  mWatch.Begin(Flow(1), {}, Candidates(), PlacementWatch::Copy::Later,
               mClock.Now(), PlacementWatch::kMaxRepeatedOffers);
  mClock.Advance(PlacementWatch::kAnswerTimeout);
  auto timedOut = mWatch.TakeTimedOut(mClock.Now());
  CHECK_EQUAL(1, timedOut.size());
  CHECK_TRUE(timedOut[0].mCandidates.empty());
}
