#include "src/process/ProcessStallWatch.h"

#include <CppUTest/TestHarness.h>

using namespace heatherplank;
using namespace std::chrono_literals;

TEST_GROUP(ProcessStallWatch)
{
  ManualClock mClock;
  Duration mSinceBoot = 100s;
  ProcessStallWatch mWatch;

  Duration Tick(Duration aRan, Duration aSuspended = 0s)
  {
    mClock.Advance(aRan);
    mSinceBoot += aRan + aSuspended;
    return mWatch.OnTick(mClock.Now(), mSinceBoot);
  }
};

TEST(ProcessStallWatch, ReportsNoStallWhileTheProcessRuns)
{
  for (int i = 0; i < 100; ++i) {
    CHECK(Tick(50ms) == Duration::zero());
  }
}

// A process is stopped by SIGSTOP and resumes seconds later: its timers fire
// late, and its state about other processes is that old.
TEST(ProcessStallWatch, ReportsAStallAfterSigstop)
{
  Tick(50ms);
  CHECK(Tick(3s) == 3s);
  CHECK(Tick(50ms) == Duration::zero());
}

// A VM is suspended: the steady clock stops, so that no timeout expires, and
// only the clock since boot advances.
TEST(ProcessStallWatch, ReportsAStallAfterASuspension)
{
  Tick(50ms);
  CHECK(Tick(50ms, 5s) == 5050ms);
  CHECK(Tick(50ms) == Duration::zero());
}
