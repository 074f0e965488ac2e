#include <algorithm>
#include <chrono>
#include <string>
#include <string_view>
#include <vector>

#include <benchmark/benchmark.h>
#include <malloc.h>

#include "src/config/ConfigurationAssembler.h"
#include "src/config/ConfigurationParts.h"
#include "tests/ConfigWorld.h"

namespace heatherplank {

namespace {

using namespace std::chrono_literals;

constexpr int kChanges = 5;

struct Traffic
{
  std::uint64_t mMessages = 0;
  std::uint64_t mBytes = 0;
  std::uint64_t mMostBytes = 0;
};

Traffic Sum(const ConfigWorld& aWorld)
{
  Traffic out;
  for (const auto& it : aWorld.mNodes) {
    out.mMessages += it->mMessages;
    out.mBytes += it->mBytes;
    out.mMostBytes = std::max(out.mMostBytes, it->mBytes);
  }
  return out;
}

double Milliseconds(Duration aDuration)
{
  return std::chrono::duration<double, std::milli>(aDuration).count();
}

/** Times from acceptance to force of each process, in milliseconds. */
void MeasureChange(ConfigWorld& aWorld, int aSlots, std::vector<double>& aTimes)
{
  Time accepted = aWorld.mNow;
  aWorld.Publish(MakeFleet(aWorld.mOptions.mServices, aSlots));
  aWorld.Run(5s);
  for (const auto& it : aWorld.mNodes) {
    bool done = it->mVersion == aWorld.mHead.mVersion;
    aTimes.push_back(done ? Milliseconds(it->mInForceAt - accepted) : 1e9);
  }
}

/** Changes of one service over a fleet. Arguments: data centres, balancers a
 * data centre, agents a balancer, services, loss in percent. */
void SpreadChange(benchmark::State& aState)
{
  for (auto it : aState) {
    ConfigWorld::Options options;
    options.mDataCentres = static_cast<int>(aState.range(0));
    options.mBalancers = static_cast<int>(aState.range(1));
    options.mAgents = static_cast<int>(aState.range(2));
    options.mServices = static_cast<int>(aState.range(3));
    options.mLoss = static_cast<double>(aState.range(4)) / 100;
    ConfigWorld world(options);
    std::vector<double> times;
    MeasureChange(world, 2, times);
    world.Run(40s);
    Traffic first = Sum(world);
    auto calls = world.mCalls.size();
    world.Run(60s);
    Traffic rest = Sum(world);
    auto restCalls = world.mCalls.size() - calls;
    times.clear();
    for (int i = 0; i < kChanges; ++i) {
      MeasureChange(world, 3 + i, times);
    }
    Traffic after = Sum(world);
    double nodes = static_cast<double>(world.mNodes.size());
    double idle = static_cast<double>(rest.mBytes - first.mBytes) / nodes / 60;
    std::ranges::sort(times);
    aState.counters["ms_p50"] = times[times.size() / 2];
    aState.counters["ms_max"] = times.back();
    aState.counters["rest_Bps_node"] = idle;
    // Over the 5 s of each change, less what flows at rest.
    aState.counters["change_B_node"] =
      static_cast<double>(after.mBytes - rest.mBytes) / nodes / kChanges -
      idle * 5;
    aState.counters["change_msgs_node"] =
      static_cast<double>(after.mMessages - rest.mMessages) / nodes / kChanges;
    aState.counters["most_B_node"] =
      static_cast<double>(after.mMostBytes - rest.mMostBytes) / kChanges;
    aState.counters["rest_calls_s"] = static_cast<double>(restCalls) / 60;
    aState.counters["change_calls"] =
      static_cast<double>(world.mCalls.size() - calls - restCalls) / kChanges;
  }
}

/** What one receiver does to put a version in force. Arguments: services, and
 * whether it remembers the parts of the version before. */
void AssembleWhole(benchmark::State& aState)
{
  auto count = static_cast<int>(aState.range(0));
  auto parts =
    SplitConfiguration(MakeFleet(count),
                       ChoosePartCount(static_cast<std::size_t>(count), 0))
      .value();
  ConfigurationHead head;
  head.mVersion = 1;
  std::size_t size = 0;
  for (const auto& it : parts) {
    head.mParts.push_back({ HashPart(it), 1 });
    size += it.size();
  }
  std::vector<std::string_view> views(parts.begin(), parts.end());
  auto before = mallinfo2().uordblks;
  ConfigurationAssembler assembler;
  auto held = assembler.Assemble(head, views);
  aState.counters["held_bytes"] =
    static_cast<double>(mallinfo2().uordblks - before);
  bool remember = aState.range(1) != 0;
  for (auto it : aState) {
    benchmark::DoNotOptimize(remember ? assembler.Assemble(head, views)
                                      : AssembleConfiguration(head, views));
  }
  aState.counters["bytes"] = static_cast<double>(size);
  aState.counters["head_bytes"] =
    static_cast<double>(SerializeHead(head).size());
  aState.counters["parts"] = static_cast<double>(parts.size());
}

BENCHMARK(SpreadChange)
  ->Iterations(1)
  ->Unit(benchmark::kMillisecond)
  ->Args({ 3, 3, 3, 2, 0 })
  ->Args({ 3, 17, 2, 64, 0 })
  ->Args({ 3, 33, 2, 64, 0 })
  ->Args({ 3, 67, 2, 64, 0 })
  ->Args({ 3, 67, 2, 64, 5 })
  ->Args({ 13, 50, 0, 64, 0 })
  ->Args({ 13, 100, 0, 64, 0 })
  ->Args({ 13, 200, 0, 64, 0 })
  ->Args({ 1, 3, 0, 6000, 0 });
BENCHMARK(AssembleWhole)
  ->Unit(benchmark::kMillisecond)
  ->Args({ 2, 0 })
  ->Args({ 600, 0 })
  ->Args({ 6000, 0 })
  ->Args({ 6000, 1 });

} // namespace

} // namespace heatherplank
