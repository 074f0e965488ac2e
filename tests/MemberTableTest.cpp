#include "src/membership/MemberTable.h"

#include <CppUTest/TestHarness.h>

using namespace heatherplank;
using namespace std::chrono_literals;

namespace {

class AllowAll final : public InventoryCheck
{
public:
  bool Allows(const Member& aMember) const override
  {
    return aMember.mService != MakeServiceId("forbidden");
  }
};

const AllowAll kAllowAll;
const ServiceId kService = MakeServiceId("agenda");

Heartbeat Beat(int aHost, std::uint32_t aBeat, Incarnation aIncarnation = 1,
               HostState aState = HostState::Serving)
{
  Heartbeat beat;
  Member& member = beat.mRecord.mMember;
  member.mHost = MakeHostId("host-" + std::to_string(aHost));
  member.mService = kService;
  member.mIncarnation = aIncarnation;
  member.mState = aState;
  beat.mRecord.mBeat = aBeat;
  beat.mRecord.mAge = 1h;
  return beat;
}

} // namespace

TEST_GROUP(MemberTable)
{
  ManualClock mClock;
  MemberTable mTable{ MemberTableId::Hosts, kAllowAll };

  std::size_t InView()
  {
    return mTable.View(kService)->mMembers.size();
  }

  /** Beats of hosts 0..aHosts-1 every 500 ms for a time. */
  void Run(MemberTable & aTable, int aHosts, Duration aFor)
  {
    for (Duration t{}; t < aFor; t += 500ms) {
      ++mBeat;
      for (int i = 0; i < aHosts; ++i) {
        aTable.OnHeartbeat(Beat(i, mBeat), mClock.Now());
      }
      aTable.OnTick(mClock.Now());
      mClock.Advance(500ms);
    }
  }

  std::uint32_t mBeat = 0;
};

TEST(MemberTable, ASilentHostIsSuspectedThenDeadAndComesBack)
{
  Run(mTable, 10, 2s);
  CHECK_EQUAL(10, InView());
  Run(mTable, 9, 2s);
  CHECK_EQUAL(10, InView());
  CHECK_EQUAL(1, mTable.Count(MemberEvent::Suspected));
  Run(mTable, 9, 2s);
  CHECK_EQUAL(9, InView());
  Run(mTable, 10, 500ms);
  CHECK_EQUAL(10, InView());
}

// A host that has just started takes its share in steps; one whose table was
// told to leave slow start to others shows its full weight, cold or not.
TEST(MemberTable, WeightGrowsWithAgeUnlessSwitchedOff)
{
  MemberTableOptions off;
  off.mSlowStart = {};
  MemberTable flat(MemberTableId::Hosts, kAllowAll, off);
  Heartbeat cold = Beat(1, 1, 1, HostState::Cold);
  mTable.OnHeartbeat(cold, mClock.Now());
  flat.OnHeartbeat(cold, mClock.Now());
  CHECK_EQUAL(20, mTable.View(kService)->mMembers[0].mWeight);
  CHECK_EQUAL(100, flat.View(kService)->mMembers[0].mWeight);
  Heartbeat warm = Beat(1, 2);
  warm.mRecord.mAge = {};
  mTable.OnHeartbeat(warm, mClock.Now());
  std::uint64_t version = mTable.View(kService)->mVersion;
  mClock.Advance(5s);
  mTable.OnHeartbeat(Beat(1, 3), mClock.Now());
  mTable.OnTick(mClock.Now());
  CHECK_EQUAL(60, mTable.View(kService)->mMembers[0].mWeight);
  CHECK_TRUE(mTable.View(kService)->mVersion > version);
}

// Many balancers die at once, and each that is left becomes the monitor of
// hosts that beat to the dead ones, and to it only by chance. Until they learn
// of it their silence means nothing: counted, it would make every balancer that
// lives hold itself for cut off, just as callers need it.
TEST(MemberTable, WhoIsJudgedAnewIsNotMissedYet)
{
  mTable.SetMonitored([](const Member&) { return false; }, mClock.Now());
  Run(mTable, 3, 1s);
  CHECK_EQUAL(0, mTable.Judged());
  mTable.SetMonitored([](const Member&) { return true; }, mClock.Now());
  mClock.Advance(2s);
  mTable.OnTick(mClock.Now());
  CHECK_EQUAL(0, mTable.Judged());
  Run(mTable, 2, 500ms);
  CHECK_EQUAL(2, mTable.Judged());
  mClock.Advance(4s);
  mTable.OnTick(mClock.Now());
  CHECK_EQUAL(3, mTable.Judged());
}

TEST(MemberTable, RefusesWhatTheInventoryDoesNotGive)
{
  Heartbeat beat = Beat(1, 1);
  beat.mRecord.mMember.mService = MakeServiceId("forbidden");
  CHECK_FALSE(mTable.OnHeartbeat(beat, mClock.Now()));
  CHECK_EQUAL(1, mTable.Count(MemberEvent::RefusedByInventory));
}

// The cable of one balancer is pulled, or it is frozen for ten seconds. It
// hears nobody; without the cap it would answer every caller "no host".
TEST(MemberTable, ACutOffBalancerKeepsItsLastView)
{
  for (bool guard : { false, true }) {
    MemberTableOptions options;
    options.mCapDeaths = guard;
    MemberTable table(MemberTableId::Hosts, kAllowAll, options);
    Run(table, 10, 2s);
    Run(table, 0, 10s);
    CHECK_EQUAL(guard ? 10 : 0, table.View(kService)->mMembers.size());
    CHECK_EQUAL(guard, table.IsIsolated());
  }
}
