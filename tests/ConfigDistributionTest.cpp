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

/** The longest time from acceptance to force, over all processes. */
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

/** Processes that do not run the newest version. */
int Behind(const ConfigWorld& aWorld)
{
  return static_cast<int>(
    std::ranges::count_if(aWorld.mNodes, [&](const auto& aIt) {
      return aIt->mVersion != aWorld.mHead.mVersion;
    }));
}

/** A random schedule of changes, cuts, restarts, freezes, outages and stale
 * offers; the number of times that a process reported a lower version. */
std::uint64_t PlaySchedule(Options aOptions, std::uint64_t aSeed)
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
        any.mIsCut = !any.mIsCut;
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
  return world.Reverted();
}

} // namespace

TEST_GROUP(ConfigDistribution)
{
  Options mOptions;
};

TEST(ConfigDistribution, AChangeIsInForceEverywhereWithinSeconds)
{
  mOptions.mBalancers = 20;
  mOptions.mAgents = 2;
  ConfigWorld world(mOptions);
  PublishAndWait(world, 2);
  CHECK_TRUE(world.AllRun(1));
  CHECK_TRUE(PublishAndWait(world, 3) < 100ms);
  CHECK_TRUE(world.AllRun(2));
}

// One message in ten is lost, offers, requests and parts alike. Pushes alone
// leave balancers behind for good; the digests find them within seconds.
TEST(ConfigDistribution, DigestsMakeGoodWhatWasLost)
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
    CHECK_EQUAL(digests, Behind(world) == 0);
  }
}

// The platform goes down, and a balancer is replaced. The new one has nothing,
// and there is nobody to read the configuration from but its peers.
TEST(ConfigDistribution, AProcessThatStartsInAnOutageTakesItFromPeers)
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

// A data centre loses the platform but not its peers: its watchers see nothing
// of a new version, which must come from another data centre.
TEST(ConfigDistribution, ADataCentreCutOffFromThePlatformStillGetsIt)
{
  ConfigWorld world(mOptions);
  PublishAndWait(world, 2);
  for (auto* it : world.Balancers()) {
    it->mIsCutFromPlatform = it->mPeer.mDataCentre == MakeDataCentreId("dc-0");
  }
  CHECK_TRUE(PublishAndWait(world, 3) < 4s);
  CHECK_TRUE(world.AllRun(2));
}

// A balancer is cut off through several changes and healed. The offers that it
// meets then begin from versions that it never had, and its watch skips them.
TEST(ConfigDistribution, ABalancerThatMissedVersionsCatchesUp)
{
  ConfigWorld world(mOptions);
  PublishAndWait(world, 2);
  for (auto* it : world.Balancers()) {
    it->mIsCut = true;
    for (int i = 0; i < 3; ++i) {
      PublishAndWait(world, 3 + i);
    }
    it->mIsCut = false;
    world.Run(4s);
    CHECK_EQUAL(world.mHead.mVersion, it->mVersion);
  }
  LONGS_EQUAL(0, world.Reverted());
}

// Freezes, cuts, restarts, stale replicas and peers in any order: no process
// ever reports a lower version than before. With the guard off some do.
TEST(ConfigDistribution, NoScheduleBringsALowerVersion)
{
  std::uint64_t reverted = 0;
  for (std::uint64_t seed = 1; seed <= 200; ++seed) {
    reverted += PlaySchedule(mOptions, seed);
  }
  LONGS_EQUAL(0, reverted);
  mOptions.mDistribution.mRefuseOlder = false;
  mOptions.mAgent.mRefuseOlder = false;
  for (std::uint64_t seed = 1; seed <= 20; ++seed) {
    reverted += PlaySchedule(mOptions, seed);
  }
  CHECK_TRUE(reverted > 0);
}

// A balancer that was frozen wakes and pushes the version that it had, head and
// all, to a peer and an agent that are further on.
TEST(ConfigDistribution, AStalePeersPushIsRefusedAndCounted)
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
    CHECK_EQUAL(guard, agent->mReverted == 0);
    if (guard) {
      LONGS_EQUAL(2, balancer->mVersion);
      LONGS_EQUAL(1, agent->mAgent->Counters().mRefusedOlder);
      CHECK_TRUE(balancer->mBalancer->Counters().mRefusedOlder > 0);
    }
  }
}

// Somebody writes parts below config/ by hand that give two services the same
// address. Each receiver must keep what it has, and take the next good version.
TEST(ConfigDistribution, AVersionThatFailsTheCheckIsRefusedWhole)
{
  for (bool guard : { true, false }) {
    mOptions.mDistribution.mCheckWhole = guard;
    mOptions.mAgents = 0;
    ConfigWorld world(mOptions);
    PublishAndWait(world, 2);
    auto parts = SplitConfiguration(MakeFleet(4), 1).value();
    auto at = parts[1].find("10.0.0.2:80");
    parts[1].replace(at, 11, "10.0.0.1:80");
    world.PublishParts(parts);
    world.Run(3s);
    CHECK_EQUAL(guard, world.AllRun(1));
    if (guard) {
      CHECK_TRUE(
        world.Balancers().front()->mBalancer->Counters().mRefusedInvalid > 0);
    }
    PublishAndWait(world, 5);
    CHECK_TRUE(world.AllRun(3));
  }
}

// All watches break at the moment when the platform goes down. If every watcher
// came back after the same pause, the platform would meet them all at once.
TEST(ConfigDistribution, TheEndOfAnOutageIsNoStampede)
{
  for (bool jitter : { true, false }) {
    mOptions.mDataCentres = 13;
    mOptions.mBalancers = 3;
    mOptions.mAgents = 0;
    mOptions.mDistribution.mPlatform.mJitter = jitter;
    mOptions.mDistribution.mPlatform.mWatchWait = 1h;
    ConfigWorld world(mOptions);
    PublishAndWait(world, 2);
    world.mPlatformUp = false;
    world.Publish(MakeFleet(4, 3)); // ends all watches
    world.Run(60s);
    auto calls = world.mCalls.size();
    world.Run(60s);
    double perSecond = static_cast<double>(world.mCalls.size() - calls) / 60;
    // 39 watchers, each paused for 5 s on average, against five a second each.
    CHECK_EQUAL(jitter, perSecond < 15);
    world.mPlatformUp = true;
    Time up = world.mNow;
    world.Run(12s);
    CHECK_TRUE(world.AllRun(2));
    auto first = std::ranges::count_if(
      world.mCalls, [&](Time aAt) { return aAt >= up && aAt < up + 200ms; });
    CHECK_EQUAL(jitter, first < 20);
  }
}

TEST(ConfigDistribution, AgentsGetTheirEntryOnlyAndTheVersionOtherwise)
{
  mOptions.mServices = 200;
  mOptions.mAgents = 2;
  ConfigWorld world(mOptions);
  PublishAndWait(world, 2);
  auto agents = world.Agents();
  LONGS_EQUAL(1, agents[0]->mAgent->InForce()->mServices.size());
  auto before = agents[1]->mBytes;
  PublishAndWait(world, 3); // changes service 0, not agent 1's service 1
  LONGS_EQUAL(2, agents[1]->mVersion);
  CHECK_TRUE(agents[1]->mBytes - before < 1000);
  LONGS_EQUAL(
    3, agents[0]->mAgent->InForce()->mServices.begin()->second.mSlotsPerHost);
}

TEST_GROUP(CallLimits){};

TEST(CallLimits, TokensComeAtTheirRateAndBurstsAreBounded)
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

TEST(CallLimits, PausesGrowAreSpreadAndStartAgain)
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
