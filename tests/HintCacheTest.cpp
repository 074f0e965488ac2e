#include "src/steer/HintCache.h"

#include <set>

#include <CppUTest/TestHarness.h>

using namespace heatherplank;

TEST_GROUP(HintCache){};

TEST(HintCache, StoresReplacesAndErasesHints)
{
  HintCache cache(64);
  CHECK_FALSE(cache.Find(9).has_value());
  cache.Put(9, { MakeHostId("a"), 1 });
  cache.Put(9, { MakeHostId("b"), 2 });
  CHECK_TRUE(cache.Find(9)->mHost == MakeHostId("b"));
  CHECK_EQUAL(2, cache.Find(9)->mIncarnation);
  cache.Erase(9);
  CHECK_FALSE(cache.Find(9).has_value());
  CHECK_EQUAL(0, cache.Evictions());
}

// A flood of new flows passes through a balancer. The cache must not grow, and
// the hint of a flow that is in use must not be evicted.
TEST(HintCache, AFloodOfFlowsNeitherGrowsTheCacheNorEvictsAUsedHint)
{
  HintCache cache(1024);
  std::size_t before = cache.MemoryUse();
  std::uint64_t used = MixHash(1, 2);
  cache.Put(used, { MakeHostId("a"), 1 });
  for (std::uint64_t i = 0; i < 100000; ++i) {
    cache.Put(MixHash(i, 77), { MakeHostId("b"), 1 });
    CHECK_TRUE(cache.Find(used).has_value());
  }
  CHECK_EQUAL(before, cache.MemoryUse());
  CHECK_TRUE(cache.Evictions() > 90000);
}

TEST(HintCache, EveryHintIsVisitedOnce)
{
  HintCache cache(1024);
  for (std::uint64_t i = 0; i < 100; ++i) {
    cache.Put(MixHash(i, 77), { MakeHostId("b"), 1 });
  }
  cache.Erase(MixHash(5, 77));
  std::set<std::uint64_t> visited;
  std::size_t visits = 0;
  for (std::size_t set = 0; set < cache.Sets(); ++set) {
    cache.ForEachInSet(set, [&](std::uint64_t aHash, const OwnerHint& aOwner) {
      CHECK_TRUE(aOwner.mHost == MakeHostId("b"));
      visited.insert(aHash);
      ++visits;
    });
  }
  CHECK_EQUAL(99, visits);
  CHECK_EQUAL(99, visited.size());
}
