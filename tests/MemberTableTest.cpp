#include "src/membership/MemberTable.h"

#include <CppUTest/TestHarness.h>

using namespace heatherplank;
using namespace std::chrono_literals;

namespace {

class AllowAllButForbidden final : public InventoryCheck
{
public:
  bool Allows(const Member& aMember) const override
  {
    return aMember.mService != MakeServiceId("forbidden");
  }
};

const AllowAllButForbidden kInventory;
const ServiceId kService = MakeServiceId("agenda");

Heartbeat MakeHeartbeat(int aHost, std::uint32_t aNumber,
                        Incarnation aIncarnation = 1,
                        HostState aState = HostState::Serving)
{
  Heartbeat heartbeat;
  Member& member = heartbeat.mRecord.mMember;
  member.mHost = MakeHostId("host-" + std::to_string(aHost));
  member.mService = kService;
  member.mIncarnation = aIncarnation;
  member.mState = aState;
  heartbeat.mRecord.mHeartbeatNumber = aNumber;
  heartbeat.mRecord.mAge = 1h;
  return heartbeat;
}

} // namespace

TEST_GROUP(MemberTable)
{
  ManualClock mClock;
  MemberTable mTable{ MemberTableId::Hosts, kInventory };

  std::size_t InView()
  {
    return mTable.View(kService)->mMembers.size();
  }

  /** Delivers heartbeats of hosts 0..aHosts-1 every 500 ms. */
  void Run(MemberTable & aTable, int aHosts, Duration aDuration)
  {
    for (Duration t{}; t < aDuration; t += 500ms) {
      ++mHeartbeatNumber;
      for (int i = 0; i < aHosts; ++i) {
        aTable.OnHeartbeat(MakeHeartbeat(i, mHeartbeatNumber), mClock.Now());
      }
      aTable.OnTick(mClock.Now());
      mClock.Advance(500ms);
    }
  }

  std::uint32_t mHeartbeatNumber = 0;
};

TEST(MemberTable, UnresponsiveHostIsSuspectedDeclaredDeadAndReturns)
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

// The weight of a host that has just started grows in steps. In a table without
// slow start a host has its full weight from the start, also in state Cold.
TEST(MemberTable, WeightGrowsWithAgeUnlessSlowStartIsDisabled)
{
  MemberTableOptions noSlowStart;
  noSlowStart.mSlowStartDuration = {};
  MemberTable withoutSlowStart(MemberTableId::Hosts, kInventory, noSlowStart);
  Heartbeat cold = MakeHeartbeat(1, 1, 1, HostState::Cold);
  mTable.OnHeartbeat(cold, mClock.Now());
  withoutSlowStart.OnHeartbeat(cold, mClock.Now());
  CHECK_EQUAL(20, mTable.View(kService)->mMembers[0].mWeight);
  CHECK_EQUAL(100, withoutSlowStart.View(kService)->mMembers[0].mWeight);
  Heartbeat warm = MakeHeartbeat(1, 2);
  warm.mRecord.mAge = {};
  mTable.OnHeartbeat(warm, mClock.Now());
  std::uint64_t version = mTable.View(kService)->mVersion;
  mClock.Advance(5s);
  mTable.OnHeartbeat(MakeHeartbeat(1, 3), mClock.Now());
  mTable.OnTick(mClock.Now());
  CHECK_EQUAL(60, mTable.View(kService)->mMembers[0].mWeight);
  CHECK_TRUE(mTable.View(kService)->mVersion > version);
}

// Many balancers die at once, and the remaining ones become monitors of hosts
// that sent heartbeats to the dead ones, and to this one only by chance. Until
// those hosts know their new monitors, missing heartbeats must not count;
// otherwise every remaining balancer considers itself isolated while callers
// need it.
TEST(MemberTable, NewlyMonitoredHostsHaveAGracePeriod)
{
  mTable.SetMonitored([](const Member&) { return false; }, mClock.Now());
  Run(mTable, 3, 1s);
  CHECK_EQUAL(0, mTable.MonitoredCount());
  mTable.SetMonitored([](const Member&) { return true; }, mClock.Now());
  mClock.Advance(2s);
  mTable.OnTick(mClock.Now());
  CHECK_EQUAL(0, mTable.MonitoredCount());
  Run(mTable, 2, 500ms);
  CHECK_EQUAL(2, mTable.MonitoredCount());
  mClock.Advance(4s);
  mTable.OnTick(mClock.Now());
  CHECK_EQUAL(3, mTable.MonitoredCount());
}

TEST(MemberTable, RejectsServiceThatInventoryDoesNotAllow)
{
  Heartbeat heartbeat = MakeHeartbeat(1, 1);
  heartbeat.mRecord.mMember.mService = MakeServiceId("forbidden");
  CHECK_FALSE(mTable.OnHeartbeat(heartbeat, mClock.Now()));
  CHECK_EQUAL(1, mTable.Count(MemberEvent::RefusedByInventory));
}

// A balancer loses its network or is stalled for ten seconds, and receives no
// heartbeats. Without the cap on deaths its view becomes empty, and it answers
// every caller "no host".
TEST(MemberTable, IsolatedBalancerKeepsItsLastView)
{
  for (bool capDeaths : { false, true }) {
    MemberTableOptions options;
    options.mCapDeaths = capDeaths;
    MemberTable table(MemberTableId::Hosts, kInventory, options);
    Run(table, 10, 2s);
    Run(table, 0, 10s);
    CHECK_EQUAL(capDeaths ? 10 : 0, table.View(kService)->mMembers.size());
    CHECK_EQUAL(capDeaths, table.IsIsolated());
  }
}

// A host was declared dead and may be alive behind a network partition. It
// counts until it is in view again.
TEST(MemberTable, RecentDeathCountsUntilTheHostReturns)
{
  Run(mTable, 10, 2s);
  Run(mTable, 9, 4s);
  CHECK_EQUAL(9, InView());
  CHECK_TRUE(mTable.HasRecentDeath(60s, mClock.Now()));
  mTable.OnHeartbeat(MakeHeartbeat(9, 1, 2), mClock.Now());
  CHECK_FALSE(mTable.HasRecentDeath(60s, mClock.Now()));
}

TEST(MemberTable, DeathIsRecentForALimitedTime)
{
  Run(mTable, 10, 2s);
  Run(mTable, 9, 4s);
  Run(mTable, 9, 60s);
  CHECK_FALSE(mTable.HasRecentDeath(60s, mClock.Now()));
}

TEST(MemberTable, HostThatLeftIsNoRecentDeath)
{
  Run(mTable, 2, 1s);
  mTable.OnHeartbeat(MakeHeartbeat(1, 9, 1, HostState::Leaving), mClock.Now());
  CHECK_FALSE(mTable.HasRecentDeath(60s, mClock.Now()));
}

// A balancer starts while a living host is cut off, which its peers have
// declared dead. It never lists that host, but must know of the death. Repair
// reports the same death again for as long as a peer has the tombstone.
TEST(MemberTable, DeathReportedByASnapshotIsRecentOnce)
{
  MemberSnapshot snapshot;
  snapshot.mRecords = { MakeHeartbeat(1, 5).mRecord };
  snapshot.mRecords[0].mVerdict = Verdict::Dead;
  mClock.Advance(1s);
  mTable.OnSnapshot(snapshot, mClock.Now());
  CHECK_EQUAL(0, InView());
  CHECK_TRUE(mTable.HasRecentDeath(60s, mClock.Now()));
  mClock.Advance(60s);
  mTable.OnSnapshot(snapshot, mClock.Now());
  CHECK_FALSE(mTable.HasRecentDeath(60s, mClock.Now()));
}

TEST(MemberTable, HostWithAReportedDeathReturns)
{
  MemberSnapshot snapshot;
  snapshot.mRecords = { MakeHeartbeat(1, 5).mRecord };
  snapshot.mRecords[0].mVerdict = Verdict::Dead;
  mTable.OnSnapshot(snapshot, mClock.Now());
  mTable.OnHeartbeat(MakeHeartbeat(1, 6), mClock.Now());
  CHECK_FALSE(mTable.HasRecentDeath(60s, mClock.Now()));
}
