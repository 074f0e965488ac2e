#include "src/passthrough/ServiceTime.h"

#include <CppUTest/TestHarness.h>

using namespace heatherplank;
using namespace std::chrono_literals;

TEST_GROUP(ServiceTime)
{
  ServiceTime mTime;
};

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
