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

// Load: all callers return after an outage, and the first flows are placed
// before any host has answered.
TEST(ServiceTime, InitialEstimateFollowsTheTargetUntilTheFirstAnswer)
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

// Guards against answers on flows from before an agent restart that keep the
// estimate at zero permanently.
TEST(ServiceTime, AnswersBeforeTheFirstExpectAreIgnored)
{
  ServiceTime time;
  time.Learn(30ms, 0, 2);
  time.Expect(300ms, false);
  CHECK(time.Get() == 45ms);
}

TEST(ServiceTime, FollowsAHostThatBecomesSlow)
{
  for (int i = 0; i < 100; ++i) {
    mTime.Learn(60ms, 0, 2);
  }
  CHECK_TRUE(mTime.Get() > 55ms && mTime.Get() <= 60ms);
}

// A surge fills the host's queue: seven requests precede each one, and answers
// take 60 ms although processing takes 15 ms. The estimate must not include the
// wait in the queue.
TEST(ServiceTime, ExcludesTheWaitInTheQueue)
{
  for (int i = 0; i < 200; ++i) {
    mTime.Learn(60ms, 7, 2);
  }
  CHECK_TRUE(mTime.Get() <= 16ms);
}

TEST(ServiceTime, OneStallDoesNotInflateTheEstimate)
{
  mTime.Learn(3s, 0, 2);
  CHECK_TRUE(mTime.Get() < 18ms);
}
