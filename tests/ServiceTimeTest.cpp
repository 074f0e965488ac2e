#include "src/passthrough/ServiceTime.h"

#include <CppUTest/TestHarness.h>

using namespace heatherplank;
using namespace std::chrono_literals;

TEST_GROUP(ServiceTime)
{
  ServiceTime mTime;

  void setup() override
  {
    mTime.Expect(100ms, false);
  }
};

// Load: everything has come back, and the first flows are placed before any
// host has answered one.
TEST(ServiceTime, TheFirstGuessFollowsTheTargetUntilAnAnswerCame)
{
  CHECK(mTime.Get() == 15ms);
  mTime.Expect(200ms, true);
  CHECK_TRUE(mTime.Get() > 44ms && mTime.Get() < 46ms);
  mTime.Expect(300ms, false);
  CHECK(mTime.Get() == 45ms);
  mTime.Learn(45ms, 0, 2);
  mTime.Expect(800ms, false);
  CHECK(mTime.Get() == 45ms);
  mTime.Reset();
  mTime.Expect(200ms, false);
  CHECK(mTime.Get() == 30ms);
}

// Guards against answers to flows from before a restart that hold the estimate
// at nothing for good.
TEST(ServiceTime, AnswersThatNobodyExpectedSayNothing)
{
  ServiceTime time;
  time.Learn(30ms, 0, 2);
  time.Expect(300ms, false);
  CHECK(time.Get() == 45ms);
}

TEST(ServiceTime, FollowsAHostThatBecameSlow)
{
  for (int i = 0; i < 100; ++i) {
    mTime.Learn(60ms, 0, 2);
  }
  CHECK_TRUE(mTime.Get() > 55ms && mTime.Get() <= 60ms);
}

// A surge fills the host's queue: seven wait ahead of each request, and answers
// take 60 ms though the work is 15. The estimate must not follow the queue.
TEST(ServiceTime, IsNotInflatedByAQueue)
{
  for (int i = 0; i < 200; ++i) {
    mTime.Learn(60ms, 7, 2);
  }
  CHECK_TRUE(mTime.Get() <= 16ms);
}

TEST(ServiceTime, OneStandstillDoesNotMakeAHostSlow)
{
  mTime.Learn(3s, 0, 2);
  CHECK_TRUE(mTime.Get() < 18ms);
}
