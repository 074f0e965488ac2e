#include "src/passthrough/ServiceTime.h"

#include <CppUTest/TestHarness.h>

using namespace heatherplank;
using namespace std::chrono_literals;

TEST_GROUP(ServiceTime)
{
  ServiceTime mTime;

  void setup() override
  {
    mTime.SetInitialEstimate(100ms, false);
  }
};

// Load: all callers return after an outage, and the first flows are placed
// before any host has answered.
TEST(ServiceTime, InitialEstimateFollowsTheTargetUntilTheFirstAnswer)
{
  CHECK(mTime.Get() == 15ms);
  mTime.SetInitialEstimate(200ms, true);
  CHECK_TRUE(mTime.Get() > 44ms && mTime.Get() < 46ms);
  mTime.SetInitialEstimate(300ms, false);
  CHECK(mTime.Get() == 45ms);
  mTime.RecordAnswer(45ms, 0, 2);
  mTime.SetInitialEstimate(800ms, false);
  CHECK(mTime.Get() == 45ms);
  mTime.Reset();
  mTime.SetInitialEstimate(200ms, false);
  CHECK(mTime.Get() == 30ms);
}

// Guards against answers on flows from before an agent restart that keep the
// estimate at zero permanently.
TEST(ServiceTime, AnswersBeforeTheFirstExpectAreIgnored)
{
  ServiceTime time;
  time.RecordAnswer(30ms, 0, 2);
  time.SetInitialEstimate(300ms, false);
  CHECK(time.Get() == 45ms);
}

TEST(ServiceTime, FollowsAHostThatBecomesSlow)
{
  for (int i = 0; i < 100; ++i) {
    mTime.RecordAnswer(60ms, 0, 2);
  }
  CHECK_TRUE(mTime.Get() > 55ms && mTime.Get() <= 60ms);
}

// A surge fills the host's queue: seven requests precede each one, and answers
// take 60 ms although processing takes 15 ms. The estimate must not include the
// wait in the queue.
TEST(ServiceTime, ExcludesTheWaitInTheQueue)
{
  for (int i = 0; i < 200; ++i) {
    mTime.RecordAnswer(60ms, 7, 2);
  }
  CHECK_TRUE(mTime.Get() <= 16ms);
}

TEST(ServiceTime, OneStallDoesNotInflateTheEstimate)
{
  mTime.RecordAnswer(3s, 0, 2);
  CHECK_TRUE(mTime.Get() < 18ms);
}
