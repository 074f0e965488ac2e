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

TEST(DrainLease, IsRenewedByNoticesAndExpires)
{
  CHECK_FALSE(IsDrained());
  mDrain.OnNotice({ 100 }, mClock.Now());
  mClock.Advance(DrainLease::kDuration - 1ms);
  mDrain.OnNotice({ 100 }, mClock.Now());
  mClock.Advance(DrainLease::kDuration - 1ms);
  CHECK_TRUE(IsDrained());
  mClock.Advance(1ms);
  CHECK_FALSE(IsDrained());
}

// Guards against a balancer with outdated state that still offers flows to the
// host.
TEST(DrainLease, OfferWithAnOlderVersionDoesNotEndTheDrain)
{
  mDrain.OnNotice({ 100 }, mClock.Now());
  mDrain.OnOffer({ 99 }, mClock.Now());
  CHECK_TRUE(IsDrained());
}

// Guards against a drain that continues after the operator ended it, because
// the messages that start and end it are reordered on their way to the agent.
TEST(DrainLease, OfferWithANewerVersionEndsTheDrainDespiteLateNotices)
{
  mDrain.OnNotice({ 100 }, mClock.Now());
  mDrain.OnOffer({ 105 }, mClock.Now());
  CHECK_FALSE(IsDrained());
  mDrain.OnNotice({ 100 }, mClock.Now());
  CHECK_FALSE(IsDrained());
  mDrain.OnNotice({ 107 }, mClock.Now());
  CHECK_TRUE(IsDrained());
}
