#include "src/passthrough/RouteServices.h"

#include <initializer_list>

#include <CppUTest/TestHarness.h>

using namespace heatherplank;
using namespace std::chrono_literals;

TEST_GROUP(RouteServices)
{
  ManualClock mClock;
  RouteServices mServices{ 60s };

  void SetRoute(std::initializer_list<const char*> aServices)
  {
    FlowInventory inventory;
    for (const char* it : aServices) {
      inventory.mRoutes[Address{}].mShares.push_back({ MakeServiceId(it), 1 });
    }
    mServices.SetInventory(inventory);
    mServices.OnTick(mClock.Now());
  }
  std::size_t Count() const
  {
    return mServices.Of(Address{}).size();
  }
};

// Flows stay at a service that their route has left, and must be found there.
TEST(RouteServices, ServiceThatTheRouteLeftIsRemembered)
{
  mClock.Advance(5s);
  SetRoute({ "a" });
  SetRoute({ "b" });
  CHECK_EQUAL(2, Count());
  mClock.Advance(59s);
  mServices.OnTick(mClock.Now());
  CHECK_EQUAL(2, Count());
  mClock.Advance(1s);
  mServices.OnTick(mClock.Now());
  CHECK_EQUAL(1, Count());
  CHECK(mServices.Of(Address{})[0] == MakeServiceId("b"));
}

TEST(RouteServices, ServiceThatReturnsIsCurrent)
{
  mClock.Advance(5s);
  SetRoute({ "a" });
  SetRoute({});
  SetRoute({ "a" });
  mClock.Advance(2min);
  mServices.OnTick(mClock.Now());
  CHECK_EQUAL(1, Count());
}
