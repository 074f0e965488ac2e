#include "src/decide/BalancingPolicy.h"

#include <array>
#include <chrono>

#include <CppUTest/TestHarness.h>

using namespace heatherplank;
using namespace std::chrono_literals;

namespace {

const Time kNow = Time{} + 1h;

struct Picks
{
  std::array<int, 4> mCounts{};
};

// Four hosts, equal except for aChange; counts how often each is picked in
// 4,000 flows.
template<typename Change>
Picks CountPicks(std::string_view aName, Change aChange)
{
  std::array<Candidate, 4> hosts;
  for (std::size_t i = 0; i < hosts.size(); ++i) {
    hosts[i].mHost = HostId{ i + 1 };
    hosts[i].mLoad.mSlots = 2;
    hosts[i].mLoad.mLatency = 10ms;
  }
  aChange(hosts);
  auto policy = MakeBalancingPolicy(aName, 7).value();
  Picks picks;
  for (std::uint64_t flow = 0; flow < 4000; ++flow) {
    const Time now = kNow + flow * 5ms;
    ++picks.mCounts[policy->Pick(HashBytes("f", flow), hosts, now)];
  }
  return picks;
}

} // namespace

TEST_GROUP(BalancingPolicy){};

TEST(BalancingPolicy, UnknownNameReturnsErrorWithValidNames)
{
  auto made = MakeBalancingPolicy("best", 1);
  CHECK_FALSE(made.has_value());
  CHECK_TRUE(made.error().mRemedy.find("two-choices") != std::string::npos);
}

TEST(BalancingPolicy, PolicyReportsTheNameItWasMadeBy)
{
  for (auto it : BalancingPolicyNames()) {
    CHECK_TRUE(MakeBalancingPolicy(it, 1).value()->Name() == it);
  }
}

// A host is excluded because it drains or fails; a flow sent there would be cut
// or refused. No policy may pick it while another host is left.
TEST(BalancingPolicy, HostWithZeroWeightGetsNoFlows)
{
  for (auto it : BalancingPolicyNames()) {
    auto picks = CountPicks(it, [](auto& aHosts) { aHosts[0].mWeight = 0; });
    CHECK_EQUAL(0, picks.mCounts[0]);
  }
}

// A cold host gets a tenth of a share: its cache is empty, and a full share
// would queue behind slow first answers.
TEST(BalancingPolicy, ColdHostGetsLessThanTwoThirdsOfItsShare)
{
  for (auto it : BalancingPolicyNames()) {
    auto picks = CountPicks(it, [](auto& aHosts) { aHosts[0].mWeight = 0.1; });
    CHECK_TRUE(picks.mCounts[0] < 600);
  }
}

TEST(BalancingPolicy, LoadAffectsOnlyPoliciesThatUseIt)
{
  auto busy = [](auto& aHosts) { aHosts[0].mLoad.mQueued = 10; };
  CHECK_TRUE(CountPicks("random", busy).mCounts[0] > 800);
  CHECK_TRUE(CountPicks("two-choices", busy).mCounts[0] < 200);
  auto slow = [](auto& aHosts) { aHosts[0].mLoad.mLatency = 80ms; };
  CHECK_TRUE(CountPicks("two-choices", slow).mCounts[0] > 800);
  CHECK_TRUE(CountPicks("least-latency", slow).mCounts[0] < 300);
}

// Load reports are periodic. A burst between two reports must not go entirely
// to the host that was least loaded in the last report.
TEST(BalancingPolicy, BurstBetweenTwoLoadReportsIsSpread)
{
  std::array<Candidate, 4> hosts;
  for (std::size_t i = 0; i < hosts.size(); ++i) {
    hosts[i].mHost = HostId{ i + 1 };
    hosts[i].mLoad.mSlots = 2;
    hosts[i].mLoad.mBusy = i == 0 ? 0 : 1;
  }
  auto policy = MakeBalancingPolicy("two-choices", 7).value();
  Picks picks;
  for (std::uint64_t flow = 0; flow < 100; ++flow) {
    ++picks.mCounts[policy->Pick(flow, hosts, kNow)];
  }
  CHECK_TRUE(picks.mCounts[0] < 35);
}
