#include <cstdio>

#include "tests/RunOnceSimulation.h"

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

Totals RunSchedules(int aSchedules, const RunOnceOptions& aOptions,
                    const SimulationFaults& aFaults = {})
{
  Totals totals;
  for (int seed = 1; seed <= aSchedules; ++seed) {
    RunOnceSimulation simulation(seed, aOptions, aFaults);
    simulation.Run();
    totals.mRunTwice += simulation.mRunTwice;
    totals.mFalseNotRun += simulation.mFalseNotRun;
    totals.mLateDispatch += simulation.mLateDispatch;
    totals.mUnanswered += simulation.mUnanswered;
    totals.mGranted += simulation.mGranted;
    totals.mDuplicates += simulation.mDuplicates;
    totals.mNotRun += simulation.mNotRun;
    totals.mUnknown += simulation.mUnknown;
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

// Requests for the same keys arrive at three agents, while agents crash and
// stall and the platform loses calls and answers, commits writes late and goes
// down. No key may run twice, no request that ran may be answered NotRun, and
// every request must be answered.
TEST(RunOnce, KeepsItsGuaranteesUnderSeededFaults)
{
  Totals totals = RunSchedules(20000, TestOptions());
  CHECK_EQUAL(0, totals.mRunTwice);
  CHECK_EQUAL(0, totals.mFalseNotRun);
  CHECK_EQUAL(0, totals.mLateDispatch);
  CHECK_EQUAL(0, totals.mUnanswered);
  CHECK_TRUE(totals.mGranted > 0 && totals.mDuplicates > 0);
}

// Runs the same schedules with one guard disabled at a time. Each must show the
// failure that the guard prevents; otherwise the test above doesn't cover it.
TEST(RunOnce, DisablingAGuardCausesItsFailure)
{
  RunOnceOptions options = TestOptions();
  options.mShard.mConditional = false;
  CHECK_TRUE(RunSchedules(1000, options).mRunTwice > 0);

  options = TestOptions();
  options.mShard.mReadBack = false;
  CHECK_TRUE(RunSchedules(1000, options).mRunTwice > 0);

  options = TestOptions();
  options.mQueryHolder = false;
  CHECK_TRUE(RunSchedules(1000, options).mRunTwice > 0);

  options = TestOptions();
  options.mQueryPeers = false;
  CHECK_TRUE(RunSchedules(1000, options).mFalseNotRun > 0);

  options = TestOptions();
  options.mCheckBeforeDispatch = false;
  Totals late = RunSchedules(1000, options);
  CHECK_TRUE(late.mLateDispatch > 0);
  CHECK_EQUAL(0, late.mFalseNotRun);

  // The check before dispatch would hide this failure, so it is disabled too.
  options.mDropExpiredWaiters = false;
  CHECK_TRUE(RunSchedules(3000, options).mFalseNotRun > 0);
}
