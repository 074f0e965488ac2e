#include <malloc.h>

#include <benchmark/benchmark.h>

#include "bench/BenchMembers.h"
#include "lab/soak/PacketMaker.h"
#include "src/net/Endpoint.h"
#include "src/passthrough/FlowSteering.h"
#include "src/passthrough/HostFlows.h"
#include "src/passthrough/PassthroughTraffic.h"
#include "src/wire/PassthroughCodec.h"

using namespace heatherplank;

namespace {

class NoAgents final : public FlowSteeringOutput
{
public:
  void Steer(const Address&, const SteeredPacket& aPacket) override
  {
    mBytes += EncodePayload(aPacket).size();
  }
  void Query(const Address&, const FlowQuery&) override {}
  void ToCaller(const Address&, ByteView) override {}
  void SendRecords(const Address&, const FlowRecords&) override {}
  void Placed(Duration) override {}
  std::uint64_t mBytes = 0;
};

class NoNetwork final : public HostFlowsOutput
{
public:
  void ToHost(ByteView) override {}
  void ToCaller(const Address&, ByteView) override {}
  void Steer(const Address&, const SteeredPacket&) override {}
  void Report(const Address&, const PlacementReport&) override {}
  void RecordDuration(HostTiming, Duration) override {}
};

const Address kService = *ParseAddress("198.18.0.1:443");
const Address kBalancer = *ParseAddress("10.0.0.1:7000");

/** A balancer in front of one service of so many hosts. */
struct Fixture
{
  explicit Fixture(std::int64_t aHosts)
    : mSteering({ kBalancer, MakeDataCentreId("z0"), 65536, MakeHostId("b") },
                mPackets, mOut)
  {
    auto inventory = std::make_shared<FlowInventory>();
    inventory->mVersion = 1;
    inventory->mRoutes[kService].mShares = { { MakeServiceId("s"), 1 } };
    mSteering.SetInventory(inventory);
    auto view = std::make_shared<MemberView>();
    view->mVersion = 1;
    for (std::int64_t i = 0; i < aHosts; ++i) {
      Member member;
      member.mHost = MakeHostId("h" + std::to_string(i));
      member.mService = MakeServiceId("s");
      member.mDataCentre = MakeDataCentreId("z" + std::to_string(i % 13));
      member.mState = HostState::Serving;
      member.mTunnel = kBalancer;
      view->mMembers.push_back(member);
    }
    MemberViewPtr views[] = { view };
    ServiceId services[] = { MakeServiceId("s") };
    mSteering.SetViews(views, services);
  }

  FlowKey Flow(std::uint64_t aIndex) const
  {
    FlowKey out{ *ParseAddress("100.64.0.1:0"), kService };
    out.mCaller.mPort = static_cast<std::uint16_t>(aIndex);
    out.mCaller.mIp[14] = static_cast<std::uint8_t>(aIndex >> 16);
    return out;
  }

  Bytes Packet(std::uint64_t aIndex, std::uint8_t aFlags) const
  {
    return lab::MakePacket(Flow(aIndex).mCaller, kService, aFlags, 1, 0, 0);
  }

  PlatformPackets mPackets;
  NoAgents mOut;
  FlowSteering mSteering;
};

void NewFlow(benchmark::State& aState)
{
  Fixture fixture(aState.range(0));
  Time now = SteadyClock().Now();
  std::uint64_t i = 0;
  for (auto it : aState) {
    Bytes packet = fixture.Packet(++i, lab::kSyn);
    fixture.mSteering.OnPacket(packet, now);
    fixture.mSteering.OnReport(
      { fixture.Flow(i), MakeHostId("h1"), PlacementOutcome::Placed }, now);
  }
  aState.counters["tunnel bytes"] =
    static_cast<double>(fixture.mOut.mBytes) / static_cast<double>(i);
}
BENCHMARK(NewFlow)->Arg(10)->Arg(1000)->Arg(29000);

void PacketWithHint(benchmark::State& aState)
{
  Fixture fixture(aState.range(0));
  Time now = SteadyClock().Now();
  fixture.mSteering.OnReport(
    { fixture.Flow(1), MakeHostId("h1"), PlacementOutcome::Placed }, now);
  Bytes packet = fixture.Packet(1, lab::kAck);
  for (auto it : aState) {
    fixture.mSteering.OnPacket(packet, now);
  }
}
BENCHMARK(PacketWithHint)->Arg(10)->Arg(1000)->Arg(29000);

void PacketWithoutHint(benchmark::State& aState)
{
  Fixture fixture(aState.range(0));
  Time now = SteadyClock().Now();
  Bytes packet = fixture.Packet(1, lab::kAck);
  for (auto it : aState) {
    fixture.mSteering.OnPacket(packet, now);
  }
}
BENCHMARK(PacketWithoutHint)->Arg(10)->Arg(1000)->Arg(29000);

/** A change of one member, as a balancer takes it in. */
void MemberChanges(benchmark::State& aState)
{
  for (auto it : aState) {
    Fixture fixture(aState.range(0));
    benchmark::DoNotOptimize(fixture.mOut.mBytes);
  }
}
BENCHMARK(MemberChanges)->Arg(10)->Arg(1000)->Arg(29000);

/** A flow's whole life at an agent: opening, answer, request, answer. */
void FlowAtAgent(benchmark::State& aState)
{
  PlatformPackets packets;
  NoNetwork out;
  HostFlows::Options options;
  options.mService = MakeServiceId("s");
  Time now = SteadyClock().Now();
  HostFlows flows(options, packets, out, now);
  HostAnnouncement beat;
  beat.mId = "h";
  beat.mSequence = 1;
  beat.mSlots = 2;
  flows.OnAnnouncement(beat, now);
  SteeredPacket steered;
  steered.mService = options.mService;
  steered.mIngress = kBalancer;
  steered.mLatencyTarget = std::chrono::milliseconds(100);
  std::uint16_t port = 0;
  for (auto it : aState) {
    Address caller = *ParseAddress("100.64.0.1:0");
    caller.mPort = ++port;
    steered.mPurpose = SteerPurpose::Place;
    steered.mPacket = lab::MakePacket(caller, kService, lab::kSyn, 1, 0, 0);
    flows.OnSteered(steered, now);
    flows.OnHostPacket(
      lab::MakePacket(kService, caller, lab::kSyn | lab::kAck, 500, 2, 0), now);
    steered.mPurpose = SteerPurpose::Deliver;
    steered.mPacket = lab::MakePacket(caller, kService, lab::kAck, 2, 501, 100);
    flows.OnSteered(steered, now);
    flows.OnHostPacket(
      lab::MakePacket(kService, caller, lab::kAck, 501, 102, 200), now);
  }
}
BENCHMARK(FlowAtAgent);

/** Services of five hosts, as many hosts in all. */
void FillMembers(PassthroughTraffic& aTraffic, std::int64_t aHosts)
{
  constexpr std::int64_t kHostsPerService = 5;
  for (std::int64_t i = 0; i < aHosts; i += kHostsPerService) {
    ServiceId service = MakeServiceId("s" + std::to_string(i));
    std::vector<Member> members;
    for (std::int64_t j = i; j < i + kHostsPerService; ++j) {
      members.push_back(MakeMember("h" + std::to_string(j), service, j));
    }
    aTraffic.SetMembers(service, members);
  }
}

void MeterSentPacket(benchmark::State& aState)
{
  MetricsRegistry metrics;
  auto before = mallinfo2().uordblks;
  PassthroughTraffic traffic(metrics, MakeDataCentreId("dc-0"), Time{});
  FillMembers(traffic, aState.range(0));
  aState.counters["bytes"] = static_cast<double>(mallinfo2().uordblks - before);
  std::int64_t host = 0;
  for (auto it : aState) {
    traffic.OnSteered(AddressOf(host), SteerPurpose::Deliver, 500);
    host = (host + 7919) % aState.range(0);
  }
}
BENCHMARK(MeterSentPacket)->Arg(10)->Arg(30000);

void MeterServiceChanged(benchmark::State& aState)
{
  MetricsRegistry metrics;
  PassthroughTraffic traffic(metrics, MakeDataCentreId("dc-0"), Time{});
  FillMembers(traffic, aState.range(0));
  ServiceId service = MakeServiceId("s0");
  std::vector<Member> members;
  for (std::int64_t i = 0; i < 5; ++i) {
    members.push_back(MakeMember("h" + std::to_string(i), service, i));
  }
  for (auto it : aState) {
    traffic.SetMembers(service, members);
  }
}
BENCHMARK(MeterServiceChanged)->Arg(30000);

} // namespace
