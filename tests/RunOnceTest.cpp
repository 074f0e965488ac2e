#include <cstdio>

#include "tests/RunOnceWorld.h"

#include <CppUTest/TestHarness.h>

using namespace heatherplank;
using namespace std::chrono_literals;

namespace {

RunOnceOptions TestOptions()
{
  RunOnceOptions options;
  options.mShards = 2;
  options.mGate.mWritesPerSecond = 1000;
  options.mGate.mReadsPerSecond = 1000;
  return options;
}

struct Totals
{
  int mRunTwice = 0;
  int mFalseNotRun = 0;
  int mLateDispatch = 0;
  int mUnanswered = 0;
  int mGranted = 0;
  int mDuplicates = 0;
  int mNotRun = 0;
  int mUnknown = 0;
};

Totals Explore(int aSchedules, const RunOnceOptions& aOptions,
               const WorldFaults& aFaults = {})
{
  Totals totals;
  for (int seed = 1; seed <= aSchedules; ++seed) {
    RunOnceWorld world(seed, aOptions, aFaults);
    world.Run();
    totals.mRunTwice += world.mRunTwice;
    totals.mFalseNotRun += world.mFalseNotRun;
    totals.mLateDispatch += world.mLateDispatch;
    totals.mUnanswered += world.mUnanswered;
    totals.mGranted += world.mGranted;
    totals.mDuplicates += world.mDuplicates;
    totals.mNotRun += world.mNotRun;
    totals.mUnknown += world.mUnknown;
  }
  std::printf("schedules %d: run twice %d, false not-run %d, late %d, "
              "unanswered %d; granted %d, duplicates %d, not run %d, "
              "unknown %d\n",
              aSchedules, totals.mRunTwice, totals.mFalseNotRun,
              totals.mLateDispatch, totals.mUnanswered, totals.mGranted,
              totals.mDuplicates, totals.mNotRun, totals.mUnknown);
  return totals;
}

} // namespace

TEST_GROUP(RunOnce){};

// A squall, and the same claim comes through three flows at three agents while
// agents crash and freeze, and the platform loses calls and answers, lands
// writes late and goes down. No claim may run twice, none may run after its
// caller was told that it was not run, and every caller must hear something.
TEST(RunOnce, HoldsInEverySeededSchedule)
{
  Totals totals = Explore(20000, TestOptions());
  CHECK_EQUAL(0, totals.mRunTwice);
  CHECK_EQUAL(0, totals.mFalseNotRun);
  CHECK_EQUAL(0, totals.mLateDispatch);
  CHECK_EQUAL(0, totals.mUnanswered);
  CHECK_TRUE(totals.mGranted > 0 && totals.mDuplicates > 0);
}

// The same worlds with one guard off at a time: each shows the failure that
// its guard meets, or the schedules above would prove nothing.
TEST(RunOnce, EachGuardOffShowsItsFailure)
{
  RunOnceOptions options = TestOptions();
  options.mShard.mConditional = false;
  CHECK_TRUE(Explore(1000, options).mRunTwice > 0);

  options = TestOptions();
  options.mShard.mReadBack = false;
  CHECK_TRUE(Explore(1000, options).mRunTwice > 0);

  options = TestOptions();
  options.mAskHolder = false;
  CHECK_TRUE(Explore(1000, options).mRunTwice > 0);

  options = TestOptions();
  options.mAskPeers = false;
  CHECK_TRUE(Explore(1000, options).mFalseNotRun > 0);

  options = TestOptions();
  options.mCheckBeforeDispatch = false;
  Totals late = Explore(1000, options);
  CHECK_TRUE(late.mLateDispatch > 0);
  CHECK_EQUAL(0, late.mFalseNotRun);

  // The check before dispatch would hide this one, so it is off as well.
  options.mDropGivenUp = false;
  CHECK_TRUE(Explore(3000, options).mFalseNotRun > 0);
}
