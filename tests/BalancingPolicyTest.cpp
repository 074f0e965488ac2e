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

// 4 hosts alike but for what aChange does to them; how often each is picked
// in 4,000 flows.
template<typename Change>
Picks Play(std::string_view aName, Change aChange)
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

TEST(BalancingPolicy, AnUnknownNameSaysWhichThereAre)
{
  auto made = MakeBalancingPolicy("best", 1);
  CHECK_FALSE(made.has_value());
  CHECK_TRUE(made.error().mRemedy.find("two-choices") != std::string::npos);
}

TEST(BalancingPolicy, EachNameMakesThePolicyOfThatName)
{
  for (auto it : BalancingPolicyNames()) {
    CHECK_TRUE(MakeBalancingPolicy(it, 1).value()->Name() == it);
  }
}

// A host is held out (it drains, or it fails); a flow sent there would be cut
// or refused. No policy may pick it while another is left.
TEST(BalancingPolicy, AHostOfNoWeightGetsNothing)
{
  for (auto it : BalancingPolicyNames()) {
    auto picks = Play(it, [](auto& aHosts) { aHosts[0].mWeight = 0; });
    CHECK_EQUAL(0, picks.mCounts[0]);
  }
}

// A cold host gets a tenth of a share; its cache is empty and a full share
// would queue behind slow first answers.
TEST(BalancingPolicy, AColdHostGetsLessThanHalfAShare)
{
  for (auto it : BalancingPolicyNames()) {
    auto picks = Play(it, [](auto& aHosts) { aHosts[0].mWeight = 0.1; });
    CHECK_TRUE(picks.mCounts[0] < 600);
  }
}

TEST(BalancingPolicy, LoadMovesOnlyThePoliciesThatLookAtIt)
{
  auto busy = [](auto& aHosts) { aHosts[0].mLoad.mQueued = 10; };
  CHECK_TRUE(Play("random", busy).mCounts[0] > 800);
  CHECK_TRUE(Play("two-choices", busy).mCounts[0] < 200);
  auto slow = [](auto& aHosts) { aHosts[0].mLoad.mLatency = 80ms; };
  CHECK_TRUE(Play("two-choices", slow).mCounts[0] > 800);
  CHECK_TRUE(Play("least-latency", slow).mCounts[0] < 300);
}

// Figures come round only now and then. A burst between two of them must not
// land on the one host that was lightest at the last one.
TEST(BalancingPolicy, ABurstBetweenTwoExchangesIsSpread)
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
