// Steering: nanoseconds a decision, what a view costs to make and to hold, and
// what an owned flow costs. Run with build/heatherplank_bench.

#include <algorithm>
#include <chrono>
#include <cstdint>
#include <unordered_map>
#include <vector>

#include <benchmark/benchmark.h>

#include "src/steer/Ownership.h"
#include "src/steer/Steering.h"
#include "tests/SteerFixture.h"

using namespace heatherplank;
using namespace std::chrono_literals;

namespace {

constexpr std::size_t kFlows = 300000;

/** Services that share the hosts, and the way from an address to a view. */
struct Fleet
{
  Fleet(std::size_t aHosts, std::size_t aServices)
  {
    std::size_t perService = std::max<std::size_t>(1, aHosts / aServices);
    auto members = TestMembers(aHosts);
    for (std::size_t i = 0; i < aServices; ++i) {
      std::vector<Member> own;
      for (std::size_t n = 0; n < perService; ++n) {
        own.push_back(members[(i * perService + n) % aHosts]);
      }
      mViews.push_back(TestView(1, own));
      mByAddress[ServiceAddress(i)] = mViews.back().get();
    }
  }

  static Address ServiceAddress(std::size_t aService)
  {
    Address address;
    address.mIp[14] = static_cast<std::uint8_t>(aService >> 8);
    address.mIp[15] = static_cast<std::uint8_t>(aService);
    address.mPort = 80;
    return address;
  }

  std::size_t MemoryUse() const
  {
    std::size_t bytes = 0;
    for (const auto& it : mViews) {
      bytes += it->MemoryUse();
    }
    return bytes;
  }

  std::vector<ServiceViewPtr> mViews;
  std::unordered_map<Address, const ServiceView*> mByAddress;
};

std::vector<FlowKey> MakeFlows(std::size_t aServices)
{
  std::vector<FlowKey> flows(kFlows);
  for (std::size_t i = 0; i < flows.size(); ++i) {
    flows[i].mCaller.mIp[12] = static_cast<std::uint8_t>(i >> 16);
    flows[i].mCaller.mPort = static_cast<std::uint16_t>(i);
    flows[i].mService = Fleet::ServiceAddress(MixHash(i, 1) % aServices);
  }
  return flows;
}

/** One decision: address to view, flow to hash, hash to host. */
void SteerBench(benchmark::State& aState)
{
  auto services = static_cast<std::size_t>(aState.range(1));
  Fleet fleet(static_cast<std::size_t>(aState.range(0)), services);
  auto flows = MakeFlows(services);
  bool known = aState.range(2) != 0;
  HintCache hints(known ? 2 * kFlows : 16);
  for (const FlowKey& it : flows) {
    const ServiceView* view = fleet.mByAddress[it.mService];
    const Member* owner = view->Arbiter(HashFlow(it));
    hints.Put(HashFlow(it), { owner->mHost, owner->mIncarnation });
  }
  std::size_t at = 0;
  for ([[maybe_unused]] auto it : aState) {
    const FlowKey& flow = flows[at];
    const ServiceView* view = fleet.mByAddress.find(flow.mService)->second;
    benchmark::DoNotOptimize(Steer(HashFlow(flow), view, hints));
    at = at + 1 < flows.size() ? at + 1 : 0;
  }
}

/** The spread of single decisions; the clock's own cost is within them. */
void SteerPercentilesBench(benchmark::State& aState)
{
  Fleet fleet(29000, 6000);
  auto flows = MakeFlows(6000);
  HintCache hints(16);
  std::vector<std::int64_t> times;
  for ([[maybe_unused]] auto it : aState) {
    const FlowKey& flow = flows[times.size() % flows.size()];
    auto start = std::chrono::steady_clock::now();
    const ServiceView* view = fleet.mByAddress.find(flow.mService)->second;
    benchmark::DoNotOptimize(Steer(HashFlow(flow), view, hints));
    times.push_back((std::chrono::steady_clock::now() - start).count());
  }
  std::sort(times.begin(), times.end());
  aState.counters["p50_ns"] = static_cast<double>(times[times.size() / 2]);
  aState.counters["p99_ns"] =
    static_cast<double>(times[times.size() * 99 / 100]);
}

void MakeViewBench(benchmark::State& aState)
{
  auto members = TestMembers(static_cast<std::size_t>(aState.range(0)));
  for ([[maybe_unused]] auto it : aState) {
    benchmark::DoNotOptimize(TestView(1, members));
  }
  auto view = TestView(1, members);
  aState.counters["view_bytes"] = static_cast<double>(view->MemoryUse());
}

void FleetMemoryBench(benchmark::State& aState)
{
  for ([[maybe_unused]] auto it : aState) {
    Fleet fleet(29000, 6000);
    aState.counters["bytes"] = static_cast<double>(fleet.MemoryUse());
    aState.counters["bytes_a_member"] =
      static_cast<double>(fleet.MemoryUse()) / 29000;
  }
}

/** An agent of one host with 300,000 flows: a packet of a known flow. */
void OwnedPacketBench(benchmark::State& aState)
{
  OwnershipOptions options;
  options.mMaxFlows = kFlows;
  options.mFlowIdleTimeout = 1h;
  FirstRankPolicy policy;
  Time now = Time{} + 1h;
  auto members = TestMembers(1);
  Ownership ownership(ToPeer(members[0]), members[0].mService, policy, options,
                      now);
  OwnershipActions actions;
  now += 40s;
  ownership.OnView(TestView(1, members), now, now, actions);
  auto flows = MakeFlows(1);
  PacketEvent packet;
  packet.mService = members[0].mService;
  packet.mDirective = PacketDirective::Deliver;
  std::size_t at = 0;
  auto send = [&] {
    packet.mFlow = flows[at];
    at = at + 1 < flows.size() ? at + 1 : 0;
    actions.clear();
    ownership.OnPacket(packet, now, actions);
  };
  for (std::size_t i = 0; i < flows.size(); ++i) {
    send();
  }
  for ([[maybe_unused]] auto it : aState) {
    send();
  }
  aState.counters["flows"] = static_cast<double>(ownership.FlowCount());
  aState.counters["bytes_a_flow"] =
    static_cast<double>(Ownership::BytesPerFlow());
}

BENCHMARK(SteerBench)
  ->ArgNames({ "hosts", "services", "hints" })
  ->Args({ 10, 1, 0 })
  ->Args({ 1000, 200, 0 })
  ->Args({ 29000, 6000, 0 })
  ->Args({ 29000, 6000, 1 })
  ->Args({ 5, 1, 0 })
  ->Args({ 32, 1, 0 })
  ->Args({ 5000, 1, 0 })
  ->Args({ 29000, 1, 0 });
BENCHMARK(SteerPercentilesBench);
BENCHMARK(MakeViewBench)
  ->ArgName("members")
  ->Arg(5)
  ->Arg(32)
  ->Arg(33)
  ->Arg(1000)
  ->Arg(5000)
  ->Arg(29000)
  ->Unit(benchmark::kMicrosecond);
BENCHMARK(FleetMemoryBench)->Unit(benchmark::kMillisecond);
BENCHMARK(OwnedPacketBench);

} // namespace
