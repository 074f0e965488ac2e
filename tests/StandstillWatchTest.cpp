#include "src/process/StandstillWatch.h"

#include <CppUTest/TestHarness.h>

using namespace heatherplank;
using namespace std::chrono_literals;

TEST_GROUP(StandstillWatch)
{
  ManualClock mClock;
  Duration mSinceBoot = 100s;
  StandstillWatch mWatch;

  Duration Tick(Duration aRan, Duration aSuspended = 0s)
  {
    mClock.Advance(aRan);
    mSinceBoot += aRan + aSuspended;
    return mWatch.OnTick(mClock.Now(), mSinceBoot);
  }
};

TEST(StandstillWatch, IsQuietWhileTheProcessRuns)
{
  for (int i = 0; i < 100; ++i) {
    CHECK(Tick(50ms) == Duration::zero());
  }
}

// A process is stopped by a signal and wakes seconds later: its timers fire
// late, and everything that it believes of others is that old.
TEST(StandstillWatch, NoticesAFreeze)
{
  Tick(50ms);
  CHECK(Tick(3s) == 3s);
  CHECK(Tick(50ms) == Duration::zero());
}

// A machine is suspended. The steady clock stands still meanwhile, so that no
// time-out passes; only the clock since boot goes on.
TEST(StandstillWatch, NoticesASuspension)
{
  Tick(50ms);
  CHECK(Tick(50ms, 5s) == 5050ms);
  CHECK(Tick(50ms) == Duration::zero());
}
