#include "src/passthrough/HostLife.h"

#include <CppUTest/TestHarness.h>

using namespace heatherplank;
using namespace std::chrono_literals;

TEST_GROUP(HostLife)
{
  ManualClock mClock;
  HostLife mLife{ 3600ms };

  static HostAnnouncement Beat(const char* aId, std::int64_t aStartedAt,
                               std::uint64_t aSequence,
                               HostPhase aPhase = HostPhase::Ready)
  {
    HostAnnouncement out;
    out.mId = aId;
    out.mStartedAt = aStartedAt;
    out.mSequence = aSequence;
    out.mPhase = aPhase;
    out.mSlots = 2;
    return out;
  }

  AnnouncementEffect Hear(const HostAnnouncement& aIt)
  {
    return mLife.OnAnnouncement(aIt, mClock.Now());
  }
};

TEST(HostLife, TakesNewFlowsOnceHeardAndNotAfterSilence)
{
  CHECK_FALSE(mLife.TakesNewFlows(mClock.Now()));
  CHECK(Hear(Beat("a", 100, 1)) == AnnouncementEffect::Changed);
  CHECK_TRUE(mLife.TakesNewFlows(mClock.Now()));
  CHECK_EQUAL(2, mLife.Slots());
  mClock.Advance(3599ms);
  CHECK(Hear(Beat("a", 100, 2)) == AnnouncementEffect::Refreshed);
  mClock.Advance(3600ms);
  CHECK_FALSE(mLife.TakesNewFlows(mClock.Now()));
}

TEST(HostLife, ADrainingHostTakesNothingNew)
{
  Hear(Beat("a", 100, 1));
  CHECK(Hear(Beat("a", 100, 2, HostPhase::Draining)) ==
        AnnouncementEffect::Changed);
  CHECK_FALSE(mLife.TakesNewFlows(mClock.Now()));
}

// A host drains. A "ready" that it sent before, held up on the way, arrives
// last. Were it believed, the leaving host would be given new flows.
TEST(HostLife, ALateCallDoesNotUndoADrain)
{
  Hear(Beat("a", 100, 3));
  Hear(Beat("a", 100, 5, HostPhase::Draining));
  CHECK(Hear(Beat("a", 100, 4)) == AnnouncementEffect::Stale);
  CHECK(mLife.Phase() == HostPhase::Draining);
}

// A host crashed behind a partition and another one started in its place. The
// dead one's call arrives after the new one's, with a higher count.
TEST(HostLife, ACallOfAnEarlierLifeIsIgnored)
{
  Hear(Beat("old", 100, 50));
  CHECK(Hear(Beat("new", 200, 1)) == AnnouncementEffect::NewLife);
  CHECK(Hear(Beat("old", 100, 51, HostPhase::Draining)) ==
        AnnouncementEffect::Stale);
  CHECK_TRUE(mLife.TakesNewFlows(mClock.Now()));
  STRCMP_EQUAL("new", mLife.Id().c_str());
}

// A host starts again under the name that it had; its counts begin anew. They
// must not be taken for late calls of its earlier life.
TEST(HostLife, ARestartUnderTheSameNameIsANewLife)
{
  Hear(Beat("a", 100, 50, HostPhase::Draining));
  CHECK(Hear(Beat("a", 200, 1)) == AnnouncementEffect::NewLife);
  CHECK_TRUE(mLife.TakesNewFlows(mClock.Now()));
  CHECK(Hear(Beat("a", 100, 51)) == AnnouncementEffect::Stale);
}

TEST(HostLife, WithoutStartTimesNamesTellLivesApart)
{
  auto first = Beat("old", 0, 9);
  first.mStartedAt.reset();
  auto second = Beat("new", 0, 1);
  second.mStartedAt.reset();
  Hear(first);
  CHECK(Hear(second) == AnnouncementEffect::NewLife);
  first.mSequence = 10;
  CHECK(Hear(first) == AnnouncementEffect::Stale);
}

TEST(HostLife, AFarewellEndsOnlyTheLifeThatItNames)
{
  Hear(Beat("new", 200, 1));
  HostAnnouncement farewell;
  farewell.mPhase = HostPhase::Gone;
  farewell.mId = "old";
  CHECK(Hear(farewell) == AnnouncementEffect::Stale);
  CHECK_TRUE(mLife.TakesNewFlows(mClock.Now()));
  farewell.mId = "new";
  CHECK(Hear(farewell) == AnnouncementEffect::Changed);
  CHECK_FALSE(mLife.TakesNewFlows(mClock.Now()));
}

TEST(HostLife, KnowsWhetherItSawTheWholeLife)
{
  Hear(Beat("a", 100, 7));
  CHECK_FALSE(mLife.IsKnownFromStart());
  Hear(Beat("b", 200, 1));
  CHECK_TRUE(mLife.IsKnownFromStart());
}

TEST(HostLife, IsColdForAsLongAsTheHostSaid)
{
  auto beat = Beat("a", 100, 1);
  beat.mColdFor = 2s;
  Hear(beat);
  CHECK_TRUE(mLife.IsCold(mClock.Now() + 1999ms));
  CHECK_FALSE(mLife.IsCold(mClock.Now() + 2s));
}
