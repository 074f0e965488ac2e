#include "src/config/ConfigDistribution.h"

#include <algorithm>
#include <chrono>
#include <vector>

#include "src/config/ConfigurationParts.h"
#include "tests/ConfigWorld.h"

#include <CppUTest/TestHarness.h>

using namespace heatherplank;
using namespace std::chrono_literals;

namespace {

using Options = ConfigWorld::Options;

/** Publishes a version; returns the time until it is in force on all nodes. */
Duration PublishAndWait(ConfigWorld& aWorld, int aSlots)
{
  Time accepted = aWorld.mNow;
  aWorld.Publish(MakeFleet(aWorld.mOptions.mServices, aSlots));
  aWorld.Run(4s);
  Time last = accepted;
  for (const auto& it : aWorld.mNodes) {
    last = std::max(last, it->mInForceAt);
  }
  return last - accepted;
}

/** The number of nodes without the newest version. */
int CountBehind(const ConfigWorld& aWorld)
{
  return static_cast<int>(
    std::ranges::count_if(aWorld.mNodes, [&](const auto& aIt) {
      return aIt->mVersion != aWorld.mHead.mVersion;
    }));
}

/** Runs a random schedule of changes, isolated balancers, restarts, platform
 * outages and stale reads; returns how often a node went back to a lower
 * version. */
std::uint64_t RunRandomSchedule(Options aOptions, std::uint64_t aSeed)
{
  aOptions.mSeed = aSeed;
  aOptions.mLoss = 0.1;
  ConfigWorld world(aOptions);
  std::mt19937_64 random(aSeed);
  std::vector<ConfigOffer> old;
  for (int step = 0; step < 30; ++step) {
    auto balancers = world.Balancers();
    auto& any = *balancers[random() % balancers.size()];
    switch (random() % 6) {
      case 0:
      case 1:
        world.Publish(MakeFleet(world.mOptions.mServices, 2 + step));
        break;
      case 2:
        any.mIsIsolated = !any.mIsIsolated;
        break;
      case 3:
        world.Restart(any);
        break;
      case 4:
        world.mPlatformStale = !world.mPlatformStale;
        break;
      default:
        world.mPlatformUp = !world.mPlatformUp;
        break;
    }
    world.Run(std::chrono::milliseconds(random() % 800));
  }
  return world.CountReverts();
}

} // namespace

TEST_GROUP(ConfigDistribution)
{
  Options mOptions;
};

TEST(ConfigDistribution, ChangeComesIntoForceOnAllNodes)
{
  mOptions.mBalancers = 20;
  mOptions.mAgents = 2;
  ConfigWorld world(mOptions);
  PublishAndWait(world, 2);
  CHECK_TRUE(world.AllHaveVersion(1));
  CHECK_TRUE(PublishAndWait(world, 3) < 100ms);
  CHECK_TRUE(world.AllHaveVersion(2));
}

// One message in four is lost: offers, requests and parts alike. With pushes
// alone a balancer that misses messages stays at an old version; digests repair
// it within seconds.
TEST(ConfigDistribution, DigestsRepairLostMessages)
{
  for (bool digests : { true, false }) {
    mOptions.mBalancers = 20;
    mOptions.mAgents = 0;
    mOptions.mLoss = 0.25;
    mOptions.mDistribution.mDigests = digests;
    ConfigWorld world(mOptions);
    for (int i = 0; i < 10; ++i) {
      PublishAndWait(world, 2 + i);
    }
    CHECK_EQUAL(digests, CountBehind(world) == 0);
  }
}

// A balancer restarts without state while the platform is down, so that only
// its peers can provide the configuration.
TEST(ConfigDistribution, BalancerStartedInPlatformOutageFetchesFromPeers)
{
  ConfigWorld world(mOptions);
  PublishAndWait(world, 2);
  world.mPlatformUp = false;
  for (auto* it : world.Balancers()) {
    if (it != world.Balancers().back()) {
      world.Restart(*it);
      world.Run(3s);
      LONGS_EQUAL(1, it->mVersion);
    }
  }
}

// A data centre loses the connection to the platform but not to its peers. Its
// watchers miss a new version, which must come from another data centre.
TEST(ConfigDistribution, DataCentreIsolatedFromPlatformReceivesNewVersion)
{
  ConfigWorld world(mOptions);
  PublishAndWait(world, 2);
  for (auto* it : world.Balancers()) {
    it->mIsIsolatedFromPlatform =
      it->mPeer.mDataCentre == MakeDataCentreId("dc-0");
  }
  CHECK_TRUE(PublishAndWait(world, 3) < 4s);
  CHECK_TRUE(world.AllHaveVersion(2));
}

// A balancer is isolated during several changes and reconnected. The offers
// that it then receives are based on versions that it never had, and its watch
// returns only the newest one.
TEST(ConfigDistribution, BalancerThatMissedVersionsCatchesUp)
{
  ConfigWorld world(mOptions);
  PublishAndWait(world, 2);
  for (auto* it : world.Balancers()) {
    it->mIsIsolated = true;
    for (int i = 0; i < 3; ++i) {
      PublishAndWait(world, 3 + i);
    }
    it->mIsIsolated = false;
    world.Run(4s);
    CHECK_EQUAL(world.mHead.mVersion, it->mVersion);
  }
  LONGS_EQUAL(0, world.CountReverts());
}

// Isolation, restarts, outages and stale replicas in random order never make a
// node go back to a lower version. Without the guard some nodes do.
TEST(ConfigDistribution, RandomFaultsNeverRevertAVersion)
{
  std::uint64_t reverted = 0;
  for (std::uint64_t seed = 1; seed <= 200; ++seed) {
    reverted += RunRandomSchedule(mOptions, seed);
  }
  LONGS_EQUAL(0, reverted);
  mOptions.mDistribution.mRefuseOlder = false;
  mOptions.mAgent.mRefuseOlder = false;
  for (std::uint64_t seed = 1; seed <= 20; ++seed) {
    reverted += RunRandomSchedule(mOptions, seed);
  }
  CHECK_TRUE(reverted > 0);
}

// A balancer resumes after a suspension and pushes its old version, including
// the head, to a peer and an agent that have a newer one.
TEST(ConfigDistribution, PushOfOlderVersionIsRefusedAndCounted)
{
  for (bool guard : { true, false }) {
    mOptions.mDistribution.mRefuseOlder = guard;
    mOptions.mAgent.mRefuseOlder = guard;
    ConfigWorld world(mOptions);
    PublishAndWait(world, 2);
    std::string oldHead = SerializeHead(world.mHead);
    auto* agent = world.Agents().front();
    auto entry =
      MakeServiceEntry(MakeFleet(4, 2), MakeServiceId("service-0")).mText;
    PublishAndWait(world, 3);
    auto* balancer = world.Balancers().front();
    world.Inject(world.Balancers().back()->mId, *balancer,
                 ConfigObjects{ 1, oldHead, {} });
    world.Inject(balancer->mId, *agent, ConfigObjects{ 1, entry, {} });
    world.Run(20ms);
    CHECK_EQUAL(guard, agent->mReverts == 0);
    if (guard) {
      LONGS_EQUAL(2, balancer->mVersion);
      LONGS_EQUAL(1, agent->mAgent->Counters().mRefusedOlder);
      CHECK_TRUE(balancer->mBalancer->Counters().mRefusedOlder > 0);
    }
  }
}

// Parts written below config/ by hand give two services the same address. Each
// receiver must keep its version and adopt the next valid one.
TEST(ConfigDistribution, InvalidVersionIsRefusedAsAWhole)
{
  for (bool guard : { true, false }) {
    mOptions.mDistribution.mValidate = guard;
    mOptions.mAgents = 0;
    ConfigWorld world(mOptions);
    PublishAndWait(world, 2);
    auto parts = SplitConfiguration(MakeFleet(4), 1).value();
    auto at = parts[1].find("10.0.0.2:80");
    parts[1].replace(at, 11, "10.0.0.1:80");
    world.PublishParts(parts);
    world.Run(3s);
    CHECK_EQUAL(guard, world.AllHaveVersion(1));
    if (guard) {
      CHECK_TRUE(
        world.Balancers().front()->mBalancer->Counters().mRefusedInvalid > 0);
    }
    PublishAndWait(world, 5);
    CHECK_TRUE(world.AllHaveVersion(3));
  }
}

// All watches fail at the same time when the platform goes down. If every
// watcher retried after the same pause, the platform would receive a burst of
// simultaneous calls.
TEST(ConfigDistribution, JitterSpreadsCallsAfterPlatformOutage)
{
  for (bool jitter : { true, false }) {
    mOptions.mDataCentres = 13;
    mOptions.mBalancers = 3;
    mOptions.mAgents = 0;
    mOptions.mDistribution.mPlatform.mJitter = jitter;
    mOptions.mDistribution.mPlatform.mWatchTimeout = 1h;
    ConfigWorld world(mOptions);
    PublishAndWait(world, 2);
    world.mPlatformUp = false;
    world.Publish(MakeFleet(4, 3)); // fails all watches
    world.Run(60s);
    auto calls = world.mCalls.size();
    world.Run(60s);
    double perSecond = static_cast<double>(world.mCalls.size() - calls) / 60;
    // 39 watchers: with jitter they pause for 5 s on average, without it each
    // calls five times a second.
    CHECK_EQUAL(jitter, perSecond < 15);
    world.mPlatformUp = true;
    Time up = world.mNow;
    world.Run(12s);
    CHECK_TRUE(world.AllHaveVersion(2));
    auto first = std::ranges::count_if(
      world.mCalls, [&](Time aAt) { return aAt >= up && aAt < up + 200ms; });
    CHECK_EQUAL(jitter, first < 20);
  }
}

TEST(ConfigDistribution, AgentReceivesOnlyEntryOfItsService)
{
  mOptions.mServices = 200;
  mOptions.mAgents = 2;
  ConfigWorld world(mOptions);
  PublishAndWait(world, 2);
  auto agents = world.Agents();
  LONGS_EQUAL(1, agents[0]->mAgent->InForce()->mServices.size());
  auto before = agents[1]->mBytes;
  // Changes service 0; agent 1 belongs to service 1.
  PublishAndWait(world, 3);
  LONGS_EQUAL(2, agents[1]->mVersion);
  CHECK_TRUE(agents[1]->mBytes - before < 1000);
  LONGS_EQUAL(
    3, agents[0]->mAgent->InForce()->mServices.begin()->second.mSlotsPerHost);
}

TEST_GROUP(CallLimits){};

TEST(CallLimits, TokenBucketLimitsRateAndBurst)
{
  Time now = Time{} + 1h;
  TokenBucket bucket(2, 3, now);
  int taken = 0;
  for (int ms = 0; ms < 10000; ms += 10) {
    taken += bucket.TryTake(now + std::chrono::milliseconds(ms)) ? 1 : 0;
  }
  LONGS_EQUAL(3 + 2 * 10 - 1, taken);
  Time at = now + 10s;
  while (bucket.TryTake(at)) {
  }
  CHECK_FALSE(bucket.TryTake(bucket.NextAt(at) - 10ms));
  CHECK_TRUE(bucket.TryTake(bucket.NextAt(at)));
}

TEST(CallLimits, BackoffGrowsToItsMaximumAndResets)
{
  Backoff backoff(100ms, 10s, 7);
  Duration longest{};
  for (int i = 0; i < 200; ++i) {
    longest = std::max(longest, backoff.Next());
  }
  CHECK_TRUE(longest > 5s && longest <= 10s);
  backoff.Reset();
  CHECK_TRUE(backoff.Next() <= 100ms);
}
