#include "src/steer/ServiceView.h"
#include "tests/SteerFixture.h"

#include <CppUTest/TestHarness.h>

using namespace heatherplank;

TEST_GROUP(ServiceView){};

// A draining host must not adopt new flows, but still owns the old ones, so it
// must remain among the members that are queried.
TEST(ServiceView, DrainingMembersAreRankedButNotCandidates)
{
  for (std::size_t count : { 5U, 100U }) {
    auto members = TestMembers(count);
    HostId draining = members[2].mHost;
    members[2].mState = HostState::Draining;
    auto view = TestView(1, members);
    int ranked = 0;
    for (std::uint64_t i = 0; i < 2000; ++i) {
      std::uint64_t hash = MixHash(i, 1);
      for (const Member* it : view->Candidates(hash)) {
        CHECK_TRUE(it->mHost != draining);
      }
      for (const Member* it : view->Ranked(hash)) {
        ranked += it->mHost == draining ? 1 : 0;
      }
    }
    CHECK_TRUE(ranked > 50);
  }
}

TEST(ServiceView, LeavingMembersAreFoundButNotRanked)
{
  auto members = TestMembers(2);
  members[0].mState = HostState::Leaving;
  auto view = TestView(1, members);
  CHECK_TRUE(view->Find(members[0].mHost) != nullptr);
  CHECK_TRUE(view->Find(MakeHostId("unknown")) == nullptr);
  CHECK_EQUAL(1, view->Ranked(5).size());
}

TEST(ServiceView, IsEmptyWithoutMembers)
{
  auto view = TestView(1, {});
  CHECK_TRUE(view->Arbiter(5) == nullptr);
  CHECK_TRUE(view->Candidates(5).empty());
}

// All members in a bucket of the rank table drain at once. The flow's arbiter
// must then be one of the other members.
TEST(ServiceView, FindsACandidateOutsideItsBucket)
{
  auto members = TestMembers(64);
  for (std::size_t i = 1; i < members.size(); ++i) {
    members[i].mState = HostState::Draining;
  }
  auto view = TestView(1, members);
  for (std::uint64_t i = 0; i < 500; ++i) {
    CHECK_TRUE(view->Arbiter(MixHash(i, 1))->mHost == members[0].mHost);
  }
}
