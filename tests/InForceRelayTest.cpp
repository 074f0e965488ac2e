#include "src/config/InForceRelay.h"

#include <atomic>
#include <memory>
#include <thread>
#include <vector>

#include <CppUTest/TestHarness.h>

using namespace heatherplank;

namespace {

ConfigurationPtr Version(std::uint64_t aVersion)
{
  auto out = std::make_shared<Configuration>();
  out->mVersion = aVersion;
  return out;
}

} // namespace

TEST_GROUP(InForceRelay){};

// Two threads each hold a version taken from ConfigDistribution, and the thread
// with the older version delivers it last.
TEST(InForceRelay, OlderVersionDeliveredLateIsDropped)
{
  std::vector<std::uint64_t> seen;
  InForceRelay relay([&](const ConfigurationPtr& aConfiguration) {
    seen.push_back(aConfiguration->mVersion);
  });
  for (std::uint64_t it : { 4, 6, 5, 6, 7 }) {
    relay.Deliver(Version(it));
  }
  CHECK_TRUE(seen == (std::vector<std::uint64_t>{ 4, 6, 7 }));
}

TEST(InForceRelay, ConcurrentDeliveriesPassOnIncreasingVersions)
{
  std::uint64_t last = 0;
  std::uint64_t decreases = 0;
  InForceRelay relay([&](const ConfigurationPtr& aConfiguration) {
    decreases += aConfiguration->mVersion <= last ? 1 : 0;
    last = aConfiguration->mVersion;
  });
  std::atomic<std::uint64_t> next{ 0 };
  std::vector<std::thread> threads;
  threads.reserve(4);
  for (int i = 0; i < 4; ++i) {
    threads.emplace_back([&] {
      for (int n = 0; n < 2000; ++n) {
        relay.Deliver(Version(++next));
      }
    });
  }
  for (auto& it : threads) {
    it.join();
  }
  LONGS_EQUAL(0, decreases);
  LONGS_EQUAL(8000, last);
}
