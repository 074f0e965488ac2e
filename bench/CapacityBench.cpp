// Slopes for docs/CAPACITY.md: what state holds, and what messages weigh. All
// counters are bytes or counts, which do not depend on the machine's load.
#include <malloc.h>

#include <algorithm>
#include <chrono>
#include <map>
#include <memory>
#include <string>
#include <vector>

#include <benchmark/benchmark.h>

#include "bench/BenchMembers.h"
#include "src/balancer/RouteTable.h"
#include "src/config/ConfigurationStore.h"
#include "src/record/GrantShard.h"
#include "src/status/StatusCodec.h"
#include "src/status/StatusObject.h"
#include "src/steer/HintCache.h"
#include "src/steer/Ownership.h"
#include "src/wire/LoadCodec.h"
#include "src/wire/MembershipCodec.h"
#include "src/wire/PacketCodec.h"
#include "src/wire/SteerCodec.h"
#include "tests/ConfigWorld.h"
#include "tests/FakeObjectStore.h"

namespace heatherplank {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr int kHostsOfAService = 5;

std::size_t HeldBytes()
{
  auto info = mallinfo2();
  return info.uordblks + info.hblkhd;
}

double PerItem(std::size_t aBytes, std::int64_t aItems)
{
  return static_cast<double>(aBytes) / static_cast<double>(aItems);
}

MemberViewPtr MakeView(const std::string& aService, std::int64_t aHosts,
                       std::int64_t aFirst)
{
  MemberView view;
  view.mVersion = 1;
  for (std::int64_t i = 0; i < aHosts; ++i) {
    view.mMembers.push_back(MakeMember("host-" + std::to_string(aFirst + i),
                                       MakeServiceId(aService), aFirst + i));
  }
  std::sort(view.mMembers.begin(), view.mMembers.end(),
            [](const Member& aLeft, const Member& aRight) {
              return aLeft.mHost < aRight.mHost;
            });
  return MemberViewPtr(new MemberView(std::move(view)));
}

/** The routes of a balancer: services of five hosts, one address each. The
 * time is that of one view's change, after which all routes are made anew. */
void RoutesHeld(benchmark::State& aState)
{
  std::int64_t services = aState.range(0);
  auto configuration = std::make_shared<Configuration>();
  std::vector<ServiceId> ids;
  for (std::int64_t i = 0; i < services; ++i) {
    ids.push_back(MakeServiceId("service-" + std::to_string(i)));
    configuration->mByAddress[AddressOf(i)] = ids.back();
  }
  std::size_t before = HeldBytes();
  RouteTable table;
  table.SetConfiguration(configuration);
  std::vector<MemberViewPtr> views;
  for (std::int64_t i = 0; i < services; ++i) {
    views.push_back(MakeView("service-" + std::to_string(i), kHostsOfAService,
                             i * kHostsOfAService));
  }
  RoutesPtr routes = table.SetViews(views, ids);
  views.resize(1);
  aState.counters["bytes_a_service"] = PerItem(HeldBytes() - before, services);
  for (auto _ : aState) {
    routes = table.SetViews(views, std::span(ids).first(1));
  }
}
BENCHMARK(RoutesHeld)
  ->Arg(60)
  ->Arg(600)
  ->Arg(6000)
  ->Unit(benchmark::kMicrosecond);

/** What one service's view with its rank table holds. */
void ViewHeld(benchmark::State& aState)
{
  MemberViewPtr view = MakeView("service", aState.range(0), 0);
  ServiceViewPtr made;
  for (auto _ : aState) {
    made = MakeServiceView(MakeServiceId("service"), 1, view->mMembers);
  }
  aState.counters["bytes"] = static_cast<double>(made->MemoryUse());
  aState.counters["bytes_a_member"] =
    PerItem(made->MemoryUse(), aState.range(0));
}
BENCHMARK(ViewHeld)->Arg(5)->Arg(32)->Arg(100)->Arg(1000)->Arg(5000)->Unit(
  benchmark::kMicrosecond);

void HintsHeld(benchmark::State& aState)
{
  std::size_t bytes = 0;
  for (auto _ : aState) {
    HintCache cache(static_cast<std::size_t>(aState.range(0)));
    bytes = cache.MemoryUse();
  }
  aState.counters["bytes"] = static_cast<double>(bytes);
  aState.counters["bytes_a_hint"] = PerItem(bytes, aState.range(0));
}
BENCHMARK(HintsHeld)
  ->Arg(10000)
  ->Arg(100000)
  ->Arg(1000000)
  ->Iterations(3)
  ->Unit(benchmark::kMicrosecond);

/** What an agent's table of owned flows holds, its buckets included. */
void FlowsHeld(benchmark::State& aState)
{
  std::int64_t flows = aState.range(0);
  for (auto _ : aState) {
    std::size_t before = HeldBytes();
    BoundedTable<OwnedFlow> table(static_cast<std::size_t>(flows));
    for (std::int64_t i = 0; i < flows; ++i) {
      FlowKey flow;
      flow.mCaller = AddressOf(i);
      flow.mService = AddressOf(0);
      table.Insert(flow, Time{});
    }
    aState.counters["bytes_a_flow"] = PerItem(HeldBytes() - before, flows);
  }
  aState.counters["bytes_an_entry"] =
    static_cast<double>(BoundedTable<KnownOwner>::BytesPerEntry());
}
BENCHMARK(FlowsHeld)->Arg(1500)->Arg(15000)->Arg(150000)->Iterations(1)->Unit(
  benchmark::kMillisecond);

/** A status object of some processes, a tenth of them balancers. */
void StatusObjectSize(benchmark::State& aState)
{
  StatusObject object;
  for (std::int64_t i = 0; i < aState.range(0); ++i) {
    ProcessStatus process;
    process.mName = "host-" + std::to_string(10000 + i);
    process.mRole = i % 10 == 0 ? "balancer" : "agent";
    process.mDataCentre = "dc-01";
    process.mVersion = 5100;
    process.mInForceSinceMs = 1796250000000;
    process.mLastReportMs = 1796250000000;
    process.mAdmin = "10.200.100.10:9000";
    object.mProcesses[process.mName] = process;
  }
  std::size_t bytes = 0;
  for (auto _ : aState) {
    bytes = SerializeStatus(object).size();
  }
  aState.counters["bytes"] = static_cast<double>(bytes);
  aState.counters["bytes_a_process"] = PerItem(bytes, aState.range(0));
}
BENCHMARK(StatusObjectSize)
  ->Arg(30)
  ->Arg(300)
  ->Arg(3000)
  ->Unit(benchmark::kMicrosecond);

/** What a shard's value holds, keys of 36 characters, not answered. */
void GrantsHeld(benchmark::State& aState)
{
  GrantShard shard;
  std::string key(36, 'k');
  for (std::int64_t i = 0; i < aState.range(0); ++i) {
    std::string number = std::to_string(i);
    Grant grant{
      MakeHostId("host"), 1796250000000000, MixHash(1, 2), false, {}
    };
    shard.Set(key.substr(number.size()) + number, grant);
  }
  std::size_t bytes = 0;
  for (auto _ : aState) {
    bytes = shard.Encode().size();
  }
  aState.counters["bytes"] = static_cast<double>(bytes);
  aState.counters["bytes_a_grant"] = PerItem(bytes, aState.range(0));
}
BENCHMARK(GrantsHeld)
  ->Arg(70)
  ->Arg(700)
  ->Arg(7000)
  ->Unit(benchmark::kMicrosecond);

LoadMessage MakeLoad()
{
  LoadMessage message;
  message.mHost = MakeHostId("host");
  message.mIncarnation = message.mSequence = 9;
  HostLoad& load = message.mLoad;
  load.mQueued = load.mBusy = 9;
  load.mSlots = 2;
  load.mLatency = load.mServiceTime = milliseconds(9);
  load.mFailureRate = 0.5;
  load.mResultCount = 9;
  return message;
}

/** Bytes of the messages that grow with flows, headers of ours included. */
void MessageBytes(benchmark::State& aState)
{
  // Defaults are left out of a message, so each field gets another value.
  FlowKey flow{ AddressOf(1), AddressOf(2) };
  Peer peer{ MakeHostId("host"), 9, AddressOf(3) };
  Packet packet;
  packet.mFlow = flow;
  packet.mService = MakeServiceId("service");
  packet.mReturnTo = packet.mHintTo = AddressOf(4);
  packet.mHops = 1;
  packet.mDirective = PacketDirective::Adopt;
  packet.mArbiter = peer.mHost;
  packet.mEpoch = 9;
  Ask ask{ flow, peer, 9, AskPurpose::Reconfirm };
  AskReply reply{ flow, peer, 9, AskVerdict::Owner, peer, 9, 9, true };
  Claim one;
  one.mFrom = peer;
  one.mFlows = { { flow, 9, 9, true } };
  Claim full;
  full.mFrom = peer;
  full.mFlows.assign(kMaxFlowsPerClaim, { flow, 9, 9, true });
  Hint hint{ flow, peer.mHost, peer, 9, true };
  for (auto _ : aState) {
    benchmark::DoNotOptimize(EncodeOwnershipMessage(ask));
  }
  auto size = [](const Bytes& aBytes) {
    return static_cast<double>(aBytes.size());
  };
  aState.counters["packet"] = size(EncodePacket(packet));
  aState.counters["ask"] = size(EncodeOwnershipMessage(ask));
  aState.counters["ask_reply"] = size(EncodeOwnershipMessage(reply));
  aState.counters["claim_1"] = size(EncodeOwnershipMessage(one));
  aState.counters["claim_16"] = size(EncodeOwnershipMessage(full));
  aState.counters["hint"] = size(EncodeOwnershipMessage(hint));
  StatusReport report;
  report.mProcess = {
    "host-10000", "agent", "dc-01", 5100, 1, 1, "10.2.1.1:9"
  };
  aState.counters["status_empty"] = size(EncodeStatusReport(report));
  report.mFigures.resize(1);
  report.mFigures[0].mName = "two-choices";
  for (std::uint32_t i = 0; i < 8; ++i) {
    report.mFigures[0].mLatency["normal"].mBins[20 + i] = 1;
  }
  aState.counters["status_busy"] = size(EncodeStatusReport(report));
  aState.counters["load"] = size(EncodeLoad(MakeLoad()));
}
BENCHMARK(MessageBytes);

/** Platform calls of an operator's change of one service, as `apply` makes
 * them: read what is in force, then have the change accepted. */
void CallsOfAChange(benchmark::State& aState)
{
  int services = static_cast<int>(aState.range(0));
  FakeObjectStore platform;
  SyncObjectStore::Options calls;
  calls.mPause = [](Duration) {};
  SyncObjectStore store(platform, calls);
  ConfigurationStore configurations(store, {});
  auto makeWanted = [services](int aSlots) {
    return std::make_shared<const Configuration>(MakeFleet(services, aSlots));
  };
  auto first = configurations.Commit({ nullptr, makeWanted(2), "ana", {} });
  int slots = 2;
  for (auto _ : aState) {
    int before = platform.mCalls;
    auto newest = configurations.Read();
    auto done = configurations.Commit(
      { (*newest)->mConfiguration, makeWanted(++slots), "ana", {} });
    aState.counters["accepted"] = first && done ? 1 : 0;
    aState.counters["calls"] = platform.mCalls - before;
  }
  aState.counters["objects"] = static_cast<double>(platform.mObjects.size());
}
BENCHMARK(CallsOfAChange)
  ->Arg(60)
  ->Arg(600)
  ->Arg(6000)
  ->Iterations(3)
  ->Unit(benchmark::kMillisecond);

} // namespace
} // namespace heatherplank
