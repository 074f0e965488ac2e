#include <atomic>
#include <cstdio>
#include <functional>
#include <mutex>
#include <thread>
#include <vector>

#include "tests/OwnershipWorld.h"

#include <CppUTest/TestHarness.h>

using namespace heatherplank;

namespace {

constexpr int kThreads = 4;
constexpr std::uint64_t kSchedules = 100000;
constexpr std::uint64_t kPlannedSchedules = 10000;

/** Runs aCount schedules on kThreads threads. aStopAtFirst: returns after the
 * first violation. */
WorldResult Explore(std::uint64_t aFrom, std::uint64_t aCount,
                    const WorldOptions& aOptions, bool aStopAtFirst = false)
{
  std::atomic<std::uint64_t> next = aFrom;
  std::mutex lock;
  WorldResult sum;
  auto runSchedules = [&] {
    for (std::uint64_t seed = next++; seed < aFrom + aCount; seed = next++) {
      WorldResult result = OwnershipWorld(seed, aOptions).Run();
      std::lock_guard guard(lock);
      sum.Add(result);
      if (result.Total() > 0 && !aStopAtFirst) {
        std::printf("violation in schedule %llu\n",
                    static_cast<unsigned long long>(seed));
      }
      if (sum.Total() > 0 && aStopAtFirst) {
        return;
      }
    }
  };
  std::vector<std::thread> threads;
  threads.reserve(kThreads);
  for (int i = 0; i < kThreads; ++i) {
    threads.emplace_back(runSchedules);
  }
  for (auto& it : threads) {
    it.join();
  }
  return sum;
}

struct GuardCase
{
  const char* mName;
  bool OwnershipGuards::*mGuard;
  /** The first schedule of the search; it fails without the guard. */
  std::uint64_t mSeed;
};

} // namespace

TEST_GROUP(OwnershipExploration){};

// Random combinations of faults: hosts drain, join, die and stall; views arrive
// late and out of order; packets and messages are lost, delayed, duplicated and
// reordered; agents are partitioned. An established flow must not be answered
// under another epoch while its owner is live, no two hosts may run requests of
// one flow, a host must not adopt a flow 2 s after it began to drain, and every
// packet must be dispatched or refused within a second.
TEST(OwnershipExploration, NoScheduleBreaksARule)
{
  WorldResult sum = Explore(0, kSchedules, {});
  CHECK_EQUAL(0, sum.Total());
  CHECK_TRUE(sum.mDispatched > 50 * kSchedules);
}

// Regression test: schedules outside the range above that found a fault during
// development.
TEST(OwnershipExploration, SchedulesThatOnceFailedPass)
{
  for (std::uint64_t seed : { 109291,  111033,  112556,  116907,  124451,
                              125034,  134347,  227053,  230696,  244843,
                              259398,  265647,  284983,  285045,  287750,
                              293731,  1031361, 1077770, 1112212, 1193797,
                              1253241, 1257738, 2126658, 2283702 }) {
    for (bool partitions : { false, true }) {
      WorldOptions options;
      options.mPartitionsEnabled = partitions;
      CHECK_EQUAL(0, OwnershipWorld(seed, options).Run().Total());
    }
  }
}

// Each guard is switched off in turn, and some schedule must then fail.
// Otherwise the guard has no effect, or the exploration cannot detect its
// failure.
TEST(OwnershipExploration, EachGuardIsNeeded)
{
  const std::vector<GuardCase> cases{
    { "query peers", &OwnershipGuards::mQueryPeers, 1 },
    { "promise", &OwnershipGuards::mPromise, 2700 },
    { "lease", &OwnershipGuards::mLease, 69 },
    { "fence", &OwnershipGuards::mFence, 473 },
    { "claim", &OwnershipGuards::mClaim, 5437 },
    { "unresponsive peer", &OwnershipGuards::mUnresponsivePeer, 141 },
    { "incarnation", &OwnershipGuards::mIncarnation, 70 },
    { "hand-off", &OwnershipGuards::mHandOff, 111 },
  };
  for (const GuardCase& it : cases) {
    WorldOptions options;
    options.mGuards.*it.mGuard = false;
    CHECK_TRUE_TEXT(Explore(it.mSeed, 20000, options, true).Total() > 0,
                    it.mName);
    CHECK_EQUAL(0, Explore(it.mSeed, 50, {}).Total());
  }
}

// Hosts drain and join and balancers are replaced, without other faults.
// Without ownership a flow breaks when one of its packets reaches another host.
TEST(OwnershipExploration, PlannedChangesBreakNoFlow)
{
  WorldOptions options;
  options.mPlannedOnly = true;
  WorldResult sum = Explore(0, kPlannedSchedules, options);
  CHECK_EQUAL(0, sum.Total());
  CHECK_EQUAL(0, sum.mBrokenFlows);
  CHECK_TRUE(sum.mBrokenByRendezvous > sum.mFlows / 20);
  CHECK_TRUE(sum.mBrokenByModulo > sum.mBrokenByRendezvous);
  std::printf("flows %u, broken: ownership %u, rendezvous %u, modulo n %u; "
              "packets dispatched %u, refused %u\n",
              sum.mFlows, sum.mBrokenFlows, sum.mBrokenByRendezvous,
              sum.mBrokenByModulo, sum.mDispatched, sum.mRefused);
}
