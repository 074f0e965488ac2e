#include "src/passthrough/StoreWatchDuty.h"

#include <algorithm>
#include <set>
#include <string>
#include <vector>

#include <CppUTest/TestHarness.h>

using namespace heatherplank;
using namespace std::chrono_literals;

namespace {

constexpr Duration kInForceWithin = 3000ms;

std::vector<Member> MakeFleet(std::size_t aCount, std::size_t aDataCentres)
{
  std::vector<Member> out(aCount);
  for (std::size_t i = 0; i < aCount; ++i) {
    out[i].mHost = MakeHostId("balancer-" + std::to_string(i));
    out[i].mDataCentre =
      MakeDataCentreId("dc-" + std::to_string(i % aDataCentres));
  }
  return out;
}

} // namespace

TEST_GROUP(StoreWatchDuty)
{
  ManualClock mClock;
  const Time mStartedAt = mClock.Now();

  StoreWatchDuty DutyOf(const Member& aSelf) const
  {
    return StoreWatchDuty(
      { aSelf.mHost, aSelf.mDataCentre, kInForceWithin, mStartedAt, 1 });
  }

  static std::vector<Member> Without(const std::vector<Member>& aFleet,
                                     const Member& aSelf)
  {
    auto out = aFleet;
    std::erase_if(out,
                  [&](const Member& aIt) { return aIt.mHost == aSelf.mHost; });
    return out;
  }

  /** Those that watch a second after their start, as all were told just now
   * that the store confirms what they have. */
  std::vector<Member> Watchers(const std::vector<Member>& aFleet)
  {
    Time now = mStartedAt + StoreWatchDuty::kSeesOthersWithin;
    std::vector<Member> out;
    for (const Member& it : aFleet) {
      auto duty = DutyOf(it);
      duty.OnConfirmed(now);
      if (duty.WatchFor(Without(aFleet, it), true, false, now)) {
        out.push_back(it);
      }
    }
    return out;
  }
};

TEST(StoreWatchDuty, AllOfASmallFleetWatch)
{
  CHECK_EQUAL(StoreWatchDuty::kAllUpTo,
              Watchers(MakeFleet(StoreWatchDuty::kAllUpTo, 3)).size());
}

// Hundreds of balancers with a watch each take the store's rates, and read a
// large document hundreds of times at each change.
TEST(StoreWatchDuty, AFewOfALargeFleetWatchInDifferentDataCentres)
{
  for (std::size_t n : { 9, 91, 300 }) {
    auto watchers = Watchers(MakeFleet(n, 5));
    CHECK_EQUAL(StoreWatchDuty::kWatchers, watchers.size());
    std::set<std::uint64_t> dataCentres;
    for (const Member& it : watchers) {
      dataCentres.insert(it.mDataCentre.mValue);
    }
    CHECK_EQUAL(StoreWatchDuty::kWatchers, dataCentres.size());
  }
  CHECK_EQUAL(StoreWatchDuty::kWatchers, Watchers(MakeFleet(91, 1)).size());
}

// All watchers are cut off from the store at once, or a fault takes the only
// balancers that believe that they watch. The operator changes the routes just
// then. The others must have the change within the time that it may take, and
// turn to the store one after the other.
TEST(StoreWatchDuty, WithoutConfirmationEverybodyWatchesInTime)
{
  auto fleet = MakeFleet(91, 5);
  std::set<std::int64_t> moments;
  for (const Member& it : fleet) {
    auto duty = DutyOf(it);
    auto others = Without(fleet, it);
    Time confirmedAt = mStartedAt + 10s;
    duty.OnConfirmed(confirmedAt);
    Time now = confirmedAt;
    while (now - confirmedAt <= kInForceWithin &&
           !duty.WatchFor(others, true, false, now)) {
      now += 10ms;
    }
    CHECK_TRUE(now - confirmedAt <= kInForceWithin - 500ms);
    moments.insert((now - confirmedAt).count());
  }
  CHECK_TRUE(moments.size() > 10);
}

TEST(StoreWatchDuty, AConfirmationEndsTheWatch)
{
  auto fleet = MakeFleet(91, 5);
  auto watchers = Watchers(fleet);
  for (const Member& it : fleet) {
    bool isChosen = std::ranges::count(watchers, it.mHost, &Member::mHost) > 0;
    auto duty = DutyOf(it);
    auto others = Without(fleet, it);
    Time now = mStartedAt + 10s;
    CHECK_TRUE(duty.WatchFor(others, true, false, now).has_value());
    duty.OnConfirmed(now - 100ms);
    CHECK_EQUAL(isChosen, duty.WatchFor(others, true, false, now).has_value());
  }
}

// A balancer stood still: words that waited for it say how old they were when
// they were sent, not how long they waited.
TEST(StoreWatchDuty, AfterAStandstillItWatches)
{
  auto fleet = MakeFleet(91, 5);
  auto duty = DutyOf(fleet[0]);
  Time now = mStartedAt + 10s;
  duty.OnConfirmed(now);
  duty.OnStandstill();
  CHECK_TRUE(
    duty.WatchFor(Without(fleet, fleet[0]), true, false, now).has_value());
}

// A balancer is restarted among others. Their packed document comes within
// milliseconds, where the store's takes a thin link half a second.
TEST(StoreWatchDuty, AtItsStartPeersAreAskedFirst)
{
  auto duty = DutyOf(MakeFleet(1, 1)[0]);
  Time later = mStartedAt + StoreWatchDuty::kPeersAnswerWithin;
  CHECK_FALSE(duty.WatchFor({}, false, false, mStartedAt).has_value());
  CHECK_FALSE(duty.WatchFor({}, false, true, later).has_value());
  CHECK_TRUE(duty.WatchFor({}, false, false, later).has_value());
}
