#include <atomic>
#include <cstdio>
#include <mutex>
#include <thread>
#include <vector>

#include "tests/PassthroughWorld.h"

#include <CppUTest/TestHarness.h>

using namespace heatherplank;

namespace {

constexpr int kThreads = 4;
constexpr std::uint64_t kSchedules = 100000;

struct Found
{
  std::vector<std::string> mViolations;
  std::uint64_t mOpened = 0;
  std::uint64_t mAnswered = 0;
};

/** Plays schedules on several threads, all of them or until one fails. */
Found Explore(std::uint64_t aFrom, std::uint64_t aCount,
              const PassthroughWorld::Options& aOptions,
              bool aStopAtFirst = false)
{
  std::atomic<std::uint64_t> next = aFrom;
  std::mutex lock;
  Found found;
  auto play = [&] {
    for (std::uint64_t seed = next++; seed < aFrom + aCount; seed = next++) {
      PassthroughWorld::Options options = aOptions;
      options.mSeed = seed;
      PassthroughWorld world(options);
      auto violations = world.Run();
      std::lock_guard guard(lock);
      found.mOpened += static_cast<std::uint64_t>(world.Opened());
      found.mAnswered += static_cast<std::uint64_t>(world.Answered());
      for (auto& it : violations) {
        if (!aStopAtFirst && found.mViolations.size() < 20) {
          std::printf("%s\n", it.c_str());
        }
        found.mViolations.push_back(std::move(it));
      }
      if (aStopAtFirst && !found.mViolations.empty()) {
        return;
      }
    }
  };
  std::vector<std::thread> threads;
  threads.reserve(kThreads);
  for (int i = 0; i < kThreads; ++i) {
    threads.emplace_back(play);
  }
  for (auto& it : threads) {
    it.join();
  }
  return found;
}

} // namespace

TEST_GROUP(PassthroughExploration){};

// Balancers are replaced, agents die and freeze, hosts crash, leave and come
// back under the same name, addresses go to another service, agents are cut off
// from each other, views are late and unequal, packets are lost, doubled and
// reordered, all at once and by chance. What must hold stands at
// PassthroughWorld.
TEST(PassthroughExploration, NoScheduleBreaksARule)
{
  Found found = Explore(1, kSchedules, {});
  CHECK_EQUAL(0, found.mViolations.size());
  CHECK_TRUE(found.mOpened > 8 * kSchedules);
  CHECK_TRUE(found.mAnswered > 8 * kSchedules);
}

// Schedules that found a fault while the rules were made: a refusal that cut a
// flow which another copy of its opening packet had opened; in the last two the
// refusing agent had stood still until the caller's next copies were placed.
TEST(PassthroughExploration, SchedulesThatOnceFailedPass)
{
  for (std::uint64_t seed :
       { 361, 505, 1899, 3387, 9609, 15404, 83075, 53701, 81319 }) {
    CHECK_EQUAL(0, Explore(seed, 1, {}).mViolations.size());
  }
}

// Each guard is switched off in turn; if no schedule failed then, it would
// guard against nothing, or the exploration would be blind to it.
TEST(PassthroughExploration, EachGuardIsNeeded)
{
  struct GuardCase
  {
    const char* mName;
    bool HostFlowGuards::*mGuard;
  };
  for (const GuardCase& it : {
         GuardCase{ "service", &HostFlowGuards::mCheckService },
         GuardCase{ "acknowledged", &HostFlowGuards::mMatchAcknowledged },
         GuardCase{ "ask unknown", &HostFlowGuards::mAskUnknown },
         GuardCase{ "hear first", &HostFlowGuards::mHearFirst },
       }) {
    PassthroughWorld::Options options;
    options.mGuards.*it.mGuard = false;
    Found found = Explore(1, kSchedules, options, true);
    CHECK_TRUE_TEXT(!found.mViolations.empty(), it.mName);
  }
}

// The operator drains a data centre while balancers and agents die, hosts crash
// and leave, and packets are late. Balancers alone see to it that nothing is
// opened there; where one of them never hears of the drain, the agents do.
TEST(PassthroughExploration, NothingOpensInADrainedDataCentre)
{
  PassthroughWorld::Options options;
  options.mDrains = true;
  options.mTellsAgents = false;
  CHECK_EQUAL(0, Explore(1, kSchedules, options).mViolations.size());
  options.mTellsAgents = true;
  options.mDeafBalancer = true;
  CHECK_EQUAL(0, Explore(1, kSchedules, options).mViolations.size());
}

TEST(PassthroughExploration, ABalancerThatIsDeafOpensThereUnlessAgentsAreTold)
{
  PassthroughWorld::Options options;
  options.mDrains = true;
  options.mDeafBalancer = true;
  options.mTellsAgents = false;
  CHECK_TRUE(!Explore(1, kSchedules, options, true).mViolations.empty());
}
