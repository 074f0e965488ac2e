#include "src/passthrough/CandidateOrder.h"

#include <algorithm>
#include <map>
#include <string>

#include <CppUTest/TestHarness.h>

using namespace heatherplank;

TEST_GROUP(CandidateOrder){
  static std::vector<Member> Hosts(int aCount){ std::vector<Member> out;
for (int i = 0; i < aCount; ++i) {
  Member member;
  member.mHost = MakeHostId("h" + std::to_string(i));
  member.mState = HostState::Serving;
  member.mDataCentre = MakeDataCentreId(i % 3 == 0 ? "a" : "b");
  out.push_back(member);
}
return out;
}

static OrderInputs From(const char* aDataCentre, HostId aSuspected = {})
{
  return { MakeDataCentreId(aDataCentre),
           [aSuspected](HostId aIt) { return aIt == aSuspected; } };
}
}
;

TEST(CandidateOrder, LocalHostsFirstSuspectedHostsLast)
{
  auto view = MakeServiceView({ 1 }, 1, Hosts(6));
  for (std::uint64_t flow = 0; flow < 100; ++flow) {
    HostId suspected = MakeHostId("h0");
    auto order =
      OrderForPlacement(*view, MixHash(flow, 1), From("a", suspected));
    CHECK_EQUAL(6, order.size());
    CHECK_TRUE(order[0]->mHost == MakeHostId("h3"));
    CHECK_TRUE(order[5]->mHost == suspected);
  }
}

// Copies of an opening packet reach two balancers of one data centre.
TEST(CandidateOrder, OrderIsTheSameOnEveryBalancerOfADataCentre)
{
  auto one = MakeServiceView({ 1 }, 1, Hosts(9));
  auto other = MakeServiceView({ 1 }, 7, Hosts(9));
  for (std::uint64_t flow = 0; flow < 100; ++flow) {
    auto placed = OrderForPlacement(*one, MixHash(flow, 1), From("b"));
    auto again = OrderForPlacement(*other, MixHash(flow, 1), From("b"));
    CHECK_TRUE(placed[0]->mHost == again[0]->mHost);
    CHECK_TRUE(placed[1]->mHost == again[1]->mHost);
  }
}

// Guards against: the few local hosts among the best ranked ones are busy for a
// moment, and a flow is placed in another data centre for its lifetime.
TEST(CandidateOrder, LocalHostsAreOfferedAFlowBeforeRemoteOnes)
{
  auto view = MakeServiceView({ 1 }, 1, Hosts(45));
  for (std::uint64_t flow = 0; flow < 100; ++flow) {
    auto order = OrderForPlacement(*view, MixHash(flow, 1), From("a"));
    CHECK_TRUE(order.size() >= kLocalCandidates);
    for (std::size_t i = 0; i < kLocalCandidates; ++i) {
      CHECK_TRUE(order[i]->mDataCentre == MakeDataCentreId("a"));
    }
  }
}

// Hosts that drain must not be added to those that accept new flows.
TEST(CandidateOrder, DrainingLocalHostsAreNoCandidates)
{
  auto hosts = Hosts(45);
  for (Member& it : hosts) {
    bool isLocal = it.mDataCentre == MakeDataCentreId("a");
    it.mState = isLocal ? HostState::Draining : HostState::Serving;
  }
  auto view = MakeServiceView({ 1 }, 1, hosts);
  for (const Member* it : OrderForPlacement(*view, 7, From("a"))) {
    CHECK_TRUE(it->mState == HostState::Serving);
  }
}

TEST(CandidateOrder, SpreadsFlowsEvenlyOverLocalHosts)
{
  auto view = MakeServiceView({ 1 }, 1, Hosts(9));
  std::map<HostId, int> first;
  for (std::uint64_t flow = 0; flow < 9000; ++flow) {
    auto order = OrderForPlacement(*view, MixHash(flow, 1), From("a"));
    ++first[order[0]->mHost];
  }
  CHECK_EQUAL(3, first.size());
  for (const auto& [host, n] : first) {
    CHECK_TRUE(n > 2800 && n < 3200);
  }
}
