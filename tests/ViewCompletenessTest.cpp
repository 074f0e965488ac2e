#include "src/passthrough/ViewCompleteness.h"

#include <CppUTest/TestHarness.h>

using namespace heatherplank;
using namespace std::chrono_literals;

TEST_GROUP(ViewCompleteness)
{
  ManualClock mClock;
  ViewCompleteness mView{ mClock.Now() };
  std::unordered_map<HostId, Member> mHosts;

  void AddHost(const char* aName)
  {
    mHosts[MakeHostId(aName)] = {};
    mView.OnHosts(mHosts, mClock.Now());
  }
  bool IsComplete(const ViewCompleteness::Inputs& aInputs = {}) const
  {
    return mView.IsComplete(aInputs, mClock.Now());
  }
};

TEST(ViewCompleteness, ViewOfAReadyPeerIsComplete)
{
  CHECK_FALSE(IsComplete());
  CHECK_TRUE(IsComplete({ MembershipReadiness::Ready, false, true }));
}

// A balancer starts after a power loss, and the hosts appear one by one. A flow
// of a host that is not in view yet must not count as held nowhere.
TEST(ViewCompleteness, WaitsUntilNoHostAppears)
{
  mClock.Advance(ViewCompleteness::kMinAge - 1ms);
  AddHost("a");
  mClock.Advance(ViewCompleteness::kSettleDuration - 1ms);
  CHECK_FALSE(IsComplete());
  AddHost("b");
  mClock.Advance(ViewCompleteness::kSettleDuration - 1ms);
  CHECK_FALSE(IsComplete());
  mClock.Advance(1ms);
  CHECK_TRUE(IsComplete());
}

TEST(ViewCompleteness, IsNotCompleteRightAfterTheStart)
{
  AddHost("a");
  mClock.Advance(ViewCompleteness::kMinAge - 1ms);
  CHECK_FALSE(IsComplete());
  mClock.Advance(1ms);
  CHECK_TRUE(IsComplete());
}

// In a large fleet agents send heartbeats to three balancers only, so that
// silence alone shows nothing. After a loss of the whole fleet the first
// balancers become ready by silence, and others take over their views.
TEST(ViewCompleteness, ViewOfALargeFleetIsReadyAndSettled)
{
  AddHost("a");
  CHECK_FALSE(IsComplete({ MembershipReadiness::Ready, false, false }));
  mClock.Advance(10s);
  CHECK_FALSE(IsComplete({ MembershipReadiness::Starting, false, false }));
  CHECK_TRUE(IsComplete({ MembershipReadiness::Ready, false, false }));
}

TEST(ViewCompleteness, ViewOfAnIsolatedBalancerIsNotComplete)
{
  AddHost("a");
  mClock.Advance(10s);
  CHECK_FALSE(IsComplete({ MembershipReadiness::Ready, true, true }));
  CHECK_FALSE(IsComplete({ MembershipReadiness::Isolated, false, true }));
}
