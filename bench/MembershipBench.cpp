// Membership: time a heartbeat, memory and bytes a member, and what control
// costs one balancer at rest and while hosts restart.
#include <malloc.h>

#include <algorithm>
#include <chrono>
#include <memory>
#include <string>
#include <vector>

#include <benchmark/benchmark.h>

#include "src/membership/BalancerMembership.h"
#include "src/membership/Monitors.h"
#include "src/wire/MembershipCodec.h"

namespace heatherplank {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

class AllowAll final : public InventoryCheck
{
public:
  bool Allows(const Member&) const override { return true; }
};

const AllowAll kAllowAll;

/** A fleet of a size: services of five hosts, balancers and data centres in the
 * proportions of the size to design for, never below today's. */
struct FleetSize
{
  explicit FleetSize(std::int64_t aHosts)
    : mHosts(static_cast<int>(aHosts))
    , mBalancers(std::max(4, mHosts * 2600 / 29000))
    , mDataCentres(mHosts > 10000 ? 13 : 3)
    , mServices(std::max(2, mHosts * 6000 / 29000))
  {
  }
  int mHosts;
  int mBalancers;
  int mDataCentres;
  int mServices;
};

Address AddressOf(int aNumber)
{
  Address address;
  address.mIp[12] = static_cast<std::uint8_t>(aNumber >> 16);
  address.mIp[13] = static_cast<std::uint8_t>(aNumber >> 8);
  address.mIp[14] = static_cast<std::uint8_t>(aNumber);
  address.mPort = 1;
  return address;
}

Member MakeMember(const std::string& aKind, int aNumber, const FleetSize& aSize)
{
  Member member;
  member.mHost = MakeHostId(aKind + std::to_string(aNumber));
  member.mService =
    MakeServiceId("service-" + std::to_string(aNumber % aSize.mServices));
  member.mDataCentre =
    MakeDataCentreId("dc-" + std::to_string(aNumber % aSize.mDataCentres));
  member.mIncarnation = 1;
  member.mState = HostState::Serving;
  member.mControl = AddressOf(aNumber + (aKind == "host-" ? 100000 : 0));
  member.mTunnel = member.mControl;
  return member;
}

MemberRecord MakeRecord(const Member& aMember, std::uint32_t aBeat)
{
  MemberRecord record;
  record.mMember = aMember;
  record.mHeartbeatNumber = aBeat;
  record.mAge = std::chrono::hours(1);
  return record;
}

std::vector<MemberRecord> MakeRecords(const std::string& aKind, int aCount,
                                      const FleetSize& aSize)
{
  std::vector<MemberRecord> records;
  records.reserve(static_cast<std::size_t>(aCount));
  for (int i = 0; i < aCount; ++i) {
    records.push_back(MakeRecord(MakeMember(aKind, i, aSize), 1));
  }
  return records;
}

void HeartbeatAccepted(benchmark::State& aState)
{
  FleetSize size(aState.range(0));
  std::vector<MemberRecord> records = MakeRecords("host-", size.mHosts, size);
  std::size_t before = mallinfo2().uordblks;
  MemberTable table(MemberTableId::Hosts, kAllowAll);
  Time now = Time{} + seconds(100);
  for (const MemberRecord& it : records) {
    table.OnHeartbeat({ MemberTableId::Hosts, it, 0, 0, 0 }, now);
  }
  table.TakePeerChanges(records.size(), now);
  table.TakeViewChanges(now);
  std::size_t held = mallinfo2().uordblks - before;
  std::uint32_t beat = 1;
  std::size_t next = 0;
  for (auto _ : aState) {
    if (next == 0) {
      ++beat;
    }
    records[next].mHeartbeatNumber = beat;
    table.OnHeartbeat({ MemberTableId::Hosts, records[next], 0, 0, 0 }, now);
    next = (next + 1) % records.size();
  }
  aState.counters["memory_a_member"] =
    static_cast<double>(held) / static_cast<double>(size.mHosts);
}
BENCHMARK(HeartbeatAccepted)->Arg(10)->Arg(1000)->Arg(29000);

void TickAtRest(benchmark::State& aState)
{
  FleetSize size(aState.range(0));
  MemberTable table(MemberTableId::Hosts, kAllowAll);
  Time now = Time{} + seconds(100);
  for (const MemberRecord& it : MakeRecords("host-", size.mHosts, size)) {
    table.OnHeartbeat({ MemberTableId::Hosts, it, 0, 0, 0 }, now);
  }
  for (auto _ : aState) {
    table.OnTick(now);
  }
}
BENCHMARK(TickAtRest)->Arg(10)->Arg(1000)->Arg(29000);

void DigestMade(benchmark::State& aState)
{
  FleetSize size(aState.range(0));
  MemberTable table(MemberTableId::Hosts, kAllowAll);
  table.OnDelta({ MemberTableId::Hosts, 1, kNoTree, false,
                  MakeRecords("host-", size.mHosts, size) },
                Time{} + seconds(100));
  for (auto _ : aState) {
    benchmark::DoNotOptimize(table.Digest());
  }
  aState.counters["bytes"] =
    static_cast<double>(EncodePayload(table.Digest()).size());
}
BENCHMARK(DigestMade)->Arg(10)->Arg(1000)->Arg(29000);

void HeartbeatDecoded(benchmark::State& aState)
{
  FleetSize size(10);
  Bytes bytes = EncodePayload(
    Heartbeat{ MemberTableId::Hosts,
               MakeRecord(MakeMember("host-", 1, size), 1), 9, 9, 9 });
  for (auto _ : aState) {
    benchmark::DoNotOptimize(DecodeHeartbeat(bytes));
  }
  aState.counters["bytes"] = static_cast<double>(bytes.size());
}
BENCHMARK(HeartbeatDecoded);

/** One balancer amid a fleet, which is played to it: heartbeats of the hosts
 * that it monitors, changes that come down the trees, digests of peers. */
class PlayedBalancer
{
public:
  explicit PlayedBalancer(const FleetSize& aSize)
    : mSize(aSize)
    , mHosts(MakeRecords("host-", aSize.mHosts, aSize))
    , mBalancers(MakeRecords("balancer-", aSize.mBalancers, aSize))
  {
    for (MemberRecord& it : mBalancers) {
      it.mMember.mService = BalancerService();
      mList.push_back(it.mMember);
    }
    BalancerMembershipOptions options;
    options.mMonitors.mCount = 3;
    options.mTable.mSuspectTimeout = std::chrono::hours(1);
    mNode = std::make_unique<BalancerMembership>(mList[0], kAllowAll, options,
                                                 1, mNow);
    Fill();
    ChooseMonitored();
  }

  void Play(int aSeconds, double aRestartsPerSecond)
  {
    double due = 0;
    int restarted = 0;
    for (int step = 0; step < aSeconds * 10; ++step) {
      mNow += milliseconds(100);
      if (step % 5 == 0) {
        BeatAll();
      }
      for (due += aRestartsPerSecond / 10; due >= 1; --due) {
        Restart(restarted++ % mSize.mHosts);
      }
      if (step % 100 == 50) {
        PeerDigest();
      }
      Call([this] { mNode->OnTick(mNow); });
    }
    mSeconds += aSeconds;
  }

  double mOut = 0;
  double mIn = 0;
  double mBusy = 0;
  double mSeconds = 0;
  std::size_t mMonitoredCount = 0;

private:
  void Fill()
  {
    MemberDelta balancers;
    balancers.mTable = MemberTableId::Balancers;
    balancers.mRecords = mBalancers;
    mNode->OnMessage(balancers, mNow);
    MemberSnapshot hosts;
    hosts.mLast = { UINT64_MAX };
    hosts.mRecords = mHosts;
    mNode->OnMessage(hosts, mNow);
    mNode->OnTick(mNow);
    mNode->TakeActions();
  }

  void ChooseMonitored()
  {
    for (std::size_t i = 0; i < mHosts.size(); ++i) {
      const Member& host = mHosts[i].mMember;
      mIsMine.push_back(
        IsMonitor(mList[0].mHost, host.mHost, host.mDataCentre, mList, 3));
      mMonitoredCount += mIsMine.back() ? 1 : 0;
    }
  }

  template<typename What>
  void Call(What aWhat)
  {
    auto start = std::chrono::steady_clock::now();
    aWhat();
    mBusy +=
      std::chrono::duration<double>(std::chrono::steady_clock::now() - start)
        .count();
    for (const SendMembership& it : mNode->TakeActions()) {
      mOut += SizeOf(it.mMessage);
    }
  }

  static double SizeOf(const MembershipMessage& aMessage)
  {
    return static_cast<double>(
      kFrameHeaderSize +
      std::visit([](const auto& aIt) { return EncodePayload(aIt).size(); },
                 aMessage));
  }

  void Give(const MembershipMessage& aMessage)
  {
    mIn += SizeOf(aMessage);
    Call([&] { mNode->OnMessage(aMessage, mNow); });
  }

  void BeatHost(std::size_t aIndex)
  {
    MemberRecord& record = mHosts[aIndex];
    ++record.mHeartbeatNumber;
    std::uint64_t hosts = mNode->Hosts().ServiceDigest(record.mMember.mService);
    std::uint64_t balancers =
      mNode->Balancers().ServiceDigest(BalancerService());
    Give(Heartbeat{ MemberTableId::Hosts, record, mNode->Hosts().Version(),
                    hosts, balancers });
  }

  void BeatAll()
  {
    for (std::size_t i = 0; i < mHosts.size(); ++i) {
      if (mIsMine[i]) {
        BeatHost(i);
      }
    }
    // Probes: each agent one a second, to any balancer.
    double probes = mSize.mHosts / 2.0 / mSize.mBalancers;
    for (mProbesDue += probes; mProbesDue >= 1; --mProbesDue) {
      BeatHost(mProbe++ % mHosts.size());
    }
    // Three balancers beat to this one, as it beats to three.
    for (int i = 1; i < std::min(4, mSize.mBalancers); ++i) {
      ++mBalancers[i].mHeartbeatNumber;
      Give(Heartbeat{ MemberTableId::Balancers, mBalancers[i], 1, 0, 0 });
    }
  }

  /** A host leaves, comes back cold and serves: three changes. */
  void Restart(int aIndex)
  {
    MemberRecord& record = mHosts[aIndex];
    Change(aIndex, HostState::Leaving);
    ++record.mMember.mIncarnation;
    record.mHeartbeatNumber = 0;
    Change(aIndex, HostState::Cold);
    Change(aIndex, HostState::Serving);
  }

  void Change(int aIndex, HostState aState)
  {
    MemberRecord& record = mHosts[aIndex];
    record.mMember.mState = aState;
    if (mIsMine[aIndex]) {
      BeatHost(aIndex);
      return;
    }
    bool direct =
      mSize.mBalancers <= static_cast<int>(DisseminationTree::kMaxDirectPeers);
    auto tree = static_cast<std::uint8_t>(record.mMember.mHost.mValue %
                                          DisseminationTree::kTrees);
    Give(MemberDelta{
      MemberTableId::Hosts, 1, direct ? kNoTree : tree, false, { record } });
  }

  void PeerDigest()
  {
    for (const MemberTable* it :
         { &std::as_const(mNode->Hosts()), &mNode->Balancers() }) {
      MemberDigest digest = it->Digest();
      digest.mFrom = mList[1].mHost;
      Give(digest);
      digest.mIsReply = true;
      Give(digest);
    }
  }

  FleetSize mSize;
  std::vector<MemberRecord> mHosts;
  std::vector<MemberRecord> mBalancers;
  std::vector<Member> mList;
  std::vector<bool> mIsMine;
  std::unique_ptr<BalancerMembership> mNode;
  Time mNow = Time{} + seconds(100);
  double mProbesDue = 0;
  std::size_t mProbe = 0;
};

/** Arguments: hosts; seconds over which a tenth of them restarts, 0 for rest.
 */
void ControlOfABalancer(benchmark::State& aState)
{
  FleetSize size(aState.range(0));
  auto window = static_cast<int>(aState.range(1));
  double restarts = window == 0 ? 0 : size.mHosts / 10.0 / window;
  for (auto _ : aState) {
    PlayedBalancer balancer(size);
    balancer.Play(60, restarts);
    aState.counters["out_bytes_a_second"] = balancer.mOut / balancer.mSeconds;
    aState.counters["in_bytes_a_second"] = balancer.mIn / balancer.mSeconds;
    aState.counters["core_percent"] = 100 * balancer.mBusy / balancer.mSeconds;
    aState.counters["monitors_hosts"] =
      static_cast<double>(balancer.mMonitoredCount);
  }
}
BENCHMARK(ControlOfABalancer)
  ->ArgsProduct({ { 10, 1000, 29000 }, { 0, 600, 60 } })
  ->Iterations(1)
  ->Unit(benchmark::kMillisecond);

} // namespace
} // namespace heatherplank
