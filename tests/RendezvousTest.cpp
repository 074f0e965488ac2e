#include <cmath>
#include <map>

#include "src/steer/ServiceView.h"
#include "tests/SteerFixture.h"

#include <CppUTest/TestHarness.h>

using namespace heatherplank;

namespace {

std::map<HostId, int> CountArbiters(const ServiceView& aView, int aFlows)
{
  std::map<HostId, int> counts;
  for (int i = 0; i < aFlows; ++i) {
    ++counts[aView.Arbiter(MixHash(i, 7))->mHost];
  }
  return counts;
}

} // namespace

TEST_GROUP(Rendezvous){};

// One host of a service leaves. With hashing modulo n most flows would change
// their host; with rendezvous hashing only the flows of that host may, whether
// the view scans its members or uses its bucket table.
TEST(Rendezvous, MovesOnlyTheFlowsOfTheHostThatLeft)
{
  for (std::size_t count : { 7U, 32U, 300U }) {
    auto members = TestMembers(count);
    auto before = TestView(1, members);
    HostId gone = members.back().mHost;
    members.pop_back();
    // The table and the scan rank differently, so both views must use the same
    // one of the two.
    auto after = TestView(2, members);
    for (std::uint64_t i = 0; i < 5000; ++i) {
      std::uint64_t hash = MixHash(i, 1);
      HostId oldArbiter = before->Arbiter(hash)->mHost;
      HostId newArbiter = after->Arbiter(hash)->mHost;
      CHECK_TRUE(oldArbiter == gone
                   ? newArbiter == before->Candidates(hash)[1]->mHost
                   : newArbiter == oldArbiter);
    }
  }
}

TEST(Rendezvous, AssignsFlowsInProportionToWeight)
{
  for (std::size_t count : { 8U, 200U }) {
    auto members = TestMembers(count);
    members[0].mWeight = 300;
    auto counts = CountArbiters(*TestView(1, members), 200000);
    double share = 200000.0 / static_cast<double>(count + 2);
    for (const Member& it : members) {
      double expected = it.mWeight == 300 ? 3 * share : share;
      double tolerance = count > RankTable::kScanLimit ? 0.5 : 0.05;
      DOUBLES_EQUAL(1.0, counts[it.mHost] / expected, tolerance);
    }
  }
}

TEST(Rendezvous, RanksDistinctMembersBestFirst)
{
  for (std::size_t count : { 3U, 20U, 2000U }) {
    auto view = TestView(1, TestMembers(count));
    for (std::uint64_t i = 0; i < 1000; ++i) {
      auto ranked = view->Ranked(MixHash(i, 3));
      CHECK_EQUAL(std::min(count, kRankDepth), ranked.size());
      auto candidates = view->Candidates(MixHash(i, 3));
      CHECK_TRUE(
        std::equal(candidates.begin(), candidates.end(), ranked.begin()));
      std::sort(ranked.begin(), ranked.end());
      CHECK_TRUE(std::unique(ranked.begin(), ranked.end()) == ranked.end());
    }
  }
}
