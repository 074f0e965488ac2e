#include "src/passthrough/DrainLease.h"

#include <CppUTest/TestHarness.h>

using namespace heatherplank;
using namespace std::chrono_literals;

TEST_GROUP(DrainLease)
{
  ManualClock mClock;
  DrainLease mDrain;

  bool IsDrained() const
  {
    return mDrain.IsDrained(mClock.Now());
  }
};

TEST(DrainLease, HoldsWhileNoticesCome)
{
  CHECK_FALSE(IsDrained());
  mDrain.OnNotice(100, mClock.Now());
  mClock.Advance(DrainLease::kHeldFor - 1ms);
  mDrain.OnNotice(100, mClock.Now());
  mClock.Advance(DrainLease::kHeldFor - 1ms);
  CHECK_TRUE(IsDrained());
  mClock.Advance(1ms);
  CHECK_FALSE(IsDrained());
}

// Guards against a balancer that is behind and still names the host.
TEST(DrainLease, AnOfferOfABalancerThatIsBehindEndsNothing)
{
  mDrain.OnNotice(100, mClock.Now());
  mDrain.OnOffer(99, mClock.Now());
  CHECK_TRUE(IsDrained());
}

// Guards against a drain that lasts on after it was taken back: order and
// take-back overtake each other on the way to the agent.
TEST(DrainLease, ALaterStateEndsItWhateverComesAfter)
{
  mDrain.OnNotice(100, mClock.Now());
  mDrain.OnOffer(105, mClock.Now());
  CHECK_FALSE(IsDrained());
  mDrain.OnNotice(100, mClock.Now());
  CHECK_FALSE(IsDrained());
  mDrain.OnNotice(107, mClock.Now());
  CHECK_TRUE(IsDrained());
}
